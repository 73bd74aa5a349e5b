"""Faulty servers for the tests of the adapters."""

import socket

from gevent import server
import pytest


@pytest.fixture
def raw_server():
    """Start servers that send fixed bytes to each client and then close."""
    servers = []

    def start(reply: bytes, before_close=lambda: None) -> tuple[str, list]:
        requests = []

        def handle(client, address):
            requests.append(client.recv(65536))
            client.sendall(reply)
            before_close()

        started = server.StreamServer(("127.0.0.1", 0), handle)
        started.start()
        servers.append(started)
        return f"127.0.0.1:{started.server_port}", requests

    yield start
    for started in servers:
        started.stop()


@pytest.fixture
def closed_address():
    """Address at which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"
