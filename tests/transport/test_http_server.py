"""Tests of the end of an HTTP server."""

import socket

import gevent
from gevent import socket as gevent_socket
import pytest

from papayalink.transport import http_server

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def server():
    started = http_server.make_server(("127.0.0.1", 0), _app)
    started.start()
    return started


def _app(environ, start_response):
    start_response("200 OK", [("Content-Length", "4")])
    return [b"done"]


# Ends a failing test; a passing one never waits for it.
GIVE_UP_S = 10.0


def _receive(client):
    waiting = gevent_socket.socket(fileno=client.detach())
    waiting.settimeout(GIVE_UP_S)
    return waiting.recv(1000)


def test_connections_that_wait_to_be_accepted_are_served(server):
    """Guards against requests that are reset when the port closes."""
    clients = [socket.create_connection(server.address) for _ in range(5)]
    for client in clients:
        client.sendall(REQUEST)
    # Nothing has given the server a chance to accept.
    stopping = gevent.spawn(server.stop)
    assert all(_receive(client).endswith(b"done") for client in clients)
    stopping.get()


def test_request_on_a_kept_connection_is_served(server):
    """Guards against requests that are lost with an idle connection."""
    client = gevent_socket.create_connection(server.address, GIVE_UP_S)
    client.sendall(REQUEST)
    assert client.recv(1000).endswith(b"done")
    stopping = gevent.spawn(server.stop)
    client.sendall(REQUEST)
    assert client.recv(1000).endswith(b"done")
    # The connection ends with that answer, so no further one is lost.
    assert client.recv(1000) == b""
    stopping.get()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address)
