"""Tests of outlier detection."""

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import outliers

FLEET = [f"u{number}" for number in range(6)]


def _observe(detector, name, latency_s, count, now=1.0):
    for _ in range(count):
        detector.record(name, latency_s, now)


def _detector(latency_s=0.1):
    detector = outliers.Outliers()
    detector.evaluate(FLEET, 0.0)
    for name in FLEET[1:]:
        _observe(detector, name, latency_s, 10)
    return detector


@pytest.mark.parametrize(
    "observed, reason",
    [
        ([(None, 5)], "errors"),
        ([(None, 4)], None),
        ([(None, 4), (0.1, 1), (None, 4)], None),
        ([(0.5, 10)], "latency"),
        ([(0.5, 7)], None),
        # Almost three times the median, but a small difference.
        ([(0.29, 10)], None),
        ([(0.1, 30), (5.0, 5)], None),
    ],
)
def test_ejects_failing_and_slow_upstreams(observed, reason):
    # Guards against requests to a dead upstream, and against ejections of
    # healthy ones.
    detector = _detector()
    for latency_s, count in observed:
        _observe(detector, "u0", latency_s, count)
    ejections = detector.evaluate(FLEET, 1.5)
    assert [one.reason for one in ejections] == ([reason] if reason else [])
    assert detector.weight("u0", 1.5) == (0.0 if reason else 1.0)


def test_slow_fleet_is_not_ejected():
    # Guards against ejections when all upstreams are equally slow.
    detector = _detector(latency_s=9.0)
    _observe(detector, "u0", 9.5, 10)
    assert detector.evaluate(FLEET, 1.5) == []


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 11),
            st.sampled_from([None, 0.1, 8.0]),
            st.booleans(),
        ),
        min_size=60,
        max_size=150,
    ),
    st.lists(st.integers(1, 12), min_size=1, max_size=10),
)
def test_never_more_than_the_share_is_ejected(events, sizes):
    # Guards against ejecting so many replicas that a model is unavailable,
    # also when the fleet shrinks.
    detector = outliers.Outliers()
    now = 0.0
    for step, (number, latency_s, advances) in enumerate(events):
        size = sizes[(step // 15) % len(sizes)]
        fleet = [f"u{n}" for n in range(size)]
        _observe(detector, f"u{number}", latency_s, 5, now)
        detector.evaluate(fleet, now)
        ejected = [name for name in fleet if detector.weight(name, now) == 0]
        assert len(ejected) <= outliers.MAX_EJECTED_SHARE * size
        now += 2.5 * advances


def test_share_holds_when_the_fleet_shrinks():
    # Guards against keeping ejections that only a larger fleet allows.
    detector = _detector()
    for name in ("u0", "u1"):
        _observe(detector, name, None, 5)
        detector.evaluate(FLEET, 1.0 + int(name[1]))
    assert detector.ejected(3.0) == ["u0", "u1"]
    detector.evaluate(FLEET[:3], 3.0)
    assert detector.ejected(3.0) == ["u1"]
    assert detector.weight("u0", 3.0) == outliers.INITIAL_WEIGHT


def test_one_of_three_may_be_ejected():
    # Guards against rounding that prevents the ejection of a dead replica
    # when a model has few.
    detector = outliers.Outliers()
    detector.evaluate(FLEET[:3], 0.0)
    _observe(detector, "u0", None, 5)
    _observe(detector, "u1", None, 9)
    assert [e.upstream for e in detector.evaluate(FLEET[:3], 1.0)] == ["u1"]


def test_returns_gradually_and_is_ejected_again_for_longer():
    # Guards against a burst of requests to an upstream that just recovered.
    detector = _detector()
    _observe(detector, "u0", None, 5)
    detector.evaluate(FLEET, 2.0)
    weights = [detector.weight("u0", 7.0 + step) for step in range(12)]
    assert weights[0] == outliers.INITIAL_WEIGHT and weights[-1] == 1.0
    assert weights == sorted(weights)
    _observe(detector, "u0", None, 2, 8.0)
    again = detector.evaluate(FLEET, 8.0)
    assert [one.until for one in again] == [18.0]
    detector.started("u5", 20.0)
    assert detector.weight("u5", 20.0) == outliers.INITIAL_WEIGHT


def test_baseline_never_ejects():
    # Guards against a baseline that ejects.
    baseline = outliers.NeverEject()
    assert baseline.evaluate(FLEET, 0.0) == []
    assert baseline.weight("u0", 0.0) == 1.0
