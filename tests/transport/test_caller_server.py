"""Tests of the strict HTTP server for callers."""

import gevent
from gevent import socket
import h11
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import errors
from papayalink.transport import responders
from tests import own_host

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=0.2,
    idle_timeout_s=0.4,
)
_GET = b"GET /a%2Fb?c=1 HTTP/1.1\r\nHost: x\r\n\r\n"


class _EchoHandler:
    """Echoes each request and records it."""

    def __init__(self):
        self.requests = []
        self.interrupted_calls = 0
        self.delay_s = 0.0

    def handle(self, request, responder):
        self.requests.append((request.method, request.target, request.body))
        try:
            gevent.sleep(self.delay_s)
        except errors.CallerGone:
            self.interrupted_calls += 1
            raise
        responder.respond(200, [], request.target + b"|" + request.body)

    def reject(self, request, responder):
        responder.respond(503, [], request.target + b"|rejected")


@pytest.fixture
def echo():
    return _EchoHandler()


@pytest.fixture
def server(echo):
    started = caller_server.make_caller_server(
        (own_host.HOST, 0), echo.handle, echo.reject, lambda: _LIMITS
    )
    started.start()
    yield started
    started.stop(0.1)


def _connect(server):
    return socket.create_connection(server.address, timeout=5)


def _send_and_read_all(server, data):
    """Returns: all bytes received until the server closes."""
    with _connect(server) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
        return received


def _read_until(sock, suffix):
    received = b""
    while not received.endswith(suffix):
        chunk = sock.recv(65536)
        assert chunk, received
        received += chunk
    return received


def test_target_arrives_as_sent(server, echo):
    with _connect(server) as sock:
        sock.sendall(_GET)
        assert _read_until(sock, b"/a%2Fb?c=1|").startswith(b"HTTP/1.1 200")
    assert echo.requests == [(b"GET", b"/a%2Fb?c=1", b"")]


def test_pipelined_requests_are_answered_in_order(server, echo):
    second = _GET.replace(b"c=1", b"c=2")
    with _connect(server) as sock:
        sock.sendall(_GET + second)
        _read_until(sock, b"c=2|")
    assert [target for _, target, _ in echo.requests] == [
        b"/a%2Fb?c=1",
        b"/a%2Fb?c=2",
    ]


