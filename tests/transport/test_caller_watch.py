"""Tests of the detection of callers that hang up."""

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
from tests import own_host

TIMEOUT_S = 30.0
PIPELINED_REQUEST = b"GET /two HTTP/1.1\r\nHost: here\r\n\r\n"


@pytest.fixture
def waiting_server():
    """A server whose requests wait until `release` is set."""
    release, caller_gone, paths = event.Event(), event.Event(), []

    def app(environ, start_response):
        paths.append(environ["PATH_INFO"])
        try:
            with http_server.watch_caller(environ):
                release.wait(TIMEOUT_S)
        except errors.CallerGone:
            caller_gone.set()
            raise
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http_server.make_server((own_host.HOST, 0), app)
    server.start()
    yield server.address, release, caller_gone, paths
    release.set()
    server.stop()


def _reset(sock):
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def _pipeline_and_close(sock):
    sock.sendall(PIPELINED_REQUEST)
    sock.close()


def _send_request(address, protocol):
    sock = socket.create_connection(address)
    sock.sendall(f"GET /one {protocol}\r\nHost: here\r\n\r\n".encode())
    return sock


@pytest.mark.parametrize(
    "hang_up", [socket.socket.close, _reset, _pipeline_and_close]
)
def test_closed_connection_interrupts_the_handler(waiting_server, hang_up):
    """Guards against work that continues after its caller has gone."""
    address, _, caller_gone, paths = waiting_server
    sock = _send_request(address, "HTTP/1.1")
    gevent.sleep(0.05)
    hang_up(sock)
    assert caller_gone.wait(TIMEOUT_S)
    # The pipelined request must not run either.
    gevent.sleep(0.05)
    assert paths == ["/one"]


@pytest.mark.parametrize(
    "protocol, caller_action, answers",
    [
        ("HTTP/1.1", lambda sock: None, 1),
        ("HTTP/1.1", lambda sock: sock.sendall(PIPELINED_REQUEST), 2),
        ("HTTP/1.1", lambda sock: sock.shutdown(socket.SHUT_WR), 1),
        ("HTTP/1.0", lambda sock: sock.shutdown(socket.SHUT_WR), 1),
    ],
)
def test_live_connection_is_answered(
    waiting_server, protocol, caller_action, answers
):
    """Guards against treating a readable or half-closed socket as closed."""
    address, release, caller_gone, _ = waiting_server
    sock = _send_request(address, protocol)
    gevent.sleep(0.05)
    caller_action(sock)
    gevent.sleep(0.3)
    assert not caller_gone.is_set()
    release.set()
    sock.settimeout(TIMEOUT_S)
    data = b""
    while data.count(b" 200 OK") < answers or not data.endswith(b"ok"):
        chunk = sock.recv(1000)
        assert chunk, data
        data += chunk
    assert data.count(b" 200 OK") == answers
    # HTTP/1.0 has no interim responses.
    assert protocol == "HTTP/1.1" or b" 100 " not in data


def test_interrupted_sends_release_their_pool_slots(monkeypatch):
    """Guards against a connection pool exhausted by callers that hang up."""
    monkeypatch.setattr(http_client, "MAX_CONNECTIONS", 1)
    listener = socket.socket()
    listener.bind((own_host.HOST, 0))
    listener.listen()
    listener.settimeout(TIMEOUT_S)
    address = "{}:{}".format(*listener.getsockname())
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())
    client = http_client.make_client(signer, TIMEOUT_S)
    # The body exceeds the socket buffers and nobody reads it, so send()
    # blocks.
    for _ in range(3):
        task = gevent.spawn(client.send, address, "POST", "/", b"x" * 2**24)
        peer, _ = listener.accept()
        gevent.sleep(0.05)
        task.kill(errors.CallerGone())
        peer.close()
    client.close()
    listener.close()
