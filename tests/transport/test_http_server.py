"""Tests of the graceful stop of an HTTP server."""

import contextlib
import random
import socket

import gevent
from gevent import event
from gevent import socket as gevent_socket
import pytest

from papayalink.transport import http_server
from tests import own_host
from tests import permuted_hub

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def server():
    started = http_server.make_server((own_host.HOST, 0), _app)
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


def _part_of(path, length):
    head = b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (path, length)


@pytest.mark.parametrize("sent", [10, len(_part_of(b"/", 2)) + 1])
def test_stop_waits_for_a_request_that_has_arrived_in_part(sent):
    """Guards against a process that ends with a request half read."""
    request = _part_of(b"/", 2) + b"ab"
    server = _start_echo()
    client = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    client.sendall(request[:sent])
    gevent.sleep(0.02)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(0.5)
    assert not stopping.ready()
    client.sendall(request[sent:])
    assert client.recv(1000).endswith(b"ab")
    stopping.get()


def test_stopped_server_takes_no_request_on_an_idle_connection():
    """Guards against a call that begins while the process ends."""
    calls = []
    server = _start_echo(calls)
    client = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    client.sendall(REQUEST)
    client.recv(1000)
    server.stop()
    with contextlib.suppress(OSError):
        client.sendall(REQUEST)
        assert client.recv(1000) == b""
    assert len(calls) == 1


def test_stop_ends_beside_a_caller_that_sends_nothing_more(monkeypatch):
    """Guards against a caller that keeps a process from ending."""
    monkeypatch.setattr(http_server, "_HALF_READ_WAIT_S", 0.1, raising=False)
    server = _start_echo()
    silent = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    half = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    half.sendall(REQUEST[:10])
    gevent.sleep(0.02)
    with gevent.Timeout(RECEIVE_TIMEOUT_S):
        server.stop()
    silent.close()
    half.close()


def _start_echo(calls=None):
    def echo(environ, start_response):
        body = environ["wsgi.input"].read()
        if calls is not None:
            calls.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    started = http_server.make_server((own_host.HOST, 0), echo)
    started.start()
    return started


# Callers of one run, and their longest pause, which is longer than a stop
# waits for requests in transit.
_CALLERS = 40
_PAUSE_S = 0.4


class _Calls:
    """Requests that an application has begun, ended, and had answered."""

    def __init__(self):
        self.begun = []
        self.ended = []
        self.answered = []

    def app(self, environ, start_response):
        path = environ["PATH_INFO"].encode()
        self.begun.append(path)
        gevent.sleep(0.002)
        start_response("200 OK", [("Content-Length", str(len(path)))])
        yield path
        self.ended.append(path)


def _call_until_closed(server, name, calls, rng):
    """Call on one connection, with pauses, until the server closes it."""
    number = 0
    with gevent_socket.create_connection(server.address, 10.0) as sock:
        with contextlib.suppress(OSError):
            while True:
                path = b"/%d/%d" % (name, number)
                request = b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path
                sock.sendall(request[:-4])
                gevent.sleep(rng.random() * _PAUSE_S)
                sock.sendall(request[-4:])
                received = b""
                while not received.endswith(b"\r\n\r\n" + path):
                    data = sock.recv(1000)
                    if not data:
                        return
                    received += data
                calls.answered.append(path)
                number += 1
                gevent.sleep(rng.random() * _PAUSE_S)


@pytest.mark.parametrize("seed", range(4))
def test_each_request_that_was_begun_has_ended_when_a_server_has_stopped(seed):
    """Guards against a call that is cut by the end of the process."""
    rng = random.Random(seed)
    calls = _Calls()

    def play():
        server = http_server.make_server((own_host.HOST, 0), calls.app)
        server.start()
        callers = [
            gevent.spawn(_call_until_closed, server, name, calls, rng)
            for name in range(_CALLERS)
        ]
        while len(calls.begun) <= 2 * _CALLERS:
            gevent.sleep(0.01)
        server.stop()
        begun, ended = len(calls.begun), len(calls.ended)
        gevent.joinall(callers)
        return begun, ended

    begun, ended = permuted_hub.run(seed, play)
    assert begun == ended == len(calls.begun)
    assert sorted(calls.begun) == sorted(calls.answered)


@pytest.mark.parametrize("length", [("Content-Length", "4"), None])
def test_stopping_server_announces_that_it_closes(length):
    """Guards against a call on a connection that is about to be closed."""

    def app(environ, start_response):
        start_response("200 OK", [length] if length else [])
        yield b"done"

    server = http_server.make_server((own_host.HOST, 0), app)
    server.start()
    client = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    client.sendall(REQUEST)
    assert b"Connection: close" not in client.recv(1000)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(0.02)
    client.sendall(REQUEST)
    assert b"\r\nConnection: close\r\n" in client.recv(1000)
    stopping.get()


def test_answer_begun_before_the_stop_leaves_time_for_the_next_call():
    """Guards against a close that the caller of a stream can't expect."""
    may_end = event.Event()

    def app(environ, start_response):
        start_response("200 OK", [])
        yield b"first"
        may_end.wait()

    server = http_server.make_server((own_host.HOST, 0), app)
    server.start()
    client = gevent_socket.create_connection(server.address, RECEIVE_TIMEOUT_S)
    client.sendall(REQUEST)
    assert b"Connection: close" not in client.recv(1000)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(0.02)
    may_end.set()
    received = b""
    while not received.endswith(b"0\r\n\r\n"):
        received += client.recv(1000)
    client.sendall(REQUEST)
    assert b"\r\nConnection: close\r\n" in client.recv(1000)
    client.close()
    stopping.get()
