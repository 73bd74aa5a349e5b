"""Tests that each end of a connection with a call in it leaves a line."""

import gevent
from gevent import socket
import pytest
from structlog import testing

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import errors
from tests import own_host
from tests.transport import sockets

_REQUEST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
_ENDS = ("call_cut", "caller_left")


class _Server:
    """A server whose handler does what a test says."""

    def __init__(self, handle, reject):
        self.running = []
        self._handle = handle
        self.server = caller_server.make_caller_server(
            (own_host.HOST, 0), self._answer, reject, traffic.CallerLimits
        )
        self.server.start()

    def _answer(self, request, responder):
        responder.call_id = "c1"
        self.running.append(gevent.getcurrent())
        self._handle(request, responder)


@pytest.fixture
def start():
    started = []

    def make(handle, reject=lambda request, responder: None):
        started.append(_Server(handle, reject))
        return started[-1]

    yield make
    for each in started:
        each.server._server.close()
        each.server._tasks.kill()


def _begin(responder):
    responder.begin(200, [(b"Content-Length", b"4")])
    responder.write(b"ab")


def _raise(error, begun):
    def handle(request, responder):
        if begun:
            _begin(responder)
        raise error

    return handle


def _wait(request, responder):
    gevent.sleep(30)


def _wait_within_the_answer(request, responder):
    _begin(responder)
    gevent.sleep(30)


def _return_early(request, responder):
    pass


def _return_within_the_answer(request, responder):
    _begin(responder)


def _read_all(sock):
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionResetError:
        pass
    return received


def _collect(logs):
    return [each for each in logs if each["event"] in _ENDS]


# Guards against connections that end without a trace of the call on them.
@pytest.mark.parametrize(
    "handle, event, head_sent, reason",
    [
        (
            _raise(errors.CallerGone("hung up"), False),
            "caller_left",
            False,
            "CallerGone('hung up')",
        ),
        (
            _raise(errors.ResponseAborted("no more"), True),
            "call_cut",
            True,
            "ResponseAborted('no more')",
        ),
        (
            _raise(KeyError("x"), True),
            "call_cut",
            True,
            "ResponseAborted('handler failed in its response')",
        ),
        (
            _raise(errors.ServerStops("stop"), True),
            "call_cut",
            True,
            "ResponseAborted('server ends')",
        ),
        (
            # The stop of a rejected call comes to nothing.
            _raise(errors.ServerStops("stop"), False),
            "call_cut",
            False,
            "ResponseAborted('handler has not answered')",
        ),
        (
            _raise(gevent.GreenletExit("killed"), False),
            "call_cut",
            False,
            "GreenletExit('killed')",
        ),
        (
            _return_early,
            "call_cut",
            False,
            "ResponseAborted('handler has not answered')",
        ),
        (
            _return_within_the_answer,
            "call_cut",
            True,
            "ResponseAborted('handler has not answered')",
        ),
    ],
)
def test_end_while_a_call_is_handled_is_logged(
    start, handle, event, head_sent, reason
):
    server = start(handle).server
    with testing.capture_logs() as logs:
        with socket.create_connection(server.address, 5) as sock:
            sock.sendall(_REQUEST)
            _read_all(sock)
        gevent.sleep(0.05)
    assert _collect(logs) == [
        {
            "event": event,
            "log_level": "info" if event == "caller_left" else "warning",
            "call": "c1",
            "target": b"/a",
            "head_sent": head_sent,
            "reason": reason,
        }
    ]


# Guards against the same for calls that the end of a stop cuts.
@pytest.mark.parametrize("handle", [_wait, _wait_within_the_answer])
def test_calls_cut_by_a_stop_are_logged(start, handle):
    def reject(request, responder):
        gevent.sleep(30)

    started = start(handle, reject)
    with testing.capture_logs() as logs:
        with socket.create_connection(started.server.address, 5) as sock:
            sock.sendall(_REQUEST)
            while not started.running:
                gevent.sleep(0.005)
            started.server.stop(0.05)
            started.server.end_requests(0.05)
            started.server.cut_responses(0.05)
            _read_all(sock)
        gevent.sleep(0.05)
    (end,) = _collect(logs)
    assert (end["event"], end["call"]) == ("call_cut", "c1")


# Guards against the same for callers that reset their connection.
@pytest.mark.parametrize("handle", [_wait, _wait_within_the_answer])
def test_callers_that_leave_are_logged(start, handle):
    started = start(handle)
    with testing.capture_logs() as logs:
        sock = socket.create_connection(started.server.address, 5)
        sock.sendall(_REQUEST)
        while not started.running:
            gevent.sleep(0.005)
        sockets.reset(sock)
        with gevent.Timeout(5):
            while not _collect(logs):
                gevent.sleep(0.01)
    (end,) = _collect(logs)
    assert (end["event"], end["call"]) == ("caller_left", "c1")


# Guards against lines that each sound call costs.
def test_sound_call_leaves_no_line(start):
    def answer(request, responder):
        responder.respond(200, [], b"ok")

    server = start(answer).server
    with testing.capture_logs() as logs:
        for number in range(3):
            closes = b"Connection: close\r\n" if number == 2 else b""
            with socket.create_connection(server.address, 5) as sock:
                sock.sendall(_REQUEST.replace(b"Content", closes + b"Content"))
                assert sock.recv(1000).endswith(b"ok")
        gevent.sleep(0.05)
    assert not logs
