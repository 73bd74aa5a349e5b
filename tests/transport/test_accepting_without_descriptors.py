"""Tests of a server that can't accept connections for a while."""

import errno
import os

import gevent
from gevent import socket
import pytest

from papayalink.state import traffic
from papayalink.transport import caller_server
from tests import own_host

_LIMITS = traffic.CallerLimits(header_timeout_s=5.0, idle_timeout_s=5.0)
_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_RUN_S = 0.6
_LACK_S = 0.3


def _answer(request, responder):
    responder.begin(200, [(b"Content-Length", b"4")])
    responder.write(b"ab")
    gevent.sleep(_RUN_S)
    responder.write(b"cd")
    responder.end()


@pytest.fixture
def server():
    started = caller_server.make_caller_server(
        (own_host.HOST, 0), _answer, _answer, lambda: _LIMITS
    )
    started.start()
    yield started
    started.stop(0.1)


def _read_answer(sock):
    received = b""
    while not received.endswith(b"abcd"):
        data = sock.recv(1000)
        if not data:
            break
        received += data
    return received


def _call(server):
    with socket.create_connection(server.address, 5) as sock:
        sock.sendall(_GET)
        return _read_answer(sock)


# Guards against calls that end, and connections that stay unread, because no
# descriptor is left for others for a while.
@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM])
def test_calls_outlast_a_lack_of_descriptors(server, number, monkeypatch):
    running = gevent.spawn(_call, server)
    while not server.in_flight:
        gevent.sleep(0.005)

    def fail():
        raise OSError(number, os.strerror(number))

    with monkeypatch.context() as patch:
        patch.setattr(server._server, "do_read", fail)
        waiting = gevent.spawn(_call, server)
        gevent.sleep(_LACK_S)
        assert server.connections == 1
    assert running.get(timeout=5).endswith(b"abcd")
    assert waiting.get(timeout=5).endswith(b"abcd")
