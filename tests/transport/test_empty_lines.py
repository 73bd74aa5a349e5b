"""Tests of empty lines that callers send before a request or behind one."""

import contextlib

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=30.0,
    idle_timeout_s=30.0,
)
_POST = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
_GET = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
_LAST = b"GET /9 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class _Handler:
    """Echoes the target and the body."""

    def __init__(self):
        self.delay_s = 0.0
        self.requests = []

    def handle(self, request, responder):
        self.requests.append(request)
        gevent.sleep(self.delay_s)
        responder.respond(200, [], request.target + b"|" + request.body)

    def reject(self, request, responder):
        responder.respond(503, [])


@pytest.fixture
def handler():
    return _Handler()


@pytest.fixture
def limits():
    """Returns: a list whose only entry is in force."""
    return [_LIMITS]


@pytest.fixture
def server(handler, limits):
    started = caller_server.make_caller_server(
        (own_host.HOST, 0), handler.handle, handler.reject, lambda: limits[0]
    )
    started.start()
    yield started
    started._tasks.kill()


def _connect(server):
    return socket.create_connection(server.address, timeout=5)


def _read_all(sock):
    received = b""
    while chunk := sock.recv(65536):
        received += chunk
    return received


def _read_until_closed(sock):
    # Bytes that cross the close reset the connection.
    with contextlib.suppress(OSError):
        _read_all(sock)


def _in_one(data):
    return [data]


def _in_bytes(data):
    return [data[start : start + 1] for start in range(len(data))]


def _behind_each_line(data):
    return data.splitlines(keepends=True)


@pytest.mark.parametrize("split", [_in_one, _in_bytes, _behind_each_line])
@pytest.mark.parametrize(
    ("data", "targets"),
    [
        (b"\r\n" + _LAST, [b"/9"]),
        (b"\r\n\r\n\r\n" + _LAST, [b"/9"]),
        (_POST % 1 + b"\r\n" + _LAST, [b"/1", b"/9"]),
        (
            _GET % 1 + b"\r\n" + _GET % 2 + b"\r\n" + _LAST,
            [b"/1", b"/2", b"/9"],
        ),
        (b"\r\n" + _POST % 1 + b"\r\n\r\n" + _LAST, [b"/1", b"/9"]),
    ],
    ids=["before", "several", "behind a body", "between", "both"],
)
def test_request_behind_an_empty_line_is_answered(
    server, handler, data, targets, split
):
    """Guards against 400 for a caller that ends its bodies with a line."""
    with _connect(server) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in split(data):
            sock.sendall(part)
            gevent.sleep(0)
        received = _read_all(sock)
    assert [request.target for request in handler.requests] == targets
    assert received.count(b"HTTP/1.1 200 ") == len(targets)
    assert received.count(b"HTTP/1.1 ") == len(targets)


def test_request_behind_many_empty_lines_is_answered(server):
    """Guards against a limit of heads that counts what is no head."""
    with _connect(server) as sock:
        sock.sendall(b"\r\n" * 40_000 + _LAST)
        assert _read_all(sock).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "start", [b"\r", b"\n", b" \r\n", b"\r\r\n", b"\r\n\r", b"\r\n\n"]
)
def test_bytes_that_are_no_empty_line_are_refused(server, handler, start):
    """Guards against requests that are found behind other bytes."""
    with _connect(server) as sock:
        sock.sendall(start + _LAST)
        received = _read_all(sock)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert handler.requests == []


def test_time_of_a_request_counts_from_its_own_bytes(server, handler):
    """Guards against less time for a call behind an empty line."""
    with _connect(server) as sock:
        sock.sendall(_GET % 1 + b"\r\n")
        gevent.sleep(0.3)
        sock.sendall(_LAST)
        _read_all(sock)
    first, second = handler.requests
    assert second.arrived_at - first.arrived_at >= 0.25


@pytest.mark.parametrize(
    "sent", [b"\r\n", b"\r", _GET % 1 + b"\r\n", _GET % 1 + b"\r\n\r"]
)
@pytest.mark.parametrize("ends", [True, False])
def test_connection_with_an_empty_line_ends_as_an_idle_one(
    server, handler, limits, sent, ends
):
    """Guards against 400 or 408 on a connection without a request."""
    limits[0] = traffic.CallerLimits(idle_timeout_s=0.3)
    with _connect(server) as sock:
        sock.sendall(sent)
        if ends:
            sock.shutdown(socket.SHUT_WR)
        received = _read_all(sock)
    assert received.count(b"HTTP/1.1 ") == len(handler.requests)
    assert received.count(b"HTTP/1.1 200 ") == len(handler.requests)


def test_empty_lines_do_not_extend_the_idle_time(server, limits):
    """Guards against connections that are kept open without a request."""
    limits[0] = traffic.CallerLimits(idle_timeout_s=0.3)
    with _connect(server) as sock:
        reading = gevent.spawn(_read_until_closed, sock)
        for _ in range(100):
            try:
                sock.sendall(b"\r\n")
            except OSError:
                break
            gevent.sleep(0.05)
        else:
            pytest.fail("the connection was not closed")
        reading.join()


@pytest.mark.parametrize("waits", [True, False])
def test_answer_before_an_empty_line_announces_the_close(
    server, handler, waits
):
    """Guards against a close at a stop that its caller was not told of."""
    handler.delay_s = 0.2
    server.close_after_responses()
    with _connect(server) as sock:
        sock.sendall(_POST % 1 + b"\r\n" * (not waits))
        if waits:
            gevent.sleep(0.1)
            sock.sendall(b"\r\n")
        received = _read_all(sock)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in received
    assert received.endswith(b"/1|ab")


@pytest.mark.parametrize("sent", [b"", _GET % 1])
def test_stop_closes_connections_with_an_empty_line(server, handler, sent):
    """Guards against a stop that takes them for requests, and refuses them."""
    with _connect(server) as sock:
        sock.sendall(sent + b"\r\n")
        gevent.sleep(0.05)
        assert server.stop(5.0)
        received = _read_all(sock)
    assert received.count(b"HTTP/1.1 ") == len(handler.requests)


@pytest.mark.parametrize("split", [_in_one, _behind_each_line])
def test_request_behind_an_empty_line_is_answered_at_a_stop(server, split):
    """Guards against a request that is lost behind an empty line."""
    with _connect(server) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stopping = gevent.spawn(server.stop, 5.0)
        for part in split(b"\r\n" + _LAST):
            sock.sendall(part)
            gevent.sleep(0)
        assert _read_all(sock).startswith(b"HTTP/1.1 200 ")
    assert stopping.get()
