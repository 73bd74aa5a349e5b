"""Tests of callers that close their sending side and wait for answers."""

import gevent
from gevent import event
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import caller_watch
from papayalink.transport import errors
from tests import own_host

_TIMEOUT_S = 10.0
_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=2.0,
    idle_timeout_s=2.0,
)
_GET = b"GET /%d %s\r\nHost: x\r\n\r\n"
_EVENTS = 4


class _Handler:
    """Answers after a while, or streams with a pause before each event."""

    def __init__(self):
        self.delay_s = 0.3
        self.pause_s = 0.05
        self.ran = []
        self.gone = event.Event()

    def handle(self, request, responder):
        self.ran.append(request.target)
        try:
            if request.target == b"/9":
                self._stream(responder)
                return
            gevent.sleep(self.delay_s)
        except errors.CallerGone:
            self.gone.set()
            raise
        responder.respond(200, [], b"answer to " + request.target + b"\n")

    def _stream(self, responder):
        responder.begin(200, [])
        for number in range(_EVENTS):
            gevent.sleep(self.pause_s)
            responder.write(b"event %d\n" % number)
        responder.end()

    def reject(self, request, responder):
        responder.respond(503, [], b"rejected\n")


@pytest.fixture
def handler():
    return _Handler()


@pytest.fixture
def server(handler):
    started = caller_server.make_caller_server(
        (own_host.HOST, 0), handler.handle, handler.reject, lambda: _LIMITS
    )
    started.start()
    yield started
    started.stop(0.1)


def _read_all(sock):
    received = b""
    while chunk := sock.recv(65536):
        received += chunk
    return received


def _request(number, protocol=b"HTTP/1.1"):
    return _GET % (number, protocol)


# Guards against calls that run and end without an answer because their callers
# send nothing more.
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.25])
@pytest.mark.parametrize(
    ("requests", "answers"),
    [
        ([_request(1)], [b"answer to /1\n"]),
        ([_request(1, b"HTTP/1.0")], [b"answer to /1\n"]),
        (
            [_request(1), _request(2), _request(3)],
            [b"answer to /%d\n" % number for number in (1, 2, 3)],
        ),
        ([_request(1)[:10], _request(1)[10:]], [b"answer to /1\n"]),
        (
            [_request(9)],
            [b"event %d\n" % number for number in range(_EVENTS)],
        ),
    ],
    ids=["plain", "http-1.0", "pipelined", "in-pieces", "stream"],
)
def test_half_closed_caller_gets_its_answers(
    server, requests, answers, delay_s
):
    with socket.create_connection(server.address, _TIMEOUT_S) as sock:
        for each in requests:
            sock.sendall(each)
            gevent.sleep(0.01)
        gevent.sleep(delay_s)
        sock.shutdown(socket.SHUT_WR)
        received = _read_all(sock)
    found = [received.find(answer) for answer in answers]
    assert -1 not in found
    assert found == sorted(found)


# Guards against interim responses that some clients don't take.
def test_half_closed_caller_gets_few_interim_responses(server, handler):
    handler.delay_s = 4.0
    with socket.create_connection(server.address, _TIMEOUT_S) as sock:
        sock.sendall(_request(1))
        sock.shutdown(socket.SHUT_WR)
        received = _read_all(sock)
    head, _, _ = received.partition(b"HTTP/1.1 200 ")
    interim = head.split(b"\r\n\r\n")[:-1]
    assert 0 < len(interim) <= caller_watch.MAX_PROBES
    assert set(interim) == {b"HTTP/1.1 100 Continue"}


# Guards against work that goes on for callers who have gone.
@pytest.mark.parametrize("half_closed_s", [None, 0.1, 0.5])
@pytest.mark.parametrize("number", [1, 9], ids=["plain", "stream"])
def test_caller_that_closes_interrupts_its_call(
    server, handler, number, half_closed_s
):
    handler.delay_s = 5.0
    # Silent at first when the caller leaves.
    handler.pause_s = 0.3 if number == 9 else 0.0
    sock = socket.create_connection(server.address, _TIMEOUT_S)
    sock.sendall(_request(number))
    if half_closed_s is not None:
        sock.shutdown(socket.SHUT_WR)
        gevent.sleep(half_closed_s)
    else:
        gevent.sleep(0.05)
    sock.close()
    assert handler.gone.wait(_TIMEOUT_S)


# Guards against interim responses within an answer.
def test_nothing_is_mixed_into_an_answer_that_is_written(server, handler):
    handler.pause_s = 0.12
    with socket.create_connection(server.address, _TIMEOUT_S) as sock:
        sock.sendall(_request(9))
        received = sock.recv(65536)
        sock.shutdown(socket.SHUT_WR)
        received += _read_all(sock)
    assert b"100 Continue" not in received
    assert received.endswith(b"0\r\n\r\n")


# Guards against an answer that is cut because its replica is silent for a
# moment after the caller has closed its sending side.
@pytest.mark.parametrize("pause_s", [0.4, 1.3])
@pytest.mark.parametrize("events_before", [0, 1])
def test_half_closed_caller_outlasts_a_silence_within_its_answer(
    server, handler, pause_s, events_before
):
    handler.pause_s = pause_s
    with socket.create_connection(server.address, _TIMEOUT_S) as sock:
        sock.sendall(_request(9))
        received = sock.recv(65536)
        while received.count(b"event") < events_before:
            received += sock.recv(65536)
        sock.shutdown(socket.SHUT_WR)
        received += _read_all(sock)
    assert received.count(b"event") == _EVENTS
    assert received.endswith(b"0\r\n\r\n")
