"""Tests of restore plans."""

import hypothesis
from hypothesis import strategies
import pytest

from bench import restores
from papayalink.coordination import restore

# One second to compute a piece, one byte a piece.
PREFILL = 2000.0


def _kept(*positions):
    return [restore.KeptPiece(position, 1, "a") for position in positions]


def _plan(count, kept, rate, queue_s=0.0, can_meet=True, link_queue_s=0.0):
    links = {"a": restore.Link(rate, link_queue_s)}
    engine = restore.Engine(PREFILL, queue_s, can_meet)
    return restore.plan(count, 1000, kept, links, engine, 100.0)


@pytest.mark.parametrize(
    "count, kept, rate, queue_s, can_meet, imported, predicted_s",
    [
        # Nothing kept, or a link too slow to help.
        (4, [], 1.0, 0.0, True, [], 4.5),
        (4, [0, 1, 2, 3], 0.1, 0.0, True, [], 4.5),
        (4, [0, 1, 2, 3], 0.1, 0.0, False, [], 4.5),
        # A fast link.
        (4, [0, 1, 2, 3], 100.0, 0.0, False, [0, 1, 2, 3], 0.54),
        (4, [0, 1, 2], 100.0, 0.0, True, [2, 1, 0], 1.53),
        # Equal rates: the engine and the link meet in the middle.
        (4, [0, 1, 2, 3], 1.0, 0.0, True, [3, 2], 2.5),
        # The import is free while the request waits for the engine.
        (4, [0, 1, 2, 3], 0.5, 4.0, False, [0, 1], 6.5),
        # The first piece is missing: only a meeting engine can import.
        (4, [1, 2, 3], 10.0, 0.0, True, [3, 2, 1], 1.5),
        (4, [1, 2, 3], 10.0, 0.0, False, [], 4.5),
        # Of two runs the longer one saves more.
        (6, [0, 2, 3, 4], 10.0, 0.0, True, [4, 3, 2], 3.5),
        (6, [0, 1, 2, 4], 10.0, 0.0, True, [2, 1, 0], 3.8),
    ],
)
def test_plan(count, kept, rate, queue_s, can_meet, imported, predicted_s):
    plan = _plan(count, _kept(*kept), rate, queue_s, can_meet)
    amount = plan.last - plan.split if can_meet else plan.split
    assert [p.position for p in plan.order[:amount]] == imported
    assert plan.predicted_s == pytest.approx(predicted_s)


@pytest.mark.parametrize(
    "make, expected",
    [(restore.plan_import, 40.5), (restore.plan_recompute, 4.5)],
)
@pytest.mark.parametrize("can_meet", [False, True])
def test_baselines(make, expected, can_meet):
    links = {"a": restore.Link(0.1)}
    engine = restore.Engine(PREFILL, 0.0, can_meet)
    plan = make(4, 1000, _kept(0, 1, 2, 3), links, engine, 100.0)
    assert plan.predicted_s == pytest.approx(expected)


def test_link_queue_counts():
    """Guards against a restore that waits behind others' transfers."""
    assert _plan(4, _kept(0, 1), 10.0, link_queue_s=9.0).order == ()


@pytest.mark.parametrize(
    "rate, imported, computed, expected",
    [
        (10.0, 0, 0, restore.Continue(0)),
        (10.0, 4, 0, restore.Continue(0)),
        # The link slowed: the engine starts to compute from the start. Two
        # transfers take 2.9 s; computing a third piece instead takes 3 s.
        (0.7, 0, 0, restore.Continue(2)),
        (0.01, 0, 0, restore.Abandon()),
        # The engine has reached the piece that is being imported.
        (0.1, 2, 2, restore.Abandon()),
    ],
)
def test_progress(rate, imported, computed, expected):
    plan = _plan(4, _kept(0, 1, 2, 3), 10.0)
    observed = restore.Observed(imported, 0, computed, 100.0 + computed)
    links = {"a": restore.Link(rate)}
    now = 100.0 + computed
    assert restore.progress(plan, now, observed, links) == expected


RATES = strategies.floats(6.0, 10.0).map(lambda power: 10**power)
CASES = {
    "extra": strategies.integers(0, 10),
    "tokens_per_s": strategies.floats(3.0, 4.5).map(lambda power: 10**power),
    "rate": RATES,
    "queue_s": strategies.sampled_from([0.0, 0.0, 0.3, 2.0]),
    "can_meet": strategies.booleans(),
}


def _simulate(kept, extra, tokens_per_s, rate, queue_s, can_meet, slow=None):
    size = 64 * 2**20
    engine = restore.Engine(tokens_per_s, queue_s, can_meet)
    profile = restores.LinkProfile(rate)
    if slow is not None:
        profile = restores.LinkProfile(rate, slow * kept * size / rate, 0.1)
    outcome = restores.simulate(kept + extra, kept, size, engine, profile)
    best = min(outcome.import_s, outcome.recompute_s)
    return outcome.restore_s, best, 2000 / tokens_per_s


@hypothesis.settings(max_examples=60)
@hypothesis.given(kept=strategies.integers(1, 60), **CASES)
def test_restore_is_within_5_percent(kept, **case):
    """Guards against a restore slower than the better baseline."""
    restore_s, best, _ = _simulate(kept, **case)
    assert restore_s <= 1.05 * best


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    kept=strategies.integers(20, 60),
    slow=strategies.floats(0.0, 1.0),
    **CASES,
)
def test_restore_over_a_link_that_slows(kept, slow, **case):
    """Guards against a restore that keeps waiting for a slowed link."""
    restore_s, best, _ = _simulate(kept, slow=slow, **case)
    assert restore_s <= 1.05 * best


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    kept=strategies.integers(1, 19),
    slow=strategies.floats(0.0, 1.0),
    **CASES,
)
def test_short_restore_over_a_link_that_slows(kept, slow, **case):
    """Guards against losing more than the transfer that was cut short.

    That one costs up to the time of one piece, over 5% of a prompt of less
    than 20 pieces; no plan can know that the link will slow.
    """
    restore_s, best, piece_s = _simulate(kept, slow=slow, **case)
    assert restore_s <= 1.05 * best + piece_s


@pytest.mark.parametrize(
    "kept, extra, transfer_s, slow, can_meet",
    [
        (1, 0, 0.985, 0.51, True),
        (1, 4, 0.886, 0.58, False),
        (1, 8, 0.735, 0.86, False),
        (3, 5, 0.969, 0.88, False),
    ],
)
def test_short_restore_that_gains_little(
    kept, extra, transfer_s, slow, can_meet
):
    """Guards against a transfer that may lose more than it could gain."""
    rate = 64 * 2**20 / transfer_s
    case = {"extra": extra, "rate": rate, "can_meet": can_meet}
    for slows in (slow, None):
        restore_s, best, _ = _simulate(
            kept, tokens_per_s=PREFILL, queue_s=0.0, slow=slows, **case
        )
        assert restore_s <= 1.05 * best


def test_long_restore_that_gains_little_spares_the_engine():
    """Guards against recomputing what costs nothing to import."""
    plan = _plan(40, _kept(*range(40)), 1 / 0.99, can_meet=False)
    assert len(plan.order) == 40
