"""Tests of values that readers see with a delay."""

import pytest

from fakes import lag


@pytest.mark.parametrize(
    "now, expected", [(1.5, "a"), (2.9, "a"), (3.0, "b"), (9.0, "c")]
)
def test_readers_see_the_value_with_a_delay(now, expected):
    value = lag.LaggedValue(2.0)
    for at, seen in [(0.0, "a"), (1.0, "b"), (1.5, "c")]:
        value.record(at, seen)
    assert value.read(now) == expected
