"""Tests of callers that send a call before they have the last answer."""

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)
_BODY = bytes(8 * 1024 * 1024)
_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def test_answer_before_a_pipelined_request_arrives_whole_at_a_stop():
    """Guards against a reset, by unread bytes, that cuts the last answer."""
    begun = []

    def handle(request, responder):
        begun.append(request.target)
        gevent.sleep(0.2)
        responder.respond(200, [], _BODY)

    server = caller_server.make_caller_server(
        (own_host.HOST, 0), handle, handle, lambda: _LIMITS
    )
    server.start()
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(_REQUEST)
        while not begun:
            gevent.sleep(0.01)
        sock.sendall(_REQUEST)
        stopping = gevent.spawn(server.stop, 5.0)
        received = 0
        # Both answers, as an unread one would hold up the stop.
        while data := sock.recv(65536):
            gevent.sleep(0.001)
            received += len(data)
        assert received > 2 * len(_BODY)
        assert stopping.get()


_PARTS = (
    b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n",
    b"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
    b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
)


@pytest.fixture
def server():
    def answer(request, responder):
        gevent.sleep(0.1)
        responder.begin(200, [])
        responder.write(request.target + b" ran\n")
        responder.end()

    def reject(request, responder):
        responder.respond(503, [], request.target + b" refused\n")

    started = caller_server.make_caller_server(
        (own_host.HOST, 0), answer, reject, lambda: _LIMITS
    )
    started.start()
    yield started
    started._tasks.kill()


def _read_all(sock):
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


# Guards against requests that have been read behind another one, and end with
# the connection whose close the answer to that one has announced.
@pytest.mark.parametrize("count", [2, 3])
@pytest.mark.parametrize("unsent", [0, 1, 40])
@pytest.mark.parametrize("half_closes", [False, True])
def test_requests_behind_one_that_runs_are_answered_before_the_close(
    server, count, unsent, half_closes
):
    """The last bytes come while the first request runs, after the signal."""
    data = b"".join(_PARTS[:count])
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(data[: len(data) - unsent])
        while not server.in_flight:
            gevent.sleep(0.001)
        server.close_after_responses()
        sock.sendall(data[len(data) - unsent :])
        if half_closes:
            sock.shutdown(socket.SHUT_WR)
        received = _read_all(sock)
    for number in range(count):
        assert received.count(b"/%d ran" % number) == 1
    assert received.count(b"Connection: close") == 1


def test_requests_behind_one_that_runs_are_refused_at_the_close(server):
    """Guards against the same when idle connections are being closed."""
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(b"".join(_PARTS))
        while not server.in_flight:
            gevent.sleep(0.001)
        server.close_after_responses()
        stopping = gevent.spawn(server.stop, 5.0)
        received = _read_all(sock)
        assert stopping.get()
    assert b"/0 ran" in received
    assert b"/1 refused" in received
    assert received.endswith(b"/2 refused\n")
    assert received.count(b"Connection: close") == 1


def test_requests_behind_one_that_is_interrupted_are_refused(server):
    """Guards against the same when the process ends before the answer."""
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(b"".join(_PARTS))
        while not server.in_flight:
            gevent.sleep(0.001)
        assert not server.stop(0.0)
        ending = gevent.spawn(server.end_requests, 5.0)
        received = _read_all(sock)
        assert ending.get()
    for number in range(3):
        assert b"/%d refused" % number in received


# Guards against a process that stands still, with all of its calls and its
# stop, while one caller keeps sending requests that are answered at once.
@pytest.mark.parametrize("stops", [False, True])
def test_pipelined_requests_do_not_hold_up_other_callers(stops):
    count = 300
    taken = []
    others = []

    def answer(request, responder):
        taken.append(request.target)
        if len(taken) == 1:
            if stops:
                stopping.append(gevent.spawn(server.stop, 5.0))
                gevent.sleep(0.01)
            others[0].sendall(b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
        responder.respond(200, [])

    stopping = []
    server = caller_server.make_caller_server(
        (own_host.HOST, 0), answer, answer, lambda: _LIMITS
    )
    server.start()
    with (
        socket.create_connection(server.address, 5) as busy,
        socket.create_connection(server.address, 5) as other,
    ):
        gevent.sleep(0.05)
        others.append(other)
        busy.sendall(_REQUEST * count)
        assert other.recv(1000).startswith(b"HTTP/1.1 200")
        answers = b""
        while answers.count(b"HTTP/1.1 200") < count:
            answers += busy.recv(65536)
    gevent.joinall(stopping)
    server.stop(1.0)
    assert len(taken) == count + 1
    assert taken[-1] == b"/"
