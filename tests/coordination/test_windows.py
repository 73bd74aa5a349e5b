"""Tests of moving sums."""

import hypothesis
from hypothesis import strategies as st

from papayalink.coordination import windows

_PERIOD_S = 10.0


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 4), st.integers(1, 3)), max_size=60)
)
def test_sliding_sum_bounds_what_the_period_holds(events):
    """Guards against amounts that are forgotten within their period."""
    total = windows.SlidingSum(_PERIOD_S)
    now, amounts = 0.0, []
    for wait_s, amount in events:
        now += wait_s
        total.add(amount, now)
        amounts.append((now, amount))
        held = sum(n for at, n in amounts if at >= now - _PERIOD_S)
        kept = sum(n for at, n in amounts if at >= now - 0.94 * _PERIOD_S)
        assert kept <= total.at_least(now) <= held <= total.at_most(now)


def test_sliding_sum_stays_small():
    total = windows.SlidingSum(_PERIOD_S)
    for number in range(100_000):
        total.add(1, number / 1000)
    assert len(total._cells) <= 2 + windows.SlidingSum._CELLS


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 10), st.floats(0, 4)), min_size=1, max_size=30
    )
)
def test_largest_value_of_the_period(steps):
    period_s = 5.0
    largest = windows.SlidingMax(period_s)
    values = []
    now = 0.0
    for value, passed_s in steps:
        now += passed_s
        largest.add(value, now)
        values.append((value, now))
        assert largest.at(now) == max(
            value for value, at in values if now - at <= period_s
        )
    assert largest.at(now + 2 * period_s) == 0.0
