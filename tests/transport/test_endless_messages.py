"""Tests of RPC messages that are too long or never whole."""

import time

import gevent
from gevent import server as servers
from gevent import socket
import h2.config
import h2.connection
import h2.events
import pytest

from papayalink import clock as clocks
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import rpc
from papayalink.transport import rpc_messages
from tests import own_host

_KEY = b"k" * 32
_REQUEST = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/papayalink.Peer/Poll"),
    (":authority", "x"),
    ("te", "trailers"),
    ("content-type", "application/grpc+msgpack"),
]
_RESPONSE = [
    (":status", "200"),
    ("content-type", "application/grpc+msgpack"),
]
_INVALID_ARGUMENT = "3"
_DEADLINE_EXCEEDED = "4"


def _prefix(size):
    return b"\x00" + size.to_bytes(4, "big")


@pytest.fixture
def server():
    signer = auth.make_signer(_KEY, clocks.make_clock())
    rpc_server = rpc.make_server(
        (own_host.HOST, 0),
        {"Poll": lambda poll: messages.Acknowledge()},
        signer,
        {"Poll": 1},
    )
    rpc_server.start()
    yield rpc_server
    rpc_server.stop()


@pytest.fixture
def client():
    rpc_client = rpc.make_client(auth.make_signer(_KEY, clocks.make_clock()))
    yield rpc_client
    rpc_client.close()


def _poll(client, address):
    poll = messages.Poll("entry-1", "entry", "i")
    return client.call(address, "Poll", poll, 30.0)


class _Peer:
    """Begins a call without the key, and reads its status."""

    def __init__(self, address):
        self._sock = socket.create_connection(address)
        self._connection = h2.connection.H2Connection()
        self._connection.initiate_connection()
        self._connection.send_headers(1, _REQUEST)

    def send(self, data):
        self._connection.send_data(1, data)
        self._sock.sendall(self._connection.data_to_send())

    def read_status(self):
        with gevent.Timeout(20):
            while data := self._sock.recv(65536):
                for event in self._connection.receive_data(data):
                    headers = dict(getattr(event, "headers", None) or ())
                    if b"grpc-status" in headers:
                        return headers[b"grpc-status"].decode()
                self._sock.sendall(self._connection.data_to_send())

    def close(self):
        self._sock.close()


# Guards against a process whose memory anyone can fill without the key.
@pytest.mark.parametrize(
    "size", [rpc_messages.MAX_MESSAGE_BYTES + 1, 2**32 - 1]
)
def test_request_that_is_too_long_is_refused_by_its_length(server, size):
    peer = _Peer(server.address)
    peer.send(_prefix(size))
    assert peer.read_status() == _INVALID_ARGUMENT
    peer.close()


# Guards against requests that hold the places of calls and are never whole.
def test_request_that_stalls_ends_and_gives_its_place_back(
    server, client, monkeypatch
):
    monkeypatch.setattr(rpc_messages, "RECEIVE_TIMEOUT_S", 0.3)
    peer = _Peer(server.address)
    sent_at = time.monotonic()
    peer.send(_prefix(1000))

    def send_single_bytes():
        while True:
            peer.send(b"x")
            gevent.sleep(0.05)

    sender = gevent.spawn(send_single_bytes)
    try:
        assert peer.read_status() == _DEADLINE_EXCEEDED
    finally:
        sender.kill()
    assert time.monotonic() - sent_at >= 0.3
    _poll(client, "{}:{}".format(*server.address))
    peer.close()


# Guards against a process that holds what a stranger at a member's address
# sends.
def test_reply_that_is_too_long_is_refused_by_its_length(client):
    def serve(sock, address):
        connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False)
        )
        connection.initiate_connection()
        while data := sock.recv(65536):
            for event in connection.receive_data(data):
                if isinstance(event, h2.events.RequestReceived):
                    connection.send_headers(event.stream_id, _RESPONSE)
                    connection.send_data(event.stream_id, _prefix(2**32 - 1))
            sock.sendall(connection.data_to_send())

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    with pytest.raises(errors.ConnectionLost, match="too long"):
        _poll(client, f"{own_host.HOST}:{server.server_port}")
    server.stop()
