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
        # The budget counts over one to two windows.
        recent = sum(at > now - 5.0 for at in retries)
        assert recent <= 0.1 * sum(at >= now - 10.0 for at in requests) + 3


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
