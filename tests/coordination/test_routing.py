"""Tests of routing."""

import collections
import random
import statistics

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import routing


def _candidate(name, zone="east", queued=(0, 0), **fields):
    fields.setdefault("prefill_rate", 1000.0)
    fields.setdefault("reported_at", 0.0)
    return routing.Candidate(
        name, zone, queued, fields.pop("items", (0, 0)), **fields
    )


def _request(rank=0, tokens=500, target_s=1.6, **fields):
    return routing.Request("r", rank, tokens, target_s, "east", **fields)


def _choose(candidates, request, recent=None, seed=1):
    return routing.choose(
        candidates,
        request,
        5.0,
        random.Random(seed),
        recent or routing.RecentWork(),
    )


@pytest.mark.parametrize(
    "candidates, request_fields, expected",
    [
        # The shorter queue is chosen.
        ([("a", {"queued": (900, 0)}), ("b", {"queued": (100, 0)})], {}, "b"),
        # Less urgent work does not delay urgent requests.
        ([("a", {"queued": (0, 9000)}), ("b", {"queued": (500, 0)})], {}, "a"),
        # A prefix that the upstream holds outweighs a short queue.
        (
            [("a", {"queued": (300, 0)}), ("b", {})],
            {"hints": {"a": routing.Hint(450)}},
            "a",
        ),
        # A prefix that is slow to restore does not.
        (
            [("a", {"queued": (300, 0)}), ("b", {})],
            {"hints": {"a": routing.Hint(450, 0.5)}},
            "b",
        ),
        # The own zone is preferred.
        ([("a", {"zone": "west"}), ("b", {"queued": (20, 0)})], {}, "b"),
        # Another zone is chosen when the own zone misses the target.
        (
            [
                ("a", {"zone": "west", "queued": (1090, 0)}),
                ("b", {"queued": (1110, 0)}),
            ],
            {},
            "a",
        ),
        # The time until a slot becomes free counts.
        (
            [
                ("a", {"items": (2, 0), "start_periods_s": (0.4, 1.0)}),
                ("b", {"queued": (600, 0)}),
            ],
            {},
            "b",
        ),
        # A faster upstream may be chosen despite a longer queue.
        (
            [
                ("a", {"queued": (900, 0), "prefill_rate": 4000.0}),
                ("b", {"queued": (400, 0)}),
            ],
            {},
            "a",
        ),
        # An upstream of weight 0 gets no new work.
        ([("a", {"weight": 0.0}), ("b", {"queued": (4000, 0)})], {}, "b"),
        ([("a", {"weight": 0.0})], {}, None),
    ],
)
def test_choose(candidates, request_fields, expected):
    # Guards against a missing term in the prediction.
    records = [_candidate(name, **fields) for name, fields in candidates]
    decision = _choose(records, _request(**request_fields))
    assert (decision and decision.upstream) == expected


@pytest.mark.parametrize(
    "reports, expected",
    [
        # A prompt was in prefill when the report was taken.
        ([{"queued": (700, 0)}], 0.2),
        ([{"queued": (700, 0)}, {}, {}], 0.0),
        ([{"queued": (700, 0), "reported_at": 4.0}], 0.0),
        # Requests wait behind it.
        ([{"queued": (700, 0), "items": (1, 0)}], 0.7),
        ([{"queued": (700, 0), "items": (1, 0)}, {}], 0.0),
        ([{"queued": (700, 0), "items": (1, 0)}] * 2 + [{}], 0.7),
        # Requests wait for slots.
        ([{"items": (2, 0), "start_periods_s": (0.4, 1.0)}], 1.2),
        # Less urgent work does not count.
        ([{"queued": (0, 900), "items": (0, 3)}], 0.0),
    ],
)
def test_wait_of_the_fleet(reports, expected):
    # Guards against taking a rank for overloaded because of one old report.
    fleet = [
        _candidate(f"u{place}", **{"reported_at": 4.5, **fields})
        for place, fields in enumerate(reports)
    ]
    decision = _choose(fleet, _request())
    assert decision.fleet_wait_s == pytest.approx(expected)


