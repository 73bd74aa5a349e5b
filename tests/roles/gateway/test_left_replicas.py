"""Tests of calls that have left a silent replica, which then ends."""

import gevent
import pytest

from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs

_ROUTE = stubs.make_route(
    "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=6.0, max_attempts=4
)


@pytest.fixture
def gateway():
    upstreams = [
        standing_still.Upstream(f"desk{number}", *[[0.5, stubs.OK]] * 20)
        for number in range(4)
    ]
    started = stubs.Gateway(upstreams, [_ROUTE])
    yield started
    for upstream in upstreams:
        upstream.go_on()
    started.stop()


def _use_only(gateway, *names):
    for member in gateway.fleet.all_members():
        member.set_reachable(member.replica.replica_id in names)


def _spawn_call(gateway):
    return gevent.spawn(gateway.call, b"/safe/", timeout_s=10)


def _wait_for_call(upstream):
    with gevent.Timeout(10):
        while not upstream.received:
            gevent.sleep(0.01)


def _end(gateway, upstream):
    """Let the list no longer name a replica that it named as ready."""
    gateway.crashes.note_left(gateway.fleet.find(upstream.name))


# Guards against sound requests that are refused since they had left replicas
# that were silent, and that ended for another reason some seconds later.
def test_request_that_left_silent_replicas_is_not_blocked(gateway):
    for silent in gateway.upstreams[:3]:
        _use_only(gateway, silent.name)
        calling = _spawn_call(gateway)
        _wait_for_call(silent)
        silent.stand_still()
        gateway.fleet.find("desk3").set_reachable(True)
        assert calling.get()[0] == 200
        _end(gateway, silent)
    assert len(gateway.upstreams[3].received) == 3
    assert not gateway.crashes.suspects.blocked
    _use_only(gateway, "desk3")
    assert _spawn_call(gateway).get()[0] == 200


# Guards against a call that is refused for the same reason while it runs.
def test_call_that_left_silent_replicas_is_answered(gateway):
    *others, last = gateway.upstreams[:3]
    _use_only(gateway, others[0].name)
    calling = _spawn_call(gateway)
    for silent, other in zip(others, gateway.upstreams[1:]):
        _wait_for_call(silent)
        silent.stand_still()
        gateway.fleet.find(other.name).set_reachable(True)
        _wait_for_call(other)
        _end(gateway, silent)
    last.stand_still_for(1.0)
    assert calling.get()[0] == 200
