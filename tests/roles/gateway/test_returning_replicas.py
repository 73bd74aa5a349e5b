"""Tests of replicas that were lost together and return."""

import gevent
import pytest

from papayalink.roles.gateway import liveness as livenesses
from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs

_REPLICAS = 4
_CALLS = 40
_ROUTE = stubs.make_route(
    "once", traffic.RepeatPolicy.ONCE, timeout_s=10.0, objective_s=0.4
)


# Seconds until the first replica is probed, and until the others are unless
# something wakes their probes.
_FIRST_S = 0.3
_OTHERS_S = 30.0


@pytest.fixture
def gateway(monkeypatch):
    """A gateway that has lost its replicas, and probes the first one only."""
    upstreams = [
        standing_still.Upstream(f"desk{number}", *[[0.3, stubs.OK]] * _CALLS)
        for number in range(_REPLICAS)
    ]
    started = stubs.Gateway(upstreams, [_ROUTE])
    for upstream in upstreams:
        upstream.stand_still()
    for period_s, lost in (
        (_OTHERS_S, upstreams[1:]),
        (_FIRST_S, upstreams[:1]),
    ):
        monkeypatch.setattr(livenesses, "PROBE_PERIOD_S", period_s)
        for upstream in lost:
            member = started.fleet.find(upstream.name)
            started.liveness.note_not_reached(member)
        # Their probes begin to wait.
        gevent.sleep(0.01)
    yield started
    for upstream in upstreams:
        upstream.go_on()
    started.stop()


def _spawn_calls(gateway):
    calling = [
        gevent.spawn(gateway.call, b"/once/", timeout_s=10)
        for _ in range(_CALLS)
    ]
    gevent.sleep(0.15)
    return calling


def _count_received(gateway):
    return [len(upstream.received) for upstream in gateway.upstreams]


# Guards against calls that all go to the replica that is found first again,
# while the others have returned too.
def test_waiting_calls_are_spread_over_replicas_that_return(gateway):
    calling = _spawn_calls(gateway)
    for upstream in gateway.upstreams:
        upstream.go_on()
    assert [each.get()[0] for each in calling] == [200] * _CALLS
    received = _count_received(gateway)
    assert max(received) <= 0.4 * _CALLS, received


# Guards against calls that wait for the other replicas, which stay lost.
def test_waiting_calls_use_the_only_replica_that_returns(gateway):
    calling = _spawn_calls(gateway)
    gateway.upstreams[0].go_on()
    assert [each.get()[0] for each in calling] == [200] * _CALLS
    assert _count_received(gateway) == [_CALLS, 0, 0, 0]
