"""Tests of requests that are half read when a stopping server ends."""

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
_POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
_EXPECT = b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"


@pytest.fixture
def server():
    def answer(request, responder):
        responder.respond(200, [], request.body)

    def reject(request, responder):
        responder.respond(503, [])

    started = caller_server.make_caller_server(
        (own_host.HOST, 0), answer, reject, lambda: _LIMITS
    )
    started.start()
    yield started
    started._tasks.kill()


def _send_in_part(server, part):
    """Returns: the connection; the server has read all that was sent."""
    sock = socket.create_connection(server.address, timeout=5)
    sock.sendall(part)
    gevent.sleep(0.05)
    return sock


@pytest.mark.parametrize(
    "part",
    [
        b"POST / HT",
        _POST,
        _POST + b"Content-Length: 2\r\n\r\n",
        _POST + b"Content-Length: 2\r\n\r\na",
        _POST + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
        _POST + _EXPECT,
    ],
    ids=repr,
)
def test_request_that_is_half_read_at_the_end_is_refused(server, part):
    """Guards against a caller whose connection ends without an answer."""
    with _send_in_part(server, part) as sock:
        assert not server.stop(0.0)
        ending = gevent.spawn(server.end_requests, 5.0)
        received = b""
        while data := sock.recv(65536):
            received += data
    received = received.removeprefix(b"HTTP/1.1 100 \r\n\r\n")
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in received
    assert b"Retry-After: 0" in received
    assert ending.get()


def test_request_that_is_half_read_at_the_end_is_answered_once(server):
    """Guards against a second answer where the rest comes at the end."""
    head = _POST + b"Content-Length: 2\r\n\r\n"
    with _send_in_part(server, head + b"a") as sock:
        assert not server.stop(0.0)
        ending = gevent.spawn(server.end_requests, 5.0)
        sock.sendall(b"b")
        received = b""
        while data := sock.recv(65536):
            received += data
    assert received.count(b"HTTP/1.1 ") == 1
    assert received.startswith(b"HTTP/1.1 503 ")
    assert ending.get()
