"""Tests of errors that come while no handler runs."""

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from papayalink.transport import request_reader
from tests import own_host

_LIMITS = traffic.CallerLimits(header_timeout_s=5.0, idle_timeout_s=5.0)
_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class _Server:
    """A server whose limits, or whose refusals, fail.

    Attributes:
        limits_error: raised when the limits are asked for, None for limits.
    """

    def __init__(self, delay_s=0.0):
        self.limits_error = None
        self._delay_s = delay_s
        self.server = caller_server.make_caller_server(
            (own_host.HOST, 0), self._answer, self._reject, self._limits
        )
        self.server.start()

    def _answer(self, request, responder):
        gevent.sleep(self._delay_s)
        responder.respond(200, [], request.target)

    def _reject(self, request, responder):
        raise KeyError("refusal")

    def _limits(self):
        if self.limits_error is not None:
            raise self.limits_error
        return _LIMITS


def _read_all(sock):
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


@pytest.fixture
def start():
    started = []

    def make(**fields):
        started.append(_Server(**fields))
        return started[-1]

    yield make
    for each in started:
        each.limits_error = None
        each.server.stop(0.1)


# Guards against a request whose connection ends without an answer because of
# an error before its handler begins.
@pytest.mark.parametrize("error", [ValueError("x"), MemoryError("x")])
@pytest.mark.parametrize("answered_first", [False, True])
def test_request_is_answered_when_its_limits_fail(
    start, error, answered_first
):
    failing = start()
    listener = failing.server._server
    with socket.create_connection(failing.server.address, 5) as sock:
        if answered_first:
            sock.sendall(_GET)
            assert sock.recv(1000).endswith(b"/a")
            while not len(failing.server._waits):
                gevent.sleep(0)
            failing.limits_error = error
            sock.sendall(_GET)
        else:
            listener.stop_accepting()
            failing.limits_error = error
            sock.sendall(_GET)
            listener.start_accepting()
        received = _read_all(sock)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b"Connection: close" in received


@pytest.mark.parametrize("error", [ValueError, MemoryError])
@pytest.mark.parametrize("part", [_GET, _GET[:9]], ids=["whole", "half"])
def test_request_is_answered_when_reading_it_fails(
    start, error, part, monkeypatch
):
    """Guards against the same where the error comes from the parser."""

    def fail(reader):
        raise error("x")

    failing = start()
    monkeypatch.setattr(request_reader.RequestReader, "read", fail)
    with socket.create_connection(failing.server.address, 5) as sock:
        sock.sendall(part)
        received = _read_all(sock)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert b"Connection: close" in received


def test_request_is_answered_when_its_refusal_at_a_stop_fails(start):
    """Guards against the same at the end of a planned stop."""
    failing = start(delay_s=30.0)
    with socket.create_connection(failing.server.address, 5) as sock:
        sock.sendall(_GET)
        while not failing.server.in_flight:
            gevent.sleep(0.001)
        assert not failing.server.stop(0.0)
        ending = gevent.spawn(failing.server.end_requests, 5.0)
        received = _read_all(sock)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert ending.get()


def test_other_connections_outlast_a_failed_one(start):
    """Guards against an error that ends more than its own connection.

    A caller that has sent nothing gets no answer, which it could take for one
    to its next request.
    """
    failing = start(delay_s=0.2)
    with socket.create_connection(failing.server.address, 5) as sock:
        sock.sendall(_GET)
        while not failing.server.in_flight:
            gevent.sleep(0.001)
        failing.limits_error = ValueError("x")
        with socket.create_connection(failing.server.address, 5) as other:
            assert _read_all(other) == b""
        failing.limits_error = None
        assert sock.recv(1000).endswith(b"/a")
