"""Tests of the strict server for callers."""

import gevent
from gevent import socket
import h11
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import errors

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=0.2,
    idle_timeout_s=0.4,
)
_GET = b"GET /a%2Fb?c=1 HTTP/1.1\r\nHost: x\r\n\r\n"


class _Echo:
    """Answers with what it was asked, and keeps it."""

    def __init__(self):
        self.seen = []
        self.interrupted = 0
        self.hold_s = 0.0

    def handle(self, request, responder):
        self.seen.append((request.method, request.target, request.body))
        try:
            gevent.sleep(self.hold_s)
        except errors.CallerGone:
            self.interrupted += 1
            raise
        responder.respond(200, [], request.target + b"|" + request.body)


@pytest.fixture
def echo():
    return _Echo()


@pytest.fixture
def server(echo):
    made = caller_server.make_caller_server(
        ("127.0.0.1", 0), echo.handle, lambda: _LIMITS
    )
    made.start()
    yield made
    made.stop(0.1)


def _connect(server):
    return socket.create_connection(server.address, timeout=5)


def _exchange(server, data):
    """Returns: all that comes back until the server closes."""
    with _connect(server) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while part := sock.recv(65536):
            received += part
        return received


def _read_until(sock, end):
    received = b""
    while not received.endswith(end):
        part = sock.recv(65536)
        assert part, received
        received += part
    return received


def test_target_arrives_as_sent(server, echo):
    with _connect(server) as sock:
        sock.sendall(_GET)
        assert _read_until(sock, b"/a%2Fb?c=1|").startswith(b"HTTP/1.1 200")
    assert echo.seen == [(b"GET", b"/a%2Fb?c=1", b"")]


def test_pipelined_requests_are_answered_in_order(server, echo):
    second = _GET.replace(b"c=1", b"c=2")
    with _connect(server) as sock:
        sock.sendall(_GET + second)
        _read_until(sock, b"c=2|")
    assert [target for _, target, _ in echo.seen] == [
        b"/a%2Fb?c=1",
        b"/a%2Fb?c=2",
    ]


def test_chunked_body(server, echo):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    with _connect(server) as sock:
        sock.sendall(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        _read_until(sock, b"/|abcde")
    assert echo.seen == [(b"POST", b"/", b"abcde")]


_HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize(
    "lines",
    [
        [b"Host: x", b"Content-Length: 4", b"Transfer-Encoding: chunked"],
        [b"Host: x", b"Content-Length: 4", b"Content-Length: 5"],
        [b"Host: x", b"Content-Length: +4"],
        [b"Host: x", b"Content-Length: 4, 5"],
        [b"Host: x", b"Content-Length: -1"],
        [b"Host: x", b"Transfer-Encoding: xchunked"],
        [b"Host: x", b"Transfer-Encoding: chunked, identity"],
        [b"Host: x", b"Content-Length : 4"],
        [b"Host: x", b"Host: y", b"Content-Length: 4"],
        [b"Content-Length: 4"],
        [b"Host: x", b"Bad\x00Name: 1"],
    ],
    ids=repr,
)
def test_ambiguous_requests_are_refused_whole(server, echo, lines):
    # Nothing behind an ambiguous head may be taken for another request.
    head = b"\r\n".join([b"POST / HTTP/1.1", *lines, b"", b""])
    answer = _exchange(server, head + b"0\r\n\r\n" + _HIDDEN)
    # 501 where the coding itself is not known.
    assert answer[9:12] in (b"400", b"501")
    assert answer.count(b"HTTP/1.1") == 1
    assert echo.seen == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 5000, b"431"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n"
            + b"a" * 101,
            b"413",
        ),
        (b"nonsense\r\n\r\n", b"400"),
    ],
)
def test_limits(server, echo, data, status):
    assert _exchange(server, data).startswith(b"HTTP/1.1 " + status)
    assert echo.seen == []


def test_request_that_does_not_end_is_given_up(server, echo):
    with _connect(server) as sock:
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na"
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 408")
    assert echo.seen == []


def test_idle_connection_is_closed_without_an_answer(server):
    with _connect(server) as sock:
        assert sock.recv(100) == b""


def test_caller_that_hangs_up_interrupts_its_call(server, echo):
    echo.hold_s = 30.0
    with _connect(server) as sock:
        sock.sendall(_GET)
        while not echo.seen:
            gevent.sleep(0.01)
    with gevent.Timeout(5):
        while not echo.interrupted:
            gevent.sleep(0.01)


def test_stop_answers_what_was_read(server, echo):
    # A planned stop cuts off no request in flight.
    echo.hold_s = 0.2
    with _connect(server) as sock:
        sock.sendall(_GET)
        while not echo.seen:
            gevent.sleep(0.01)
        assert server.stop(5.0)
        answer = _read_until(sock, b"/a%2Fb?c=1|")
    assert b"Connection: close" in answer


def test_failed_handler_is_an_error_of_the_server(server, echo):
    def fail(request, responder):
        raise ValueError("defect")

    server._handler = fail
    assert _exchange(server, _GET).startswith(b"HTTP/1.1 500")


def test_stop_closes_idle_connections_without_reading(server, echo):
    # Their callers know that a next request was not read.
    with _connect(server) as sock:
        sock.sendall(_GET)
        _read_until(sock, b"/a%2Fb?c=1|")
        assert server.stop(1.0)
        assert sock.recv(100) == b""
    assert len(echo.seen) == 1


def test_stop_ends_a_connection_after_the_response_that_had_begun(
    server, echo
):
    # The head was sent before the stop, so it promised another request.
    def slow(request, responder):
        responder.begin(200, [])
        responder.write(b"a")
        gevent.sleep(0.2)
        responder.end()

    server._handler = slow
    with _connect(server) as sock:
        sock.sendall(_GET)
        sock.recv(10)
        assert server.stop(5.0)
        rest = b""
        while part := sock.recv(100):
            rest += part
    assert rest.endswith(b"0\r\n\r\n")


def test_stop_serves_connections_that_wait_to_be_accepted(server, echo):
    server._server.stop_accepting()
    with _connect(server) as sock:
        sock.sendall(_GET)
        assert server.stop(5.0)
        assert b"Connection: close" in _read_until(sock, b"/a%2Fb?c=1|")


def test_caller_that_cannot_be_written_to_has_gone():
    # The upstream whose answer is passed on must not be blamed for it.
    near, far = socket.socketpair()
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(_GET)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    responder = caller_server.Responder(connection, near, lambda: False)
    far.close()
    with pytest.raises(errors.CallerGone):
        responder.respond(200, [], b"x")
    near.close()
