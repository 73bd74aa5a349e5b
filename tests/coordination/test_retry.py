"""Tests of retries."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from papayalink.coordination import retry


def _call(**fields):
    fields.setdefault("repeatable", True)
    fields.setdefault("attempts", 1)
    return retry.Call(**fields)


@pytest.mark.parametrize(
    "fields, expected",
    [
        ({}, None),
        ({"repeatable": False}, "not_repeatable"),
        ({"answered": True}, "answered"),
        ({"attempts": retry.MAX_ATTEMPTS}, "attempts"),
        ({"deadline": 10.0}, "deadline"),
        ({"deadline": 13.0}, None),
    ],
)
def test_decide(fields, expected):
    # Guards against protected calls that run twice, and useless retries.
    budget = retry.Budget()
    outcome = retry.decide(_call(**fields), budget, 10.0, random.Random(1))
    assert getattr(outcome, "reason", None) == expected


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 1), st.booleans()), max_size=200)
)
def test_budget_bounds_retries(events):
    # Guards against retries that multiply the load of a failing fleet.
    budget = retry.Budget(0.1, 3)
    now, requests, retries = 0.0, [], []
    for wait, first in events:
        now += wait
        if first:
            budget.note_request(now)
            requests.append(now)
        elif budget.take(now):
            retries.append(now)
        recent = sum(at > now - 10.0 for at in retries)
        assert recent <= 0.1 * sum(at >= now - 10.0 for at in requests) + 3


@pytest.mark.parametrize("gap_s", [0.1, 4.0, 5.1, 9.9, 10.1])
@pytest.mark.parametrize("first_at", [0.0, 2.5, 4.9])
def test_two_bursts_share_the_budget_of_one_period(first_at, gap_s):
    """Guards against a budget that is given anew within its period."""
    budget = retry.Budget(0.0, 20)
    # The first retry may set when windows begin.
    assert budget.take(0.0)
    first = sum(budget.take(first_at) for _ in range(30))
    second = sum(budget.take(first_at + gap_s) for _ in range(30))
    assert first == 19
    if gap_s < 10.0:
        assert second == (1 if first_at + gap_s > 10.0 else 0)
    else:
        assert second == 20


@pytest.mark.parametrize(
    "attempts, bound", [(1, 0.05), (2, 0.1), (4, 0.4), (9, 2.0), (5000, 2.0)]
)
def test_backoff_has_full_jitter(attempts, bound):
    # Guards against calls that fail together and are retried together.
    rng = random.Random(2)
    delays = [retry.backoff(attempts, rng) for _ in range(400)]
    assert 0 <= min(delays) < 0.05 * bound
    assert 0.95 * bound < max(delays) <= bound


def test_baseline_retries_after_a_fixed_delay():
    # Guards against a baseline that retries protected calls.
    baseline = retry.RetryAlways()
    assert baseline.decide(_call()) == retry.Retry(retry.BACKOFF_BASE_S)
    assert isinstance(baseline.decide(_call(repeatable=False)), retry.GiveUp)
