"""Tests of the lookup of weight versions."""

import pytest

from papayalink import clock as clocks
from papayalink.adapters import errors
from papayalink.roles.control import weight_check


class Store:
    """Returns the given answers in turn and counts lookups."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.lookups = 0

    def has(self, version):
        self.lookups += 1
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.mark.parametrize(
    "answers, steps",
    [
        # Each step: seconds that pass, expected result, lookups so far.
        ([True], [(0, False, 1), (60, False, 1)]),
        ([False, False, True], [(0, True, 1), (4, True, 1), (2, True, 2)]),
        ([False, True], [(0, True, 1), (6, False, 2), (60, False, 2)]),
        ([errors.Unreachable("down"), False], [(0, False, 1), (0, True, 2)]),
    ],
)
def test_missing_versions(answers, steps):
    """Guards against orders to load weights that the store lacks."""
    clock = clocks.ManualClock()
    store = Store(*answers)
    check = weight_check.WeightCheck(store, clock)
    for seconds, missing, lookups in steps:
        clock.advance(seconds)
        assert check.is_missing("v9") is missing
        assert store.lookups == lookups


def test_without_a_store_nothing_is_missing():
    """Guards against a deployment without a weight store that never loads."""
    check = weight_check.make_weight_check("", clocks.ManualClock())
    assert not check.is_missing("v9")
