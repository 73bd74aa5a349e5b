"""Tests of what is known of the times at which weights were replaced."""

import pytest

from papayalink.coordination import weight_history

_INFINITE = float("inf")


def _history(*observed):
    history = weight_history.make_weight_history()
    for newest, at in observed:
        history.observe({"m": newest} if newest else {}, at)
    history.expire(20.0)
    return history


# Guards against a time that begins anew with each newer version, and against
# one that begins when this process learns of it.
@pytest.mark.parametrize(
    ("observed", "version", "outdated_s"),
    [
        ([(0, 10.0)], 1, 0.0),
        ([(0, 10.0), (2, 11.0)], 1, 10.0),
        ([(0, 10.0), (2, 11.0)], 2, 0.0),
        ([(0, 10.0), (2, 11.0)], 3, 0.0),
        ([(2, 10.0), (3, 11.0), (4, 15.0)], 2, 10.0),
        ([(2, 10.0), (3, 11.0), (4, 15.0)], 3, 9.0),
        ([(2, 10.0), (3, 11.0), (4, 15.0)], 1, _INFINITE),
        ([(2, 10.0), (5, 11.0)], 3, 10.0),
        ([(5, 10.0)], 4, _INFINITE),
        ([(2, -150.0), (3, 11.0)], 2, _INFINITE),
    ],
    ids=[
        "none-named",
        "first",
        "newest",
        "newer",
        "named-again",
        "between",
        "before-the-first-known",
        "version-left-out",
        "never-seen",
        "forgotten",
    ],
)
def test_age_counts_from_the_last_time_at_which_a_version_was_newest(
    observed, version, outdated_s
):
    assert _history(*observed).outdated_s("m", version, 20.0) == outdated_s


def test_models_are_kept_apart():
    history = weight_history.make_weight_history()
    history.observe({"m": 1}, 10.0)
    history.observe({"m": 2, "n": 7}, 12.0)
    assert history.outdated_s("m", 1, 20.0) == 10.0
    assert history.outdated_s("n", 1, 20.0) == 10.0
    assert history.outdated_s("o", 1, 20.0) == 0.0


# Guards against a table that operators can make grow without bound.
def test_rows_are_bounded_and_forgotten_versions_count_as_old():
    history = _history(*((each, each / 100) for each in range(1, 1000)))
    assert history.outdated_s("m", 1, 20.0) == _INFINITE
    assert history.outdated_s("m", 998, 20.0) == pytest.approx(10.02)
    assert history.rows <= weight_history.MAX_ROWS


# Guards against copies that count from when they learned.
@pytest.mark.parametrize("order", [(0, 1), (1, 0), (0, 1, 0), (1, 1, 0)])
def test_latest_evidence_counts_in_whatever_order_it_comes(order):
    told = [
        _history((0, 10.0), (2, 11.0)).encode(20.0),
        _history((0, 12.5), (2, 13.0)).encode(20.0),
    ]
    history = weight_history.make_weight_history()
    history.observe({"m": 2}, 30.0)
    assert history.outdated_s("m", 1, 30.0) == _INFINITE
    for each in order:
        history.merge(told[each], 30.0)
    # The rows were 10 s and 7.5 s old when they were told.
    assert history.outdated_s("m", 1, 30.0) == pytest.approx(7.5)


# Guards against copies that tell each other the same for ever.
def test_known_rows_do_not_change_the_table():
    history = _history((0, 10.0), (2, 11.0))
    version = history.version
    history.merge(history.encode(20.0), 20.0)
    assert history.version == version
    history.expire(10.0 + weight_history.KEEP_S)
    assert history.version != version
    assert history.rows == 0
