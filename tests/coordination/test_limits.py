"""Tests of fleet-wide limits."""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import limits

DEMANDS = st.dictionaries(
    st.text("abcdefgh", min_size=1, max_size=3),
    st.floats(0, 1e6),
    min_size=1,
    max_size=20,
)


@hypothesis.given(st.floats(0.1, 1e6), DEMANDS, st.integers(0, 300))
def test_shares_never_exceed_the_limit(limit, demands, silent):
    # Guards against a fleet that serves more than the limit.
    floor = limits.floor_share(limit, len(demands) + silent)
    shares = limits.divide_limit(limit, demands, silent)
    total = math.fsum(shares.values()) + floor * silent
    assert limit * (1 - 1e-6) <= total <= limit * (1 + 1e-12)
    assert all(share >= floor * (1 - 1e-9) for share in shares.values())
    # Max-min fairness: a share below its demand is among the largest.
    largest = max(shares.values())
    for entry, demand in demands.items():
        if shares[entry] < demand * (1 - 1e-9):
            assert shares[entry] >= largest * (1 - 1e-9)


@hypothesis.given(st.integers(0, 500), DEMANDS, st.integers(0, 50))
def test_whole_shares_never_exceed_the_limit(limit, demands, silent):
    # Guards against rounding that admits more requests than the limit.
    shares = limits.divide_whole_limit(limit, demands, silent)
    floor = int(limits.floor_share(limit, len(demands) + silent))
    total = sum(shares.values()) + floor * silent
    assert total == limit
    assert min(shares.values()) >= 0


@pytest.mark.parametrize(
    "limit, demands, expected",
    [
        (100, {"a": 500, "b": 0}, {"a": 95, "b": 5}),
        (100, {"a": 500, "b": 20}, {"a": 80, "b": 20}),
        (100, {"a": 50, "b": 50}, {"a": 50, "b": 50}),
        (100, {"a": 10, "b": 20}, {"a": 45, "b": 55}),
    ],
)
def test_share_out(limit, demands, expected):
    # Guards against shares that ignore demand.
    assert limits.divide_limit(limit, demands) == pytest.approx(expected)


def test_even_shares_baseline():
    # Guards against a baseline that follows demand.
    assert limits.share_evenly(10, "ab") == {"a": 5, "b": 5}


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.integers(1, 300)),
        min_size=1,
        max_size=80,
    )
)
def test_bucket_bounds_the_rate(requests):
    # Guards against an entry that exceeds its share for longer than a burst.
    bucket = limits.TokenBucket(100.0, 0.0)
    now = admitted = 0.0
    for pause_s, tokens in requests:
        now += pause_s
        bucket.confirm(100.0, now)
        retry_after_s = bucket.take(tokens, now)
        if retry_after_s is None:
            admitted += tokens
        else:
            assert retry_after_s >= 0
        assert admitted <= 100.0 * (now + limits.BURST_S) + 300


@pytest.mark.parametrize("time, expected", [(2.9, True), (3.0, False)])
def test_unconfirmed_share_lapses(time, expected):
    # Guards against an isolated entry that keeps using a share that other
    # entries have been given.
    bucket = limits.TokenBucket(100.0, 0.0)
    limiter = limits.InFlightLimiter(2, 0.0)
    assert (bucket.take(1, time) is None) is expected
    assert limiter.acquire(time) is expected
    late = time + 3.1
    assert bucket.take(1, late) == limits.SHARE_LAPSE_S
    assert not limiter.acquire(late)
    bucket.confirm(100.0, late)
    limiter.confirm(9, late)
    assert bucket.take(1, late + 0.1) is None and limiter.acquire(late)


def test_lapsed_share_is_not_refilled():
    # Guards against an entry that reconnects and spends tokens of the time
    # in which its share had lapsed.
    bucket = limits.TokenBucket(100.0, 0.0)
    bucket.take(500, 0.0)
    bucket.confirm(100.0, 10.0)
    assert bucket.take(1, 10.0) == pytest.approx(1.0)


def test_in_flight_share():
    # Guards against a wrong count of requests in flight.
    limiter = limits.InFlightLimiter(2, 0.0)
    assert [limiter.acquire(0.1) for _ in range(3)] == [True, True, False]
    limiter.release()
    limiter.confirm(1, 0.2)
    assert not limiter.acquire(0.3) and limiter.running == 1


def test_demand_decays():
    # Guards against shares that stay with an entry without callers.
    meter = limits.DemandMeter()
    for step in range(100):
        meter.note("a", 10, step * 0.1)
    assert meter.report(10.0)["a"] == pytest.approx(100, rel=0.1)
    assert meter.report(30.0) == {}
