"""Tests of the graceful stop of an HTTP server."""

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


# Bounds the wait of a failing test; a passing test never waits that long.
RECEIVE_TIMEOUT_S = 10.0


def _receive(client):
    receiver = gevent_socket.socket(fileno=client.detach())
    receiver.settimeout(RECEIVE_TIMEOUT_S)
    return receiver.recv(1000)


def test_connections_in_the_accept_queue_are_served(server):
    """Guards against resetting connections when the port is closed."""
    clients = [socket.create_connection(server.address) for _ in range(5)]
    for client in clients:
        client.sendall(REQUEST)
    # The hub has not run since, so no connection has been accepted yet.
    stopping = gevent.spawn(server.stop)
    assert all(_receive(client).endswith(b"done") for client in clients)
    stopping.get()


def test_request_on_an_idle_connection_is_served(server):
    """Guards against losing a request that arrives on an idle connection."""
    client = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    client.sendall(REQUEST)
    assert client.recv(1000).endswith(b"done")
    stopping = gevent.spawn(server.stop)
    client.sendall(REQUEST)
    assert client.recv(1000).endswith(b"done")
    # The server closes after that response, so no further request is lost.
    assert client.recv(1000) == b""
    stopping.get()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address)
