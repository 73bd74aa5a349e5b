"""Tests of calls that have left a silent replica and were turned away."""

import contextlib

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from tests.roles.gateway import stubs

# Far longer than a call stays at a silent replica.
_SILENCE_S = 30.0


def _make_routes(max_attempts):
    return (
        stubs.make_route(
            "safe",
            traffic.RepeatPolicy.IDEMPOTENT,
            timeout_s=8.0,
            max_attempts=max_attempts,
        ),
    )


class _Ending(stubs.Upstream):
    """Is silent, and ends when it is told to."""

    def __init__(self, name):
        super().__init__(name, [_SILENCE_S], [_SILENCE_S])
        self._socks = []

    def _serve(self, sock, address):
        self._socks.append(sock)
        super()._serve(sock, address)

    def end(self):
        self.server.close()
        for sock in self._socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class _Refusing(stubs.Upstream):
    """Turns calls away, and notes that."""

    def __init__(self, name, note_refusal):
        super().__init__(name)
        self._note_refusal = note_refusal

    def next_steps(self, request):
        self._note_refusal()
        return [stubs.BUSY]


@pytest.fixture
def start():
    """Function that starts a gateway before upstreams."""
    started = []

    def make(upstreams, max_attempts):
        gateway = stubs.Gateway(upstreams, _make_routes(max_attempts))
        started.append(gateway)
        for other in upstreams[1:]:
            gateway.fleet.find(other.name).set_reachable(False)
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _spawn_call(gateway):
    """Call; it begins at the first upstream."""
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    with gevent.Timeout(10):
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
    return calling


# Guards against calls that end with 502 although a replica would take them,
# since they go back to the one that they have left, which has ended.
@pytest.mark.parametrize("max_attempts", [2, 6])
def test_call_goes_on_if_the_replica_that_it_left_has_ended(
    start, max_attempts
):
    refusals = []

    def note_refusal():
        refusals.append(1)
        if len(refusals) == len(refusing):
            upstreams[0].end()
            gateway.fleet.find("desk9").set_reachable(True)

    refusing = [_Refusing(f"desk{n}", note_refusal) for n in (2, 3, 4)]
    upstreams = [_Ending("desk1"), *refusing, stubs.Upstream("desk9")]
    gateway = start(upstreams, max_attempts)
    calling = _spawn_call(gateway)
    for other in refusing:
        gateway.fleet.find(other.name).set_reachable(True)
    status, _, body = calling.get(timeout=15)
    assert len(refusals) >= len(refusing)
    assert (status, body) == (200, b"ok")


# Guards against calls that stay at a second silent replica until their time
# has passed, since a refusal counts as the attempt that they have left.
def test_refusals_leave_a_call_its_attempts(start):
    upstreams = [
        stubs.Upstream("desk1", [_SILENCE_S]),
        stubs.Upstream("desk2", *[[stubs.BUSY]] * 9),
        stubs.Upstream("desk3", [_SILENCE_S]),
        stubs.Upstream("desk4"),
    ]
    gateway = start(upstreams, 3)
    calling = _spawn_call(gateway)

    def reach(index, others=()):
        with gevent.Timeout(10):
            while not all(each.received for each in others):
                gevent.sleep(0.005)
        gateway.fleet.find(upstreams[index].name).set_reachable(True)

    reach(1)
    reach(2, upstreams[1:2])
    reach(3, upstreams[2:3])
    status, _, body = calling.get(timeout=15)
    assert [bool(each.received) for each in upstreams] == [True] * 4
    assert (status, body) == (200, b"ok")


# Guards against calls that use up their attempts at the replica that they have
# left, while it stays silent and another one would take them.
def test_call_leaves_the_replica_that_it_returned_to(start):
    sound = stubs.Upstream("desk9")
    refusing = [_Refusing(f"desk{n}", lambda: None) for n in (2, 3, 4)]
    upstreams = [stubs.Upstream("desk1", *[[_SILENCE_S]] * 9), *refusing]
    gateway = start([*upstreams, sound], 3)
    calling = _spawn_call(gateway)
    for other in refusing:
        gateway.fleet.find(other.name).set_reachable(True)
    with gevent.Timeout(10):
        while len(upstreams[0].received) < 2:
            gevent.sleep(0.005)
    gateway.fleet.find(sound.name).set_reachable(True)
    status, _, body = calling.get(timeout=15)
    assert (status, body) == (200, b"ok")
    assert len(upstreams[0].received) == 2
