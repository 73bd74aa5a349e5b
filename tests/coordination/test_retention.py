"""Tests of the retention policies and of the occupancy of a storage tier."""

import hypothesis
from hypothesis import strategies
import pytest

from bench import retention as bench
from papayalink.coordination import occupancy as occupancies
from papayalink.coordination import retention
from papayalink.protocol import pieces

HOUR_S = 3600.0
SIZE = 1000


def _keys(name, count=1, workspace="acme", first=None):
    digests = [f"{name}/{position}" for position in range(count)]
    if first is not None:
        digests[0] = first
    return [pieces.PieceKey(workspace, "v1", digest) for digest in digests]


def _value(
    policy, keys, position=0, now=0.0, size=SIZE, rate=8000.0, is_copy=False
):
    facts = retention.make_facts(keys, rate, is_copy)[position]
    return policy.value(keys[position], facts, size, now)


def _train_policy(gaps_s, prompts=30, workspace="acme", one_offs=0):
    """Returns: a policy that observed returns after each gap, and the time."""
    policy = retention.ReturnPolicy()
    events = []
    for number in range(prompts):
        at = number * 60.0
        keys = _keys(f"p{number}", 3, workspace, "app")
        events.append((at, keys))
        for gap_s in gaps_s:
            at += gap_s
            events.append((at, keys))
    for number in range(one_offs):
        keys = _keys(f"o{number}", 3, workspace, "one-off")
        events.append((number * 60.0, keys))
    for at, keys in sorted(events, key=lambda event: event[0]):
        policy.record_request(keys, at)
    return policy, max(at for at, _ in events) + 30 * 24 * HOUR_S


def test_returning_family_is_worth_more_than_one_offs():
    """Guards against keeping recent pieces instead of returning ones."""
    policy, now = _train_policy([5 * HOUR_S], one_offs=30)
    returning = _keys("new", 3, first="app")
    one_off = _keys("other", 3, first="one-off")
    policy.record_request(returning, now)
    policy.record_request(one_off, now + 2 * HOUR_S)
    later = now + 2 * HOUR_S
    assert _value(policy, returning, 1, later) > 5 * _value(
        policy, one_off, 1, later
    )


def test_single_prompts_are_not_rated_by_an_application():
    """Guards against one-off prompts valued like the rest of a workspace."""
    policy, now = _train_policy([5 * HOUR_S])
    for number in range(30):
        policy.record_request(_keys(f"s{number}", 3), now + number)
    now += 30 * 24 * HOUR_S
    single = _keys("new", 3)
    prompt = _keys("new-prompt", 3, first="app")
    policy.record_request(single, now)
    policy.record_request(prompt, now)
    assert _value(policy, prompt, 1, now) > 5 * _value(policy, single, 1, now)


def test_value_falls_once_the_return_is_overdue():
    """Guards against keeping prompts that are unlikely to return."""
    policy, now = _train_policy([5 * HOUR_S])
    keys = _keys("new", 3, first="app")
    policy.record_request(keys, now)
    due = _value(policy, keys, 1, now + 4 * HOUR_S)
    overdue = _value(policy, keys, 1, now + 200 * HOUR_S)
    assert due > 5 * overdue


@pytest.mark.parametrize("is_readable", [True, False])
def test_pools_survive_a_restart(is_readable):
    """Guards against losing days of observations, or failing to start."""
    policy, now = _train_policy([5 * HOUR_S], one_offs=30)
    # A later request counts the time that all earlier prompts were watched.
    policy.record_request(_keys("other"), now)
    snapshot = policy.snapshot() if is_readable else b"damaged"
    values = []
    for each in (policy, retention.make_return_policy(snapshot)):
        keys = _keys("new", 3, first="app")
        each.record_request(keys, now)
        values.append(_value(each, keys, 1, now + HOUR_S))
    assert (values[0] == pytest.approx(values[1])) == is_readable


@pytest.mark.parametrize("workspace", ["acme", "unseen"])
def test_unknown_family_falls_back(workspace):
    """Guards against a new family without any estimate."""
    values = []
    for gaps_s in ([], [HOUR_S]):
        policy, now = _train_policy(gaps_s)
        keys = _keys("new", 3, workspace, "new-app")
        policy.record_request(keys, now)
        values.append(_value(policy, keys, 1, now))
    assert values[1] > 2 * values[0] > 0


@pytest.mark.parametrize(
    "changes, factor",
    [
        ({"size": 2 * SIZE}, 0.5),
        ({"rate": 4000.0}, 2.0),
        ({"is_copy": True}, retention.SECOND_COPY_VALUE_RATIO),
    ],
)
def test_value_is_time_saved_per_byte(changes, factor):
    policy = retention.ReturnPolicy()
    keys = _keys("a")
    expected = factor * _value(policy, keys)
    assert _value(policy, keys, **changes) == pytest.approx(expected)


@pytest.mark.parametrize(
    "policy", [retention.ReturnPolicy(), retention.LruPolicy()]
)
@hypothesis.given(
    gaps=strategies.lists(strategies.floats(1.0, 1e6), max_size=6)
)
def test_earlier_pieces_of_a_prompt_are_worth_more(policy, gaps):
    """Guards against a kept tail that is useless without its start."""
    keys = _keys(str(gaps), 4)
    now = 0.0
    for gap in [0.0, *gaps]:
        now += gap
        policy.record_request(keys, now)
    values = [_value(policy, keys, n, now + 100.0) for n in range(4)]
    assert values == sorted(values, reverse=True)
    assert len(set(values)) == 4


