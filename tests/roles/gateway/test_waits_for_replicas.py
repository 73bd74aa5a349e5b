"""Tests of calls that wait until a replica can be used."""

import time

import gevent
import msgspec
import pytest

from papayalink.roles.gateway import replica_wait
from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs

_ROUTE = stubs.make_route(
    "patient", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=240.0
)
# Shorter than the time that a call with this route may wait.
_CALL_TIMEOUT_S = 30


@pytest.fixture
def start(monkeypatch):
    """Function that starts a gateway before upstreams that can stand still."""
    monkeypatch.setattr(replica_wait, "MAX_RETURN_S", 60.0)
    started = []

    def make(count):
        upstreams = [
            standing_still.Upstream(f"desk{number}") for number in range(count)
        ]
        started.append(stubs.Gateway(upstreams, [_ROUTE]))
        return started[-1]

    yield make
    for gateway in started:
        for upstream in gateway.upstreams:
            upstream.go_on()
        gateway.stop()


def _lose(gateway, upstream):
    upstream.stand_still()
    gateway.liveness.note_not_reached(gateway.fleet.find(upstream.name))


def _spawn_call(gateway):
    calling = gevent.spawn(
        gateway.call, b"/patient/", timeout_s=_CALL_TIMEOUT_S
    )
    gevent.sleep(0.1)
    return calling


# Guards against calls that wait for lost replicas while the list names one
# that they can be sent to, or none at all.
@pytest.mark.parametrize("listed, status", [("desk1", 200), ("", 503)])
def test_calls_that_wait_learn_of_a_newer_list(start, listed, status):
    gateway = start(2)
    replica = gateway.fleet.find("desk1").replica
    gateway.fleet.update([gateway.fleet.find("desk0").replica])
    _lose(gateway, gateway.upstreams[0])
    calling = _spawn_call(gateway)
    gateway.fleet.update([replica] if listed else [])
    assert calling.get()[0] == status
    assert not gateway.upstreams[0].received


# Guards against calls that wait for lost replicas, and are refused, while
# another one takes connections.
def test_failed_connections_leave_the_other_replicas_to_a_call(start):
    gateway = start(5)
    *lost, other = gateway.upstreams
    for upstream in lost:
        upstream.stand_still()
    for _ in range(9):
        gateway.fleet.find(other.name).note_result(True)
    assert _spawn_call(gateway).get()[0] == 200
    assert len(other.received) == 1


# Guards against calls that wait for lost replicas after one that has turned
# calls away takes them again.
def test_calls_that_wait_are_sent_once_a_refusal_has_ended(start):
    gateway = start(2)
    lost, other = gateway.upstreams
    _lose(gateway, lost)
    gateway.fleet.find(other.name).note_full(time.monotonic(), 0.5)
    calling = _spawn_call(gateway)
    assert not other.received
    assert calling.get()[0] == 200
    assert len(other.received) == 1


# Guards against calls that wait for replicas that refuse connections: these
# have ended, and their callers can be told at once.
def test_calls_do_not_wait_for_replicas_that_refuse_connections(start):
    gateway = start(2)
    gateway.fleet.update(
        msgspec.structs.replace(member.replica, address="127.0.0.1:1")
        for member in list(gateway.fleet.all_members())
    )
    for _ in range(2):
        assert _spawn_call(gateway).get()[0] == 503
