"""Tests of responses that have begun when a server ends."""

import gevent
from gevent import event
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import errors
from tests import own_host

_LIMITS = traffic.CallerLimits(
    header_bytes=4096,
    body_bytes=100,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)
_UNANSWERED = b"/unanswered"
_BEGUN = b"/begun"


class _Handler:
    """Begins responses, and goes on with them when it is told to.

    Attributes:
        begun: targets of requests in the order of their begin.
        interrupted: those whose handler the end of the server has interrupted.
        goes_on: set to end the responses.
    """

    def __init__(self):
        self.begun = []
        self.interrupted = []
        self.goes_on = event.Event()

    def handle(self, request, responder):
        if request.target == _BEGUN:
            responder.begin(200, [])
            responder.write(b"one")
        self.begun.append(request.target)
        try:
            self.goes_on.wait()
        except errors.ServerStops:
            self.interrupted.append(request.target)
            raise
        if request.target == _BEGUN:
            responder.write(b"two")
            responder.end()
        else:
            responder.respond(200, [], b"two")

    def reject(self, request, responder):
        responder.respond(503, [])


@pytest.fixture
def stopped():
    """A handler, its server with a call of each kind, and their callers."""
    handler = _Handler()
    server = caller_server.make_caller_server(
        (own_host.HOST, 0), handler.handle, handler.reject, lambda: _LIMITS
    )
    server.start()
    socks = {}
    for target in (_UNANSWERED, _BEGUN):
        sock = socket.create_connection(server.address, timeout=10)
        sock.sendall(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % target)
        socks[target] = sock
    while len(handler.begun) < len(socks):
        gevent.sleep(0.001)
    assert not server.stop(0.0)
    yield handler, server, socks
    for sock in socks.values():
        sock.close()


def _read(sock):
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


# Guards against a stream that is cut before the process has to exit, while its
# replica, or the path to it, is silent for a second.
def test_begun_response_goes_on_behind_the_last_answers(stopped):
    handler, server, socks = stopped
    ending = gevent.spawn(server.end_requests, 10.0)
    answer = _read(socks[_UNANSWERED])
    assert answer.startswith(b"HTTP/1.1 503")
    assert handler.interrupted == [_UNANSWERED]
    handler.goes_on.set()
    received = _read(socks[_BEGUN])
    assert received.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")
    assert ending.get(timeout=10)


# Guards against a cut response that looks complete, and against a process that
# waits for one until it is killed.
def test_response_that_does_not_end_is_cut(stopped):
    handler, server, socks = stopped
    assert not server.end_requests(0.0)
    assert server.cut_responses(10.0)
    assert set(handler.interrupted) == {_UNANSWERED, _BEGUN}
    received = _read(socks[_BEGUN])
    assert b"one" in received
    assert not received.endswith(b"0\r\n\r\n")
    assert _read(socks[_UNANSWERED]).startswith(b"HTTP/1.1 503")


# Guards against a request that is run although the server ends.
def test_no_request_is_begun_behind_a_response_that_goes_on(stopped):
    handler, server, socks = stopped
    ending = gevent.spawn(server.end_requests, 10.0)
    _read(socks[_UNANSWERED])
    socks[_BEGUN].sendall(b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n")
    handler.goes_on.set()
    received = _read(socks[_BEGUN])
    assert b"two" in received
    assert b"/next" not in handler.begun
    assert ending.get(timeout=10)
