"""Tests of requests that arrive while a gateway stands still."""

import time

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from tests.roles.gateway import stubs

_ROUTE = stubs.make_route(
    "safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=6.0
)
_PAUSE_S = 0.8
_HEAD = (
    b"POST /safe/%d HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n"
    b"Papayalink-Request-Id: c1\r\nPapayalink-Deadline-Ms: %d\r\n\r\n"
)


@pytest.fixture
def gateway():
    started = stubs.Gateway([stubs.Upstream("desk0")], [_ROUTE])
    yield started
    started.stop()


def _stand_still(seconds):
    """Let no greenlet run, as a process that is paused."""
    time.sleep(seconds)


def _given_s(request):
    _, _, rest = request.lower().partition(b"papayalink-deadline-ms: ")
    return int(rest.split(b"\r\n")[0]) / 1000


def _read_status(sock):
    return int(sock.recv(65536).split()[1])


# Guards against replicas that are given time which the caller no longer has.
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
def test_time_in_which_a_request_was_not_read_counts(gateway, kept):
    with socket.create_connection(gateway.server.address, 10) as sock:
        if kept:
            sock.sendall(_HEAD % (1, 2000) + b"hi")
            assert _read_status(sock) == 200
            gateway.upstreams[0].received.clear()
        else:
            gevent.sleep(0.05)
        sock.sendall(_HEAD % (2, 2000) + b"hi")
        _stand_still(_PAUSE_S)
        assert _read_status(sock) == 200
    (request,) = gateway.upstreams[0].received
    assert _given_s(request) <= 2.0 - _PAUSE_S + 0.1


# Guards against the same for a request whose body comes later.
def test_time_counts_from_the_first_bytes(gateway):
    with socket.create_connection(gateway.server.address, 10) as sock:
        sock.sendall(_HEAD % (1, 2000))
        gevent.sleep(_PAUSE_S)
        sock.sendall(b"hi")
        assert _read_status(sock) == 200
    (request,) = gateway.upstreams[0].received
    assert _given_s(request) <= 2.0 - _PAUSE_S + 0.1


# Guards against the same for a request that waited behind another one.
def test_time_counts_for_pipelined_requests(gateway):
    gateway.upstreams[0].script = [[_PAUSE_S, stubs.OK]]
    with socket.create_connection(gateway.server.address, 10) as sock:
        sock.sendall(_HEAD % (1, 2000) + b"hi" + _HEAD % (2, 2000) + b"hi")
        received = b""
        while received.count(b"HTTP/1.1 200") < 2:
            chunk = sock.recv(65536)
            assert chunk, received
            received += chunk
    _, second = gateway.upstreams[0].received
    assert _given_s(second) <= 2.0 - _PAUSE_S + 0.1


# Guards against calls that run for callers who have given up.
def test_request_that_is_read_too_late_is_refused(gateway):
    with socket.create_connection(gateway.server.address, 10) as sock:
        gevent.sleep(0.05)
        sock.sendall(_HEAD % (1, 500) + b"hi")
        _stand_still(_PAUSE_S)
        assert _read_status(sock) == 503
    assert not gateway.upstreams[0].received
