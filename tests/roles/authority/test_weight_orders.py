"""Tests of orders around a hand-over between two leaders.

At no time may two members act as the holder: a new leader waits until the
earlier one must have stopped, and a leader that has lost its quorum while it
prepared an order does not send it.
"""

from types import SimpleNamespace

import gevent
from gevent import event
import msgspec
import pytest

from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import upstream_client
from papayalink.roles.authority import list_relay
from papayalink.roles.authority import weights
from papayalink.state import replicas
from papayalink.state import upstreams

_LEASE_S = 0.3
_ORDER_DELAY_S = 0.1


class _Clock:
    """Clock of the orders, which only the test moves."""

    def __init__(self):
        self._now = 1000.0
        self._sleepers = []

    def monotonic(self):
        return self._now

    def sleep(self, seconds):
        woken = event.Event()
        self._sleepers.append((self._now + seconds, woken))
        woken.wait()

    def advance(self, seconds):
        """Let time pass, and all tasks do what is due by then."""
        end = self._now + seconds
        while due := [each for each in self._sleepers if each[0] <= end]:
            self._now, woken = min(due, key=lambda each: each[0])
            self._sleepers.remove((self._now, woken))
            woken.set()
            gevent.idle()
        self._now = end
        gevent.idle()


class _Platform:
    """One replica that loads weights as ordered."""

    def __init__(self):
        self.version = 1
        self.orders = []

    def list_replicas(self):
        return [
            replicas.Replica(
                replica_id="r1",
                service="s",
                address="127.0.0.1:1",
                zone="z",
                slots=1,
                condition=replicas.Condition.READY,
                weights={"m": self.version},
            )
        ]

    def read_report(self, replica):
        return upstream_client.Report({"m": self.version})

    def order_weights(self, replica, model, version, holder, fence):
        self.orders.append((holder, fence))
        self.version = version
        return True


class _Replica:
    """Replica of the control group whose leadership the test decides.

    Attributes:
        opened: commands that were proposed to it.
    """

    def __init__(self):
        self.is_leader = False
        self.reachable = True
        self.opened = []

    def confirm(self):
        if not self.reachable:
            raise errors.Unavailable("no quorum")

    def propose(self, data, timeout_s):
        self.opened.append(data)
        order = upstreams.Order("r1", 7, "load_weights", "m@2", "v1")
        return msgspec.msgpack.encode(upstreams.Opened(order))


@pytest.fixture
def member(monkeypatch):
    monkeypatch.setattr(weights, "STATUS_DELAY_S", 0.01)
    monkeypatch.setattr(weights, "ORDER_DELAY_S", _ORDER_DELAY_S)
    clock = _Clock()
    monkeypatch.setattr(weights, "time", clock)
    monkeypatch.setattr(
        weights,
        "gevent",
        SimpleNamespace(spawn=gevent.spawn, sleep=clock.sleep),
    )
    machine = SimpleNamespace(
        numbered=SimpleNamespace(weights={"m": 2}),
        upstreams=SimpleNamespace(open_orders=()),
    )
    replica = _Replica()
    platform = _Platform()
    inboxes = []
    node = SimpleNamespace(
        settings=SimpleNamespace(
            name="v1",
            bounds=SimpleNamespace(lease_ms=1000 * _LEASE_S),
        ),
        timers=SimpleNamespace(
            every=lambda period_s, inbox, message: inboxes.append(
                (inbox, message)
            )
        ),
        metrics=metrics_module.make_metrics(),
    )
    upkeep = weights.make_weight_upkeep(
        node,
        SimpleNamespace(confirm=replica.confirm),
        replica,
        machine,
        platform,
        list_relay.make_list_relay(platform, node.metrics),
    )
    upkeep.start()

    def wake():
        for inbox, message in inboxes:
            inbox.put(message)
        gevent.idle()

    return SimpleNamespace(
        replica=replica,
        platform=platform,
        clock=clock,
        wake=wake,
        opened=replica.opened,
    )


def test_new_leader_waits_for_the_lease_of_the_earlier_one(member):
    member.replica.is_leader = True
    member.wake()
    for _ in range(2):
        member.clock.advance(0.49 * _LEASE_S)
        member.wake()
        assert not member.opened
    member.clock.advance(0.03 * _LEASE_S)
    member.wake()
    member.clock.advance(0.9 * _ORDER_DELAY_S)
    assert member.opened and not member.platform.orders
    member.clock.advance(0.1 * _ORDER_DELAY_S)
    assert member.platform.orders == [("v1", 7)]


def test_wait_starts_again_after_a_lost_leadership(member):
    member.replica.is_leader = True
    member.wake()
    member.clock.advance(1.5 * _LEASE_S)
    member.replica.is_leader = False
    member.wake()
    member.replica.is_leader = True
    member.wake()
    member.wake()
    member.clock.advance(0.9 * _LEASE_S)
    member.wake()
    member.clock.advance(2 * _ORDER_DELAY_S)
    assert not member.opened and not member.platform.orders


@pytest.mark.parametrize("loss", ["leadership", "quorum"])
def test_order_in_preparation_is_not_sent_after_a_hand_over(member, loss):
    member.replica.is_leader = True
    member.wake()
    member.clock.advance(1.5 * _LEASE_S)
    member.wake()
    assert member.opened
    if loss == "leadership":
        member.replica.is_leader = False
    else:
        member.replica.reachable = False
    member.clock.advance(3 * _ORDER_DELAY_S)
    assert not member.platform.orders
