"""Tests of the timer service."""

from gevent import queue
import pytest

from papayalink import clock as clocks
from papayalink import timers


@pytest.fixture
def clock():
    return clocks.ManualClock()


def _drain(inbox):
    received = []
    while not inbox.empty():
        received.append(inbox.get())
    return received


@pytest.mark.parametrize(
    "advances, expected",
    [
        ([0.5], []),
        ([1.0], ["tick"]),
        ([1.0, 1.0], ["tick", "tick"]),
        # A long pause of the process must not cause a burst of messages.
        ([10.0], ["tick"]),
    ],
)
def test_periodic_delivery(clock, advances, expected):
    service = timers.TimerService(clock)
    inbox = queue.Queue()
    service.every(1.0, inbox, "tick")
    for advance in advances:
        clock.advance(advance)
        service.deliver_due()
    assert _drain(inbox) == expected


def test_cancelled_subscription_is_not_delivered(clock):
    service = timers.TimerService(clock)
    inbox = queue.Queue()
    subscription = service.after(1.0, inbox, "late")
    subscription.cancel()
    clock.advance(2.0)
    assert service.deliver_due() is None
    assert inbox.empty()


def test_single_delivery_happens_once(clock):
    service = timers.TimerService(clock)
    inbox = queue.Queue()
    service.after(1.0, inbox, "once")
    clock.advance(5.0)
    service.deliver_due()
    service.deliver_due()
    assert _drain(inbox) == ["once"]
