"""Tests of the bounds on a member's clock."""

import pytest

from papayalink.coordination import member_clock

_AHEAD_S = 50.0


# Guards against statements that count as newer or older than they can be,
# because an exchange took long, and against bounds that drift has made wrong.
@pytest.mark.parametrize(
    ("exchanges", "now", "earliest_reading", "earliest_time"),
    [
        # When the request was sent, when the member replied, and when its
        # reply was read; the bounds are of now and of its reading.
        ([(10.0, 10.0, 10.0)], 10.0, 10.0, 10.0),
        ([(10.0, 13.0, 14.0)], 14.0, 13.0, 11.0),
        # A slow exchange does not replace a quick one.
        ([(10.0, 10.1, 10.2), (11.0, 14.0, 15.0)], 15.0, 14.9, 14.9),
        ([(11.0, 14.0, 15.0), (15.0, 15.1, 15.2)], 15.2, 15.1, 15.1),
        # Drift has widened the bounds of the quick one.
        ([(10.0, 10.1, 10.2), (5e3, 5e3 + 1, 5e3 + 2)], 5e3 + 2, 5001, 5001),
    ],
)
def test_bounds_after_exchanges(
    exchanges, now, earliest_reading, earliest_time
):
    clock = member_clock.make_member_clock()
    for sent_at, replied_at, read_at in exchanges:
        clock.note(replied_at + _AHEAD_S, sent_at, read_at)
    tolerance_s = member_clock.MAX_DRIFT * 10.0
    reading = clock.earliest_reading(now) - _AHEAD_S
    assert earliest_reading - tolerance_s <= reading <= earliest_reading
    at = clock.earliest_time(now + _AHEAD_S)
    assert earliest_time - tolerance_s <= at <= earliest_time


def test_clock_is_unknown_before_the_first_reply():
    clock = member_clock.make_member_clock()
    assert clock.earliest_reading(10.0) is None
    assert clock.earliest_time(10.0) == float("-inf")
