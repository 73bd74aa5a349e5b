"""Tests of request admission."""

import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import admission
from papayalink.coordination import errors
from papayalink.coordination import routing
from papayalink.coordination import work_queue

RANKS = (
    work_queue.Rank("urgent", 1.6, weight=3.0, min_share=0.5),
    work_queue.Rank("deferrable", 30.0, weight=1.0, min_share=0.2),
)
RATE = 10_000.0


def _make_admission():
    return admission.Admission(RANKS, random.Random(3))


@pytest.mark.parametrize(
    "rank, ttft_s, expected",
    [
        ("urgent", 1.5, None),
        ("urgent", 1.7, "late"),
        ("deferrable", 25.0, None),
        ("deferrable", 31.0, "late"),
        ("deferrable", float("inf"), "late"),
    ],
)
def test_refuses_requests_that_will_be_late(rank, ttft_s, expected):
    # Guards against requests that wait although they will miss the target.
    admitter = _make_admission()
    outcome = admitter.decide(rank, "a", 100, ttft_s, ttft_s, 0.0)
    assert getattr(outcome, "reason", None) == expected
    if expected:
        assert 1 <= outcome.retry_after_s <= admission.MAX_RETRY_AFTER_S
    with pytest.raises(errors.UnknownRank):
        admitter.decide("none", "a", 100, ttft_s, ttft_s, 0.0)


def _overload(admitter, rank, callers, seconds):
    """Simulate a fluid queue of one rank under overload.

    Returns: tokens offered and admitted by caller, queued tokens, and rate.
    """
    index = [one.name for one in RANKS].index(rank)
    shares = work_queue.owed_shares(RANKS)
    rate = RATE * (1.0 if index == 0 else shares[index])
    queued = 0.0
    offered = dict.fromkeys(callers, 0)
    admitted = dict.fromkeys(callers, 0)
    step_s = 0.02
    pending = dict.fromkeys(callers, 0.0)
    for step in range(int(seconds / step_s)):
        queued = max(0.0, queued - rate * step_s)
        for name, load in callers.items():
            pending[name] += load * rate * step_s
            while pending[name] >= 500:
                pending[name] -= 500
                offered[name] += 500
                ttft_s = routing.predict_wait(
                    (queued, 0) if index == 0 else (0, queued),
                    index,
                    RATE,
                    shares,
                    () if index == 0 else (1.0, 0.0),
                )
                outcome = admitter.decide(
                    rank, name, 500, ttft_s, ttft_s, step * step_s
                )
                if isinstance(outcome, admission.Admitted):
                    admitted[name] += 500
                    queued += 500
    return offered, admitted, queued, rate


@pytest.mark.parametrize("rank", ["urgent", "deferrable"])
@pytest.mark.parametrize(
    "callers",
    [
        {"large": 3.0, "small": 0.1, "other": 0.2},
        {"large": 10.0, "huge": 20.0, "small": 0.3},
    ],
)
def test_largest_callers_are_refused_first(rank, callers):
    # Guards against small callers that are refused because of a large one, and
    # against refusing so much that capacity is idle.
    offered, admitted, queued, rate = _overload(
        _make_admission(), rank, callers, 120
    )
    for name, load in callers.items():
        if load < 0.34:
            assert admitted[name] >= 0.95 * offered[name]
    assert sum(admitted.values()) - queued >= 0.95 * rate * 120


@hypothesis.given(st.floats(0, 1e7))
def test_other_work_does_not_refuse_urgent_requests(queued):
    # Guards against refusing urgent work because of work of the other rank,
    # and against refusing what the other rank is owed because of urgent work.
    shares = work_queue.owed_shares(RANKS)
    wait_s = routing.predict_wait((1000, queued), 0, RATE, shares)
    outcome = _make_admission().decide("urgent", "a", 500, wait_s, wait_s, 0.0)
    assert isinstance(outcome, admission.Admitted)
    wait_s = routing.predict_wait((queued, 1000), 1, RATE, shares, (1.0, 0.0))
    outcome = _make_admission().decide(
        "deferrable", "a", 500, wait_s, wait_s, 0.0
    )
    assert isinstance(outcome, admission.Admitted)


def test_refused_callers_return_at_different_times():
    # Guards against callers that are refused together and retry together.
    admitter = _make_admission()
    delays = {
        admitter.decide("urgent", "a", 100, 31.6, 31.6, 0.0).retry_after_s
        for _ in range(50)
    }
    assert len(delays) > 8 and min(delays) >= 30


def test_long_prompt_on_an_idle_upstream_is_admitted():
    # Guards against refusals that no retry could avoid.
    admitter = _make_admission()
    for second in range(20):
        outcome = admitter.decide(
            "urgent", "a", 90_000, 9.0, 0.0, float(second)
        )
        assert isinstance(outcome, admission.Admitted)


@pytest.mark.parametrize(
    "wait_s, fleet_wait_s, expected",
    [
        # One upstream reports a prompt in prefill; the fleet is idle.
        (0.7, 0.0, None),
        (0.7, 0.7, "share"),
        (0.7, math.inf, "share"),
        (0.1, 0.7, None),
        (2.0, 0.0, "late"),
    ],
)
def test_fair_shares_apply_in_overload_only(wait_s, fleet_wait_s, expected):
    # Guards against a large caller that is refused on an idle fleet.
    admitter = _make_admission()
    for workspace in ("small", "large", "large", "large"):
        admitter.decide("urgent", workspace, 1000, 0.7, 0.0, 0.0)
    now = admission.FAIR_SHARE_PERIOD_S
    ttft_s = wait_s + 0.7
    outcome = admitter.decide(
        "urgent", "large", 1000, ttft_s, wait_s, now, fleet_wait_s
    )
    assert getattr(outcome, "reason", None) == expected
