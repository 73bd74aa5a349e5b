"""Tests of open connections beside a change of the limits on heads."""

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_SMALL_BYTES = 2000
_LARGE_BYTES = 20_000
_GET = b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n"


class _Server:
    """A server whose limit on heads changes."""

    def __init__(self, header_bytes):
        self.header_bytes = header_bytes
        self.server = caller_server.make_caller_server(
            (own_host.HOST, 0), self._answer, self._answer, self._limits
        )
        self.server.start()

    def _answer(self, request, responder):
        responder.respond(200, [], request.target)

    def _limits(self):
        return traffic.CallerLimits(header_bytes=self.header_bytes)


@pytest.fixture
def start():
    started = []

    def make(header_bytes):
        started.append(_Server(header_bytes))
        return started[-1]

    yield make
    for each in started:
        each.server.stop(0.1)


def _send_head_in_two_parts(sock, size):
    """Send a request whose head exceeds a size before its last part."""
    sock.sendall(b"GET /next HTTP/1.1\r\nHost: x\r\nA: " + b"a" * size)
    gevent.sleep(0.05)
    sock.sendall(b"\r\n\r\n")


@pytest.mark.parametrize(
    "answered_first", [False, True], ids=["opened", "answered"]
)
@pytest.mark.parametrize(
    ("before", "now", "status"),
    [
        (_SMALL_BYTES, _LARGE_BYTES, b"200"),
        (_LARGE_BYTES, _SMALL_BYTES, b"431"),
    ],
)
def test_changed_limit_of_heads_holds_on_open_connections(
    start, before, now, status, answered_first
):
    """Guards against heads that are refused as an older document says."""
    changing = start(before)
    with socket.create_connection(changing.server.address, 5) as sock:
        if answered_first:
            sock.sendall(_GET)
            assert sock.recv(1000).endswith(b"/first")
        while not len(changing.server._waits):
            gevent.sleep(0)
        changing.header_bytes = now
        _send_head_in_two_parts(sock, (_SMALL_BYTES + _LARGE_BYTES) // 2)
        assert sock.recv(1000).startswith(b"HTTP/1.1 " + status)


def test_pipelined_request_is_read_under_changed_limits(start):
    """Guards against requests that are lost between two parsers."""
    changing = start(_SMALL_BYTES)
    with socket.create_connection(changing.server.address, 5) as sock:
        sock.sendall(_GET + b"GET /next HTTP/1.1\r\nHost: x\r\nA: ")
        assert sock.recv(1000).endswith(b"/first")
        gevent.sleep(0.05)
        sock.sendall(b"a\r\n\r\n" + _GET + _GET)
        received = b""
        while received.count(b"/first") < 2:
            received += sock.recv(1000)
    assert received.find(b"/next") < received.find(b"/first")
