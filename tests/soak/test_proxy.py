"""The loopback proxy misbehaves as it is told."""

import gevent
from gevent import server
from gevent import socket
import pytest

from soak import proxy as proxies

SHORT_S = 0.3


@pytest.fixture
def proxy():
    heard = []

    def echo(connection, _):
        while data := connection.recv(100):
            heard.append(data)
            connection.sendall(data)

    upstream = server.StreamServer(("127.0.0.1", 0), echo)
    upstream.start()
    made = proxies.make_proxy(("127.0.0.1", upstream.server_port))
    yield made, heard
    made.stop()
    upstream.stop()


def _connect(made):
    host, _, port = made.address.partition(":")
    return socket.create_connection((host, int(port)), SHORT_S)


def _ask(connection):
    """Returns: the echo, "silent" or "reset"."""
    try:
        connection.sendall(b"hello")
        return connection.recv(100) or "reset"
    except TimeoutError:
        return "silent"
    except OSError:
        return "reset"


@pytest.mark.parametrize(
    ("mode", "answer", "arrives"),
    [
        ("pass", b"hello", True),
        ("silent", "silent", False),
        ("one_way", "silent", True),
        ("refuse", "reset", False),
    ],
)
def test_modes(proxy, mode, answer, arrives):
    made, heard = proxy
    made.mode = mode
    assert _ask(_connect(made)) == answer
    gevent.sleep(0.05)
    assert bool(heard) is arrives


def test_open_connections_are_reset(proxy):
    made, _ = proxy
    connection = _connect(made)
    assert _ask(connection) == b"hello"
    made.reset_all()
    assert _ask(connection) == "reset"
    assert _ask(_connect(made)) == b"hello"
