"""Tests of responses between own processes whose head never ends."""

import gevent
from gevent import server as servers
import pytest

from papayalink import clock as clocks
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import http_client
from tests import own_host

# What sockets on both ends may hold beside what is read.
_SOCKET_BUFFERS_BYTES = 16 * 1024 * 1024
# More than that, so that a reader without a limit does not end.
_ENDLESS_BYTES = 64 * 1024 * 1024

_ENDLESS_HEADS = [
    (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 65536),
    (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 10_000),
    (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
]
_IDS = ["header", "headers", "interim-responses"]


@pytest.fixture
def make_client():
    clients = []

    def make(timeout_s):
        signer = auth.make_signer(b"k" * 32, clocks.make_clock())
        clients.append(http_client.make_client(signer, timeout_s))
        return clients[-1]

    yield make
    for client in clients:
        client.close()


@pytest.fixture
def serve():
    started = []

    def start(handle):
        server = servers.StreamServer((own_host.HOST, 0), handle)
        server.start()
        started.append(server)
        return f"{own_host.HOST}:{server.server_port}"

    yield start
    for server in started:
        server.stop()


# Guards against a process whose memory a stranger at a peer's address fills:
# a response is verified once its head is whole.
@pytest.mark.parametrize(("start", "block"), _ENDLESS_HEADS, ids=_IDS)
def test_head_without_end_ends_the_call(make_client, serve, start, block):
    sent_bytes = 0

    def send_head(sock, address):
        nonlocal sent_bytes
        sock.recv(65536)
        try:
            sock.sendall(start)
            while sent_bytes < _ENDLESS_BYTES:
                sock.sendall(block)
                sent_bytes += len(block)
                gevent.sleep(0)
        except OSError:
            pass

    address = serve(send_head)
    with pytest.raises(errors.ConnectionLost, match="too many bytes"):
        make_client(60.0).send(address, "POST", "/relay", b"{}")
    assert sent_bytes <= _SOCKET_BUFFERS_BYTES


# Guards against a call that single bytes keep alive for ever.
def test_head_that_stalls_ends_the_call(make_client, serve):
    def send_single_bytes(sock, address):
        sock.recv(65536)
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\nX: ")
            while True:
                sock.sendall(b"x")
                gevent.sleep(0.05)
        except OSError:
            pass

    address = serve(send_single_bytes)
    with (
        gevent.Timeout(20),
        pytest.raises(errors.ConnectionLost, match="too long"),
    ):
        make_client(0.2).send(address, "POST", "/relay", b"{}")


# Guards against limits of the head that cut a body, and against those of one
# request that are counted for the next on its connection.
def test_bodies_are_not_cut_by_the_limits_of_heads(make_client, serve):
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())
    body = b"x" * (196_608)

    def answer(sock, address):
        while request := sock.recv(65536):
            head = request.split(b"\r\n\r\n")[0].decode().split("\r\n")
            (sent,) = [
                line.partition(": ")[2]
                for line in head
                if line.lower().startswith(auth.HEADER.lower())
            ]
            nonce = bytes.fromhex(sent)[8:24]
            reply = signer.sign_reply(nonce, b"200").hex()
            sock.sendall(
                f"HTTP/1.1 200 OK\r\n{auth.REPLY_HEADER}: {reply}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )

    address = serve(answer)
    client = make_client(60.0)
    for _ in range(3):
        assert client.send(address, "GET", "/x").read() == body