def test_chunked_body(server, echo):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    with _connect(server) as sock:
        sock.sendall(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        _read_until(sock, b"/|abcde")
    assert echo.requests == [(b"POST", b"/", b"abcde")]


_SMUGGLED = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"


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
def test_ambiguous_request_and_bytes_behind_it_are_refused(
    server, echo, lines
):
    # Bytes behind an ambiguous head must not be read as another request.
    head = b"\r\n".join([b"POST / HTTP/1.1", *lines, b"", b""])
    answer = _send_and_read_all(server, head + b"0\r\n\r\n" + _SMUGGLED)
    # 501 is for an unknown transfer coding.
    assert answer[9:12] in (b"400", b"501")
    assert answer.count(b"HTTP/1.1") == 1
    assert echo.requests == []


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
def test_oversized_and_malformed_requests_are_refused(
    server, echo, data, status
):
    assert _send_and_read_all(server, data).startswith(b"HTTP/1.1 " + status)
    assert echo.requests == []


def test_incomplete_request_times_out(server, echo):
    with _connect(server) as sock:
        sock.sendall(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na"
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 408")
    assert echo.requests == []


def test_idle_connection_is_closed_without_an_answer(server):
    with _connect(server) as sock:
        assert sock.recv(100) == b""


def test_caller_that_hangs_up_interrupts_its_call(server, echo):
    echo.delay_s = 30.0
    with _connect(server) as sock:
        sock.sendall(_GET)
        while not echo.requests:
            gevent.sleep(0.01)
    with gevent.Timeout(5):
        while not echo.interrupted_calls:
            gevent.sleep(0.01)


def test_stop_answers_requests_that_were_read(server, echo):
    # A planned stop must not cut off requests in flight.
    echo.delay_s = 0.2
    with _connect(server) as sock:
        sock.sendall(_GET)
        while not echo.requests:
            gevent.sleep(0.01)
        assert server.stop(5.0)
        answer = _read_until(sock, b"/a%2Fb?c=1|")
    assert b"Connection: close" in answer


def test_failing_handler_yields_an_internal_server_error(server, echo):
    def fail(request, responder):
        raise ValueError("defect")

    server._handler = fail
    assert _send_and_read_all(server, _GET).startswith(b"HTTP/1.1 500")


def test_stop_closes_idle_connections(server, echo):
    # Callers see the close and know that no further request was read.
    with _connect(server) as sock:
        sock.sendall(_GET)
        _read_until(sock, b"/a%2Fb?c=1|")
        assert server.stop(1.0)
        assert sock.recv(100) == b""
    assert len(echo.requests) == 1


def test_stop_ends_a_connection_after_the_response_that_had_begun(
    server, echo
):
    # The head was sent before the stop, so it did not announce the close.
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
        while chunk := sock.recv(100):
            rest += chunk
    assert rest.endswith(b"0\r\n\r\n")


def test_stop_serves_connections_in_the_accept_queue(server, echo):
    server._server.stop_accepting()
    with _connect(server) as sock:
        sock.sendall(_GET)
        assert server.stop(5.0)
        assert b"Connection: close" in _read_until(sock, b"/a%2Fb?c=1|")


def test_failed_write_to_the_caller_raises_caller_gone():
    # It must not count as a fault of the upstream whose answer is sent.
    near, far = socket.socketpair()
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(_GET)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    responder = responders.make_responder(connection, near, lambda: False)
    far.close()
    with pytest.raises(errors.CallerGone):
        responder.respond(200, [], b"x")
    near.close()


def test_head_that_drips_is_refused_in_time(server, echo):
    """Guards against single bytes that extend the time for the head."""
    with _connect(server) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nX: ")
        received = b""
        with gevent.Timeout(10):
            while not received:
                sock.sendall(b"y")
                sock.settimeout(0.05)
                try:
                    received = sock.recv(100)
                except TimeoutError:
                    pass
    assert received.startswith(b"HTTP/1.1 408 ")
    assert not echo.requests


def test_stop_answers_a_request_that_has_just_arrived(server, echo):
    """Guards against an idle connection closed with its next request."""
    with _connect(server) as sock:
        sock.sendall(_GET)
        assert sock.recv(1000).endswith(b"/a%2Fb?c=1|")
        # Lets the connection become idle.
        gevent.sleep(0.02)
        sock.sendall(_GET)
        assert server.stop(5)
        received = b""
        while data := sock.recv(1000):
            received += data
    assert received.endswith(b"/a%2Fb?c=1|")
    assert b"Connection: close" in received
    assert len(echo.requests) == 2


# Seconds that a request takes to arrive after its connection was made.
@pytest.mark.parametrize("transit_s", [0.01, 0.12])
def test_stop_answers_a_caller_that_has_just_connected(
    transit_s, server, echo
):
    """Guards against a connection closed while its request is on its way."""
    with _connect(server) as sock:
        while not len(server._waits):
            gevent.sleep(0)
        stopping = gevent.spawn(server.stop, 5.0)
        gevent.sleep(transit_s)
        sock.sendall(_GET)
        assert b"Connection: close" in _read_until(sock, b"/a%2Fb?c=1|")
        assert stopping.get()


@pytest.mark.parametrize("timeout_s", [0.07, 0.13, 5.0])
def test_stop_ends_in_time_beside_a_caller_that_sends_nothing(
    timeout_s, server
):
    """Guards against short stops that wait until their end for a request."""
    with _connect(server):
        while not len(server._waits):
            gevent.sleep(0)
        assert server.stop(timeout_s)


def test_stop_waits_for_a_request_that_has_arrived_in_part(server, echo):
    """Guards against a process that ends with a request half read."""
    with _connect(server) as sock:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
        sock.sendall(head + b"a")
        gevent.sleep(0.02)
        stopping = gevent.spawn(server.stop, 5.0)
        gevent.sleep(0.1)
        assert not stopping.ready()
        sock.sendall(b"b")
        assert b"Connection: close" in _read_until(sock, b"/|ab")
        assert stopping.get()


def test_request_behind_an_answer_that_announced_no_close_is_rejected(
    server, echo
):
    """Guards against a request that is begun and cut when the process ends.

    The caller of a stream whose head was sent before the stop can't expect
    the close, so the connection must not be reset under its next request.
    """

    def stream_first(request, responder):
        if request.method == b"POST":
            echo.handle(request, responder)
            return
        responder.begin(200, [])
        gevent.sleep(0.2)
        responder.end()

    server._handler = stream_first
    with _connect(server) as sock:
        sock.sendall(_GET)
        sock.recv(10)
        stopping = gevent.spawn(server.stop, 5.0)
        _read_until(sock, b"0\r\n\r\n")
        sock.sendall(b"POST /next HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = _read_until(sock, b"/next|rejected")
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Connection: close" in answer
        assert stopping.get()
    assert echo.requests == []


def test_response_to_http_1_0_that_breaks_off_does_not_look_whole():
    """Guards against a short stream that looks whole to its caller.

    Only the end of the connection ends such a response.
    """

    def break_off(request, responder):
        responder.begin(200, [])
        responder.write(b"part")
        raise errors.ResponseAborted("upstream broke off")

    server = caller_server.make_caller_server(
        (own_host.HOST, 0), break_off, break_off, lambda: _LIMITS
    )
    server.start()
    try:
        with _connect(server) as sock:
            sock.sendall(b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                while sock.recv(65536):
                    pass
    finally:
        server.stop(0.1)


@pytest.fixture
def serve():
    """Returns: function that starts a server with a handler."""
    started = []

    def start(handler):
        started.append(
            caller_server.make_caller_server(
                (own_host.HOST, 0), handler, handler, lambda: _LIMITS
            )
        )
        started[-1].start()
        return started[-1]

    yield start
    for each in started:
        each.stop(0.1)


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (errors.NotConnected("a"), b"502"),
        (errors.ConnectionRefused("a"), b"502"),
        (errors.ConnectionLost("a"), b"502"),
        (errors.Timeout("a"), b"502"),
        (errors.RpcRefused("a"), b"502"),
        (ValueError("a"), b"500"),
    ],
    ids=lambda value: type(value).__name__,
)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_handler_that_fails_before_its_response_is_answered(
    serve, error, status, version
):
    """Guards against a request that got neither an answer nor a refusal."""

    def fail(request, responder):
        raise error

    request = _GET.replace(b"1.1", version)
    received = _send_and_read_all(serve(fail), request)
    assert received.startswith(b"HTTP/1.1 " + status)
    assert received.endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("status", "headers", "body"),
    [
        (200, [(b"A B", b"x")], b""),
        (200, [(b"A", b"x\ny")], b""),
        (99, [], b""),
        (204, [], b"text"),
        (304, [], b"text"),
        (200, [(b"Content-Length", b"1"), (b"Content-Length", b"2")], b""),
    ],
)
def test_response_that_cannot_be_sent_becomes_an_error(
    serve, status, headers, body
):
    """Guards against the same where the parser refuses the response."""
    server = serve(
        lambda request, responder: responder.respond(status, headers, body)
    )
    received = _send_and_read_all(server, _GET)
    assert received.startswith((b"HTTP/1.1 500", b"HTTP/1.1 %d" % status))
    assert b"\r\n\r\n" in received


@pytest.mark.parametrize(
    "error", [errors.ConnectionLost("a"), ValueError("a")]
)
def test_response_that_has_begun_is_cut_by_an_error(serve, error):
    def fail(request, responder):
        responder.begin(200, [])
        responder.write(b"text")
        raise error

    received = _send_and_read_all(serve(fail), _GET)
    assert received.count(b"HTTP/1.1") == 1
    assert not received.endswith(b"0\r\n\r\n")