def test_upstream_filled_by_own_requests_is_skipped():
    # Guards against sending all short prompts to the full upstream of the own
    # zone, since its old report is weighted towards the mean of all.
    recent = routing.RecentWork()
    fleet = [
        _candidate("near", slots=2, free_slots=(2, 2)),
        _candidate("far", "west", queued=(900, 0), slots=2, free_slots=(2, 2)),
    ]
    for number in "12":
        recent.add("near", number, 0, 0, 1.0)
    assert _choose(fleet, _request(), recent).upstream == "near"
    for number in "12":
        recent.prefilled("near", number)
    recent.reported("near", 3.0)
    assert _choose(fleet, _request(), recent).upstream == "far"
    assert _choose(fleet[:1], _request(), recent).upstream == "near"
    recent.ended("near", "1")
    assert _choose(fleet, _request(), recent).upstream == "near"


@pytest.mark.parametrize(
    "queued, free, other_free, expected",
    [
        (1, 0, 8, "far"),
        # Some of its slots are free.
        (1, 2, 8, "near"),
        (0, 0, 8, "near"),
        # Under overload, all entries would choose the one without a queue.
        (1, 0, 1, "near"),
    ],
)
def test_upstream_with_a_reported_queue_is_skipped(
    queued, free, other_free, expected
):
    # Guards against several entries that together fill one upstream.
    fleet = [
        _candidate("near", items=(queued, 0), slots=16, free_slots=(free, 0)),
        _candidate("far", "west", slots=16, free_slots=(other_free, 0)),
    ]
    assert _choose(fleet, _request()).upstream == expected


def test_recent_work_counts_until_a_later_report():
    # Guards against all requests following one delayed report, and against
    # counting the same work twice.
    recent = routing.RecentWork()
    pair = [_candidate("a"), _candidate("b", queued=(100, 0))]
    recent.add("a", "1", 0, 400, 4.0)
    assert _choose(pair, _request(), recent).upstream == "b"
    recent.reported("a", 4.0)
    assert recent.pending("a", 0, 5.0) == (400, 1)
    recent.reported("a", 4.1)
    assert recent.pending("a", 0, 5.0) == (0, 0)
    recent.add("a", "2", 0, 400, 4.0)
    recent.ended("a", "2")
    assert _choose(pair, _request(), recent).upstream == "a"
    recent.add("a", "3", 0, 400, 4.0)
    assert recent.pending("a", 0, 20.0) == (0, 0)


def test_equal_reports_spread_requests():
    # Guards against the same choice at all entries.
    fleet = [_candidate(f"u{n}", queued=(10 * n, 0)) for n in range(12)]
    chosen = collections.Counter(
        _choose(fleet, _request(), seed=seed).upstream for seed in range(600)
    )
    assert max(chosen.values()) < 600 / 4


@pytest.mark.parametrize(
    "items, free, urgent, expected",
    [(1, 0, 10, 0.8), (0, 3, 2, 0.0), (0, 3, 5, 0.4)],
)
def test_urgent_work_sent_is_not_queued_in_another_rank(
    items, free, urgent, expected
):
    # Guards against counting urgent requests at the start period of the other
    # rank, which makes entries refuse that rank under urgent overload.
    recent = routing.RecentWork()
    for number in range(urgent):
        recent.add("a", str(number), 0, 0, 4.9)
    candidate = _candidate(
        "a",
        items=(0, items),
        free_slots=(free, free),
        start_periods_s=(0.05, 0.4),
    )
    decision = routing.predict(candidate, _request(1), 5.0, recent)
    assert decision.wait_s == pytest.approx(expected)


@pytest.mark.parametrize("others, max_fraction", [(1, 0.15), (12, 0.05)])
def test_returning_upstream_gets_few_requests(others, max_fraction):
    # Guards against a burst of requests to an upstream whose queue is empty
    # because it has just returned.
    fleet = [_candidate("back", weight=0.1)]
    fleet += [_candidate(f"u{n}", queued=(400, 0)) for n in range(others)]
    chosen = collections.Counter(
        _choose(fleet, _request(), seed=seed).upstream for seed in range(600)
    )
    assert 0 < chosen["back"] < 600 * max_fraction
    alone = _choose([_candidate("back", weight=0.1)], _request())
    assert alone.upstream == "back"