@pytest.mark.parametrize(
    "value, floor, expected", [(1.0, 0.0, 2), (1.0, 0.5, 1), (1.0, 0.01, 2)]
)
def test_pieces_of_high_value_have_two_copies(value, floor, expected):
    assert retention.ReturnPolicy().copy_count(value, floor) == expected


@pytest.mark.parametrize("make", [retention.ReturnPolicy, retention.LruPolicy])
def test_watched_pieces_are_bounded(make):
    """Guards against memory that grows with every prompt ever requested."""
    policy = make(max_pieces=100)
    for number in range(300):
        policy.record_request(_keys(str(number), 5), float(number))
    tracked = getattr(policy, "_cohorts", None) or policy._last_requests
    assert len(tracked) <= 100


def _fill(occupancy, name, count, value, workspace):
    keys = _keys(name, count, workspace)
    for key in keys:
        victims = occupancy.choose_victims(key, 10, value, lambda key: False)
        for victim in victims or ():
            occupancy.remove(victim)
        if victims is not None:
            occupancy.add(key, 10, value)


@pytest.mark.parametrize(
    "small_value, large_value, expected",
    [
        # Pieces within the share give way only to over 100 times the value.
        (1.0, 1.0, 250),
        (1.0, 50.0, 250),
        (1.0, 200.0, 0),
    ],
)
def test_large_workspace_does_not_evict_the_share_of_a_small_one(
    small_value, large_value, expected
):
    """Guards against one workspace that evicts the pieces of all others."""
    occupancy = occupancies.Occupancy(1000, 0.5)
    _fill(occupancy, "s", 60, small_value, "small")
    _fill(occupancy, "l", 500, large_value, "large")
    assert occupancy.used_by.get("small", 0) >= expected
    if large_value > small_value:
        assert occupancy.used_by["large"] >= 750


def test_small_workspace_regains_its_share():
    """Guards against a share that is granted only while there is room."""
    occupancy = occupancies.Occupancy(1000, 0.5)
    _fill(occupancy, "l", 100, 10.0, "large")
    _fill(occupancy, "s", 100, 1.0, "small")
    assert occupancy.used_by == {"large": 750, "small": 250}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["a", "b", "c"]),
            strategies.integers(0, 9),
            strategies.integers(1, 40),
            strategies.booleans(),
        ),
        max_size=40,
    ),
)
def test_occupancy_against_a_model(requests):
    """Guards against miscounted bytes, evicted pins and outdated values."""
    occupancy = occupancies.Occupancy(100, 0.0)
    held = {}
    pinned = set()
    for number, (workspace, value, size, pin) in enumerate(requests):
        key = _keys(str(number), 1, workspace)[0]
        victims = occupancy.choose_victims(
            key, size, value, pinned.__contains__
        )
        free = 100 - sum(each for each, _ in held.values())
        lower = [
            each
            for each, (_, held_value) in held.items()
            if held_value < value and each not in pinned
        ]
        possible = free + sum(held[each][0] for each in lower) >= size
        assert (victims is not None) == possible
        if victims is None:
            continue
        assert set(victims) <= set(lower)
        for victim in victims:
            occupancy.remove(victim)
            del held[victim]
        occupancy.add(key, size, value)
        held[key] = (size, value)
        if pin:
            pinned.add(key)
        # Change the value of another piece, as a new request does.
        other = next(iter(held))
        held[other] = (held[other][0], (value * 3) % 10)
        occupancy.set_value(other, held[other][1])
        assert occupancy.used_bytes == sum(s for s, _ in held.values()) <= 100
        if occupancy.used_bytes >= 90:
            assert occupancy.lowest_value() == min(v for _, v in held.values())


def test_retention_recomputes_less_than_lru():
    """Guards against a policy worse than its baseline on long gaps."""
    trace = bench.make_trace(3, 5.5 * 24 * HOUR_S)
    results = [
        bench.replay(trace, policy, 2000, fraction)
        for policy, fraction in (
            (retention.LruPolicy(), 0.0),
            (retention.ReturnPolicy(), 0.5),
        )
    ]
    for group in ("large", "small"):
        lru_share, return_share = (
            result[group]["share"] for result in results
        )
        assert return_share < 0.85 * lru_share


def test_configured_share_guarantees_more_than_the_even_share():
    """Guards against a cache share in the document that has no effect."""
    occupancy = occupancies.Occupancy(1000, 0.5)
    occupancy.set_entitlements({"small": 0.6})
    _fill(occupancy, "l", 100, 10.0, "large")
    _fill(occupancy, "s", 100, 1.0, "small")
    assert occupancy.used_by == {"large": 400, "small": 600}


def test_piece_appended_to_a_prompt_has_the_value_of_the_prompt():
    """Guards against an appended piece valued as if never requested before."""
    policy, now = _train_policy([HOUR_S] * 6, one_offs=30)
    for number in range(60):
        # Few of the prompts that were requested once return.
        policy.record_request(_keys(f"once{number}", 3, first="app"), now)
    now += 30 * 24 * HOUR_S
    grown = _keys("grown", 4, first="app")
    for count in (2, 3, 4):
        policy.record_request(grown[:count], now)
        now += HOUR_S
    new = _value(policy, grown, 3, now)
    assert new == pytest.approx(_value(policy, grown, 1, now), rel=1e-3)
    once = _keys("once", 4, first="app")
    policy.record_request(once, now - HOUR_S)
    assert new > 1.5 * _value(policy, once, 3, now)
