"""Tests of the shares of the retry allowance."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink import node_settings
from papayalink.roles.gateway import budgets

_LONG_AGO = float("-inf")


def _count_retries(budget, now):
    """Returns: how many retries are allowed at once."""
    count = 0
    while budget.take(now):
        count += 1
    return count


@given(
    st.integers(1, 400),
    st.floats(0, 300),
    st.lists(st.integers(0, 40), max_size=5),
)
def test_retries_of_all_entries_stay_within_the_allowance(
    entries, slack, requests
):
    bounds = node_settings.Bounds(retry_ratio=0.2, retry_slack=slack)
    total = 0
    for index in range(entries):
        shares = budgets.make_budgets(bounds, lambda: 1 / entries, _LONG_AGO)
        budget = shares.for_service("s", 0.0)
        for _ in range(requests[index] if index < len(requests) else 0):
            budget.note_request(1.0)
        total += _count_retries(budget, 1.0)
    assert total <= 0.2 * sum(requests[:entries]) + slack


@pytest.mark.parametrize("entries", [70, 364])
def test_share_of_many_entries_is_not_rounded_to_nothing(entries):
    """Guards against entries of a large fleet that may never retry."""
    bounds = node_settings.Bounds(retry_ratio=0.2, retry_slack=180.0)
    shares = budgets.make_budgets(bounds, lambda: 1 / entries, _LONG_AGO)
    budget = shares.for_service("s", 0.0)
    for _ in range(10):
        budget.note_request(1.0)
    # 0.8 * (0.2 * 10 + 180 / entries)
    assert _count_retries(budget, 1.0) == {70: 3, 364: 1}[entries]


def test_retries_count_for_the_window_of_the_settings():
    bounds = node_settings.Bounds(
        retry_ratio=0.0, retry_slack=10.0, retry_window_s=10.0
    )
    budget = budgets.make_budgets(bounds, lambda: 1.0, _LONG_AGO).for_service(
        "s", 0.0
    )
    assert _count_retries(budget, 0.0) == 8
    assert _count_retries(budget, 4.9) == 0
    assert _count_retries(budget, 10.1) == 8


@pytest.mark.parametrize(("age_s", "retries"), [(0.0, 0), (9.9, 0), (10, 8)])
def test_constant_part_counts_once_a_window_has_passed(age_s, retries):
    """Guards against a constant part that each start of an entry renews."""
    bounds = node_settings.Bounds(
        retry_ratio=0.0, retry_slack=10.0, retry_window_s=10.0
    )
    shares = budgets.make_budgets(bounds, lambda: 1.0, 100.0)
    now = 100.0 + age_s
    assert _count_retries(shares.for_service("s", now), now) == retries


@pytest.mark.parametrize(("age_s", "retries"), [(9.9, 4), (10, 16)])
def test_few_requests_count_in_the_first_window(age_s, retries):
    """Guards against a part for requests that each start renews."""
    bounds = node_settings.Bounds(
        retry_ratio=0.2, retry_slack=0.0, retry_window_s=10.0
    )
    shares = budgets.make_budgets(bounds, lambda: 1.0, 100.0)
    now = 100.0 + age_s
    budget = shares.for_service("s", now)
    for _ in range(100):
        budget.note_request(now - 0.5)
    assert _count_retries(budget, now) == retries


@given(
    st.integers(1, 20),
    st.floats(0, 100),
    st.lists(st.floats(0.1, 15.0), max_size=6),
)
def test_retries_stay_within_the_allowance_over_restarts(rate, slack, runs_s):
    """Guards against repeats beyond the allowance after restarts.

    One entry gets `rate` calls every half second. All calls fail from 30 s on,
    and it is started again after each time of `runs_s`.
    """
    bounds = node_settings.Bounds(
        retry_ratio=0.2, retry_slack=slack, retry_window_s=10.0
    )
    starts = list(itertools.accumulate(runs_s, initial=30.0))[1:]
    retries = []
    shares = budgets.make_budgets(bounds, lambda: 1.0, _LONG_AGO)
    for step in range(160):
        now = step / 2
        if starts and starts[0] <= now:
            shares = budgets.make_budgets(bounds, lambda: 1.0, starts.pop(0))
        budget = shares.for_service("s", now)
        for _ in range(rate):
            budget.note_request(now)
        if now >= 30.0:
            retries += [now] * _count_retries(budget, now)
    worst = max(
        sum(begin <= each < begin + 10.0 for each in retries)
        for begin in [*retries, 0.0]
    )
    assert worst <= 0.2 * 20 * rate + slack
