"""Tests of the task that polls control members."""

import gevent
from gevent import event
import pytest

from papayalink import clock as clocks
from papayalink import timers
from papayalink.coordination import configuration_poller
from papayalink.transport import errors


class Client:
    """RPC client that raises the same error for every poll."""

    def __init__(self, error):
        self.error = error
        self.called = []
        self.first_call = event.Event()

    def call(self, address, method, message, timeout_s):
        self.called.append(address)
        self.first_call.set()
        raise self.error


@pytest.mark.parametrize(
    "error, members_tried", [(errors.Overloaded, 2), (errors.Timeout, 5)]
)
def test_members_tried_in_one_period(error, members_tried):
    """Guards against polls that multiply the load of an overloaded group."""
    clock = clocks.ManualClock()
    client = Client(error("refused"))
    poller = configuration_poller.make_configuration_poller(
        ("entry-1", "entry", "i"),
        list("abcde"),
        client,
        clock,
        timers.TimerService(clock),
    )
    poller.start()
    client.first_call.wait()
    gevent.sleep(0)
    poller.stop()
    assert len(set(client.called)) == len(client.called) == members_tried