@pytest.mark.parametrize("reported_at, expected", [(5.0, "b"), (1.0, "a")])
def test_old_reports_count_less_than_own_work(reported_at, expected):
    # Guards against decisions based on queues that have been served since.
    recent = routing.RecentWork()
    recent.add("b", "1", 0, 200, 4.9)
    pair = [
        _candidate("a", queued=(300, 0), reported_at=reported_at),
        _candidate("b", reported_at=reported_at),
    ]
    assert _choose(pair, _request(), recent).upstream == expected


@pytest.mark.parametrize(
    "queued, rank, shares, loads, expected",
    [
        ((1000, 0), 0, (), (), 1.0),
        ((0, 1000), 0, (), (), 0.0),
        ((1000, 1000), 1, (), (), 2.0),
        # The guarantee bounds the wait behind urgent work.
        ((9000, 100), 1, (0.75, 0.25), (), 0.4),
        # Future urgent work leaves only the guarantee.
        ((0, 1000), 1, (0.75, 0.25), (1.0, 0.0), 4.0),
        ((0, 1000), 1, (0.75, 0.25), (0.5, 0.5), 2.0),
    ],
)
def test_predict_wait(queued, rank, shares, loads, expected):
    # Guards against refusing a rank because of work that does not delay it.
    wait = routing.predict_wait(queued, rank, 1000.0, shares, loads)
    assert wait == pytest.approx(expected)


def _fleet(zones, each, prefix="u"):
    return [
        routing.Member(f"{prefix}{zone}-{number}", f"z{zone}")
        for zone in range(zones)
        for number in range(each)
    ]


@pytest.mark.parametrize("zones, each, entries", [(8, 20, 45), (3, 40, 20)])
def test_subset_is_balanced(zones, each, entries):
    # Guards against upstreams that too few or too many entries use.
    upstreams = _fleet(zones, each)
    used_by = collections.Counter()
    for process in _fleet(zones, entries, "e"):
        chosen = routing.subset(process, upstreams, 24)
        assert len(set(chosen)) == 24
        assert sum(one.zone == process.zone for one in chosen) == 16
        used_by.update(one.name for one in chosen)
    counts = [used_by[one.name] for one in upstreams]
    # The standard deviation of independent choices is at most the square root
    # of the mean.
    mean = statistics.mean(counts)
    assert statistics.pstdev(counts) < mean**0.5
    assert mean - 3.5 * mean**0.5 < min(counts)
    assert max(counts) < mean + 3.5 * mean**0.5


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3)), unique=True),
    st.integers(0, 12),
    st.sampled_from(["z0", "z9"]),
)
def test_subset_spreads_over_zones_and_changes_little(pairs, size, zone):
    # Guards against an entry that loses all replicas of a model with one zone,
    # and against subsets that change much with each change of membership.
    upstreams = [routing.Member(f"{n}-{z}", f"z{z}") for n, z in pairs]
    process = routing.Member("e", zone)
    chosen = routing.subset(process, upstreams, size)
    assert len(chosen) == len(set(chosen)) == min(size, len(upstreams))
    zones = {one.zone for one in upstreams}
    if size >= 2:
        assert len({one.zone for one in chosen}) >= min(2, len(zones))
    if size < 2 or len(zones) < 2:
        return
    removed = chosen[0]
    rest = [one for one in upstreams if one != removed]
    changed = routing.subset(process, rest, size)
    assert len(set(changed) - set(chosen)) <= 2


@pytest.mark.parametrize(
    "queued, expected",
    [([(500, 0), (100, 0), (300, 0)], "u1"), ([(0, 90), (80, 0)], "u1")],
)
def test_baselines(queued, expected):
    # Guards against baselines that differ from the plain algorithms.
    fleet = [_candidate(f"u{n}", queued=q) for n, q in enumerate(queued)]
    chosen = routing.least_loaded(fleet, random.Random(1))
    assert chosen.upstream == expected
    turns = routing.RoundRobin()
    names = [turns.choose(fleet).upstream for _ in range(2 * len(fleet))]
    assert names == [one.upstream for one in fleet] * 2
