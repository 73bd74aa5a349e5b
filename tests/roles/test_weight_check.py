"""Tests of the look-up of weight versions."""

import pytest

from papayalink import clock as clocks
from papayalink.adapters import errors
from papayalink.roles.control import weight_check


class Store:
    """Answers with what it is given, and counts look-ups."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = 0

    def has(self, version):
        self.asked += 1
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.mark.parametrize(
    "answers, steps",
    [
        # Each step: seconds later, expected answer, look-ups so far.
        ([True], [(0, False, 1), (60, False, 1)]),
        ([False, False, True], [(0, True, 1), (4, True, 1), (2, True, 2)]),
        ([False, True], [(0, True, 1), (6, False, 2), (60, False, 2)]),
        ([errors.Unreachable("down"), False], [(0, False, 1), (0, True, 2)]),
    ],
)
def test_missing_versions(answers, steps):
    """Guards against rollouts of weights that the store does not have."""
    clock = clocks.ManualClock()
    store = Store(*answers)
    check = weight_check.WeightCheck(store, clock)
    for seconds, missing, asked in steps:
        clock.advance(seconds)
        assert check.is_missing("v9") is missing
        assert store.asked == asked


def test_without_a_store_nothing_is_missing():
    """Guards against deployments without a weight store that never load."""
    check = weight_check.make_weight_check("", clocks.ManualClock())
    assert not check.is_missing("v9")
