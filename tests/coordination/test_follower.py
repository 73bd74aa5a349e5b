"""Tests of the task that polls control members."""

import gevent
from gevent import event
import pytest

from papayalink import clock as clocks
from papayalink import timers
from papayalink.coordination import follower as followers
from papayalink.transport import errors


class Client:
    """Refuses every poll with one error."""

    def __init__(self, error):
        self.error = error
        self.called = []
        self.asked = event.Event()

    def call(self, address, method, message, timeout_s):
        self.called.append(address)
        self.asked.set()
        raise self.error


@pytest.mark.parametrize(
    "error, tried", [(errors.Overloaded, 2), (errors.Timeout, 5)]
)
def test_members_tried_in_one_period(error, tried):
    """Trying all members of an overloaded group multiplies its load."""
    clock = clocks.ManualClock()
    client = Client(error("refused"))
    follower = followers.make_follower(
        ("entry-1", "entry", "i"),
        list("abcde"),
        client,
        clock,
        timers.TimerService(clock),
    )
    follower.start()
    client.asked.wait()
    gevent.sleep(0)
    follower.stop()
    assert len(set(client.called)) == len(client.called) == tried
