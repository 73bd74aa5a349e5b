"""Tests of callers under a document whose limits have odd sizes.

Such a document is valid, so it comes into force.
"""

import json

import gevent
from gevent import socket
import pytest

from papayalink.platform import document
from papayalink.transport import caller_server
from tests import own_host

_HUGE = 10**400
_PAUSE_S = 0.1


def _make_limits(name, value):
    content = {
        "version": 1,
        "routes": [],
        "services": [],
        "limits": {name: value},
    }
    return document.translate(json.dumps(content).encode()).limits


@pytest.fixture
def start():
    started = []

    def answer(request, responder):
        responder.respond(200, [], request.body)

    def make(limits):
        server = caller_server.make_caller_server(
            (own_host.HOST, 0), answer, answer, lambda: limits
        )
        server.start()
        started.append(server)
        return server

    yield make
    for server in started:
        server.stop(0.1)


# Guards against connections of sound callers that end by the limits.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        (name, value)
        for name in ("idleTimeoutMs", "headerTimeoutMs")
        for value in (-1e308, -1, 0, 5e-324, 1, 1e308)
    ]
    + [("maxHeaderBytes", value) for value in (-_HUGE, -1, 0, 1, _HUGE)]
    + [("maxBodyBytes", _HUGE)],
    ids=lambda value: str(value)[:20],
)
def test_sound_callers_are_answered_under_odd_limits(start, name, value):
    server = start(_make_limits(name, value))
    pieces = [
        b"POST /a HTTP/1.1\r\nHost: x\r\n",
        b"A: " + b"a" * 1000 + b"\r\nContent-Length: 4\r\n",
        b"\r\nbo",
        b"dy",
    ]
    with socket.create_connection(server.address, 5) as sock:
        for _ in range(2):
            for piece in pieces:
                gevent.sleep(_PAUSE_S)
                sock.sendall(piece)
            received = b""
            while not received.endswith(b"body"):
                chunk = sock.recv(1000)
                assert chunk
                received += chunk
            assert received.startswith(b"HTTP/1.1 200")


# Guards against requests that are refused although they have no body.
@pytest.mark.parametrize("value", [-_HUGE, -1, 0], ids=["huge", "-1", "0"])
def test_requests_without_a_body_pass_any_limit_of_bodies(start, value):
    server = start(_make_limits("maxBodyBytes", value))
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        )
        assert sock.recv(1000).startswith(b"HTTP/1.1 200")
