"""Tests of requests that a process reads long after they arrived."""

import os
import threading
import time

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_HEADER_TIMEOUT_S = 0.3
# The system tells the time of arrival in steps of some milliseconds.
_STEP_S = 0.02
# The machine may run the thread that writes too late, though hardly each time.
_ATTEMPTS = 10
_LIMITS = traffic.CallerLimits(
    header_timeout_s=_HEADER_TIMEOUT_S, idle_timeout_s=5.0
)
_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"
_CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def server():
    def answer(request, responder):
        responder.respond(200, [], request.target + b"|" + request.body)

    started = caller_server.make_caller_server(
        (own_host.HOST, 0), answer, answer, lambda: _LIMITS
    )
    started.start()
    yield started
    started.stop(0.1)


def _write_within_a_pause(sock, data, after_s):
    """Write from another thread while all greenlets stand still.

    Returns: monotonic seconds at which the data had been written.
    """
    descriptor = os.dup(sock.fileno())
    written_at = []

    def write():
        os.write(descriptor, data)
        written_at.append(time.monotonic())

    writing = threading.Timer(after_s, write)
    writing.start()
    time.sleep(after_s + 2 * _HEADER_TIMEOUT_S)
    writing.join()
    os.close(descriptor)
    return written_at[0]


def _call_within_a_pause(server, first, rest, after_s):
    """Returns: the answer, and the time within which all was written."""
    with socket.create_connection(server.address, 5) as sock:
        began_at = time.monotonic()
        sock.sendall(first)
        gevent.sleep(0.02)
        written_at = _write_within_a_pause(sock, rest, after_s)
        return sock.recv(1000), written_at - began_at


# Guards against a request that is refused with 408, although all of it arrived
# in time, because the process stood still before it read the rest.
@pytest.mark.parametrize("after_s", [0.0, 0.1])
@pytest.mark.parametrize(
    ("first", "rest"),
    [
        (_HEAD[:7], _HEAD[7:] + b"ab"),
        (_HEAD[:-2], _HEAD[-2:] + b"ab"),
        (_HEAD, b"ab"),
        (_HEAD + b"a", b"b"),
        (_CHUNKED + b"1\r\na\r\n", b"1\r\nb\r\n0\r\n\r\n"),
    ],
    ids=["request-line", "head", "body", "half-body", "chunks"],
)
def test_rest_of_a_request_that_is_read_late_is_taken(
    server, first, rest, after_s
):
    for _ in range(_ATTEMPTS):
        answer, took_s = _call_within_a_pause(server, first, rest, after_s)
        if took_s < _HEADER_TIMEOUT_S - _STEP_S:
            assert answer.endswith(b"/a|ab")
            return
    pytest.fail(f"the rest was never written in time, at last in {took_s} s")


@pytest.mark.parametrize("drips", [False, True])
def test_head_that_arrives_too_late_is_refused(server, drips):
    """Guards against callers that hold a connection by a head in pieces."""
    received = b""
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(_HEAD[:9])
        sock.settimeout(0.03)
        until = time.monotonic() + 2 * _HEADER_TIMEOUT_S
        while not received and time.monotonic() < until:
            if drips:
                sock.sendall(b"a")
            try:
                received = sock.recv(1000)
            except TimeoutError:
                pass
    assert received.startswith(b"HTTP/1.1 408 ")
