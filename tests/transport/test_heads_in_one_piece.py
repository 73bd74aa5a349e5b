"""Tests of the limit of heads that arrive in one piece."""

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_LIMIT_BYTES = 2000
_GET = b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def server():
    def answer(request, responder):
        responder.respond(200, [], request.target)

    made = caller_server.make_caller_server(
        (own_host.HOST, 0),
        answer,
        answer,
        lambda: traffic.CallerLimits(header_bytes=_LIMIT_BYTES),
    )
    made.start()
    yield made
    made.stop(0.1)


def _make_head(size, length):
    """Returns: a head of as many bytes, before a body of a length."""
    start = b"POST /next HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nA: "
    head = start % length
    return head + b"a" * (size - len(head) - 4) + b"\r\n\r\n"


# Guards against heads whose limit depends on how they are cut.
@pytest.mark.parametrize("first", [b"", _GET, b"\r\n"])
@pytest.mark.parametrize("body", [b"", b"b" * 3 * _LIMIT_BYTES])
@pytest.mark.parametrize("in_two", [False, True])
@pytest.mark.parametrize(
    ("size", "status"), [(_LIMIT_BYTES, 200), (_LIMIT_BYTES + 1, 431)]
)
def test_limit_of_heads_holds(server, size, status, in_two, body, first):
    data = first + _make_head(size, len(body)) + body
    cut = len(first) + size - 1 if in_two else 0
    with socket.create_connection(server.address, 5) as sock:
        if cut:
            sock.sendall(data[:cut])
            gevent.sleep(0.02)
        sock.sendall(data[cut:])
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(1000):
            received += chunk
    statuses = [
        int(line.split()[1])
        for line in received.replace(b"/first", b"/first\r\n").split(b"\r\n")
        if line.startswith(b"HTTP/1.1 ")
    ]
    assert statuses == [200] * (first == _GET) + [status]
