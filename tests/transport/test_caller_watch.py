"""Tests of the watch of callers that hang up."""

import struct

import gevent
from gevent import event
from gevent import socket
import pytest

from papayalink import clock as clocks
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import http_client
from papayalink.transport import http_server

WAIT_S = 30.0
NEXT = b"GET /two HTTP/1.1\r\nHost: here\r\n\r\n"


@pytest.fixture
def served():
    """A server whose first request waits until it is released."""
    release, gone, paths = event.Event(), event.Event(), []

    def app(environ, start_response):
        paths.append(environ["PATH_INFO"])
        try:
            with http_server.watch_caller(environ):
                release.wait(WAIT_S)
        except errors.CallerGone:
            gone.set()
            raise
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http_server.make_server(("127.0.0.1", 0), app)
    server.start()
    yield server.address, release, gone, paths
    release.set()
    server.stop()


def _reset(sock):
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def _pipeline_and_close(sock):
    sock.sendall(NEXT)
    sock.close()


def _send(address, protocol):
    sock = socket.create_connection(address)
    sock.sendall(f"GET /one {protocol}\r\nHost: here\r\n\r\n".encode())
    return sock


@pytest.mark.parametrize(
    "hang_up", [socket.socket.close, _reset, _pipeline_and_close]
)
def test_closed_connection_interrupts(served, hang_up):
    """Guards against a wait that goes on for a caller that has gone."""
    address, _, gone, paths = served
    sock = _send(address, "HTTP/1.1")
    gevent.sleep(0.05)
    hang_up(sock)
    assert gone.wait(WAIT_S)
    # What the caller pipelined must not run either.
    gevent.sleep(0.05)
    assert paths == ["/one"]


@pytest.mark.parametrize(
    "protocol, act, answers",
    [
        ("HTTP/1.1", lambda sock: None, 1),
        ("HTTP/1.1", lambda sock: sock.sendall(NEXT), 2),
        ("HTTP/1.1", lambda sock: sock.shutdown(socket.SHUT_WR), 1),
        ("HTTP/1.0", lambda sock: sock.shutdown(socket.SHUT_WR), 1),
    ],
)
def test_live_connection_is_answered(served, protocol, act, answers):
    """Guards against a readable or half-closed socket taken for closed."""
    address, release, gone, _ = served
    sock = _send(address, protocol)
    gevent.sleep(0.05)
    act(sock)
    gevent.sleep(0.3)
    assert not gone.is_set()
    release.set()
    sock.settimeout(WAIT_S)
    data = b""
    while data.count(b" 200 OK") < answers or not data.endswith(b"ok"):
        part = sock.recv(1000)
        assert part, data
        data += part
    assert data.count(b" 200 OK") == answers
    # HTTP/1.0 has no interim responses.
    assert protocol == "HTTP/1.1" or b" 102 " not in data


def test_interrupted_sends_free_their_connections(monkeypatch):
    """Guards against a pool that runs out of places after hang-ups."""
    monkeypatch.setattr(http_client, "MAX_CONNECTIONS", 1)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.settimeout(WAIT_S)
    address = "{}:{}".format(*listener.getsockname())
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())
    client = http_client.make_client(signer, WAIT_S)
    # The body is larger than the buffers, and nobody reads it.
    for _ in range(3):
        task = gevent.spawn(client.send, address, "POST", "/", b"x" * 2**24)
        peer, _ = listener.accept()
        gevent.sleep(0.05)
        task.kill(errors.CallerGone())
        peer.close()
    client.close()
    listener.close()
