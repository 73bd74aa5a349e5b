"""Tests of the errors of failed calls."""

import contextlib
import fcntl
import random
import socket
from types import SimpleNamespace

import gevent
from gevent import pool
from gevent import server as servers
from gevent import socket as gevent_socket
import pytest

from papayalink import clock as clocks
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import http_client
from tests import cut_answers
from tests import early_answers
from tests import own_host
from tests import permuted_hub

BACKLOG = 4


@contextlib.contextmanager
def _closed_port():
    """An address at which nothing listens."""
    with socket.socket() as sock:
        sock.bind((own_host.HOST, 0))
        yield sock.getsockname()


@contextlib.contextmanager
def _full_backlog():
    """An address that, like a lost VM, does not answer connection attempts."""
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.socket())
        sock.bind((own_host.HOST, 0))
        sock.listen(0)
        for _ in range(BACKLOG):
            pending = stack.enter_context(socket.socket())
            pending.setblocking(False)
            pending.connect_ex(sock.getsockname())
        yield sock.getsockname()


@contextlib.contextmanager
def _unresponsive_server():
    """An address that accepts connections and never answers a request."""
    with socket.socket() as sock:
        sock.bind((own_host.HOST, 0))
        sock.listen()
        yield sock.getsockname()


@pytest.mark.parametrize(
    "make_peer, expected",
    [
        (_closed_port, errors.NotConnected),
        (_full_backlog, errors.NotConnected),
        (_unresponsive_server, errors.Timeout),
    ],
)
def test_error_tells_whether_anything_was_sent(make_peer, expected):
    """Guards against taking a call to a lost VM for one that may have run."""
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())
    client = http_client.make_client(signer, 0.2)
    with (
        make_peer() as (host, port),
        pytest.raises(errors.TransportError) as caught,
    ):
        client.send(f"{host}:{port}", "POST", "/relay", b"{}")
    assert type(caught.value) is expected


@pytest.mark.parametrize("reads_lines", [False, True])
@pytest.mark.parametrize("end", cut_answers.ENDS)
@pytest.mark.parametrize("framing", cut_answers.FRAMINGS)
def test_cut_response_is_never_taken_for_a_whole_one(
    framing, end, reads_lines
):
    """Guards against a short response that is taken for a whole one.

    A line ends with its newline; what follows the last one is no line.
    """
    server = cut_answers.CutServer(framing, end)
    # Signatures protect a response too, but not its body.
    signer = SimpleNamespace(
        sign_request=lambda *_: (b"s", b"n"), verify_reply=lambda *_: None
    )

    def read_cut(cut):
        client = http_client.make_client(signer, 5.0)
        try:
            response = client.send(server.address, "POST", f"/{cut}")
            if not reads_lines:
                return response.read()
            lines = []
            while line := response.readline():
                lines.append(line)
            return lines
        except errors.ConnectionLost:
            return "lost"
        finally:
            client.close()

    cuts = list(cut_answers.each_cut(framing))
    try:
        results = pool.Pool(20).map(read_cut, cuts)
    finally:
        server.server.stop()
    for cut, result in zip(cuts, results):
        # The library loses its socket after an interim response. The system's
        # processes send one only to a peer that has shut down its sending
        # side, which this client never does.
        if framing == "interim" or not cut_answers.is_regular(
            framing, end, cut
        ):
            assert result == "lost", cut
            continue
        body = cut_answers.expected_body(framing, cut)
        whole_lines = body.partition(b"\n")[0] + b"\n"
        assert result == (
            body if not reads_lines else [whole_lines] * (b"\n" in body)
        ), cut


@pytest.mark.parametrize(
    ("size", "end"), early_answers.FAULTY_CASES + early_answers.SOUND_CASES
)
def test_part_of_a_response_is_not_taken_for_a_whole_one(size, end):
    """Guards against an end with a reset behind it that looks regular."""
    server = early_answers.EarlyServer(end)
    signer = SimpleNamespace(
        sign_request=lambda *_: (b"s", b"n"), verify_reply=lambda *_: None
    )
    client = http_client.make_client(signer, 5.0)
    try:
        response = client.send(server.address, "POST", "/", b"x" * size)
        body = response.read()
    except errors.ConnectionLost:
        body = None
    finally:
        client.close()
        server.server.stop()
    assert body == (b"part" if end in early_answers.SOUND else None)


def test_kept_connection_with_a_high_descriptor_is_reused():
    """Guards against a connection for each call of a busy process."""
    pool = http_client._Client("127.0.0.1", 1, 1.0)._connection_pool
    peer, own = gevent_socket.socketpair()
    high = gevent_socket.socket(fileno=fcntl.fcntl(own, fcntl.F_DUPFD, 1500))
    assert pool._is_socket_alive(high)
    peer.close()
    own.close()
    assert not pool._is_socket_alive(high)
    high.close()


def test_no_other_task_runs_between_the_look_at_a_connection_and_its_use():
    """Guards against a call sent on a connection that has been closed."""
    pool = http_client._Client("127.0.0.1", 1, 1.0)._connection_pool
    peer, own = gevent_socket.socketpair()
    closing = gevent.spawn(peer.close)
    assert pool._is_socket_alive(own)
    assert not closing.ready()
    closing.join()
    own.close()


@pytest.mark.parametrize("seed", range(4))
def test_interrupted_calls_keep_no_place_in_the_pool(seed):
    """Guards against a client that stops calling after some interruptions."""
    rng = random.Random(seed)

    def answer(sock, address):
        while sock.recv(65536):
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

    def play():
        server = servers.StreamServer((own_host.HOST, 0), answer)
        server.start()
        client = http_client._Client(own_host.HOST, server.server_port, 5.0)

        def call():
            response = http_client._request(client, "GET", "/", b"", {})
            response.release()

        interrupted = 0
        for _ in range(200):
            task = gevent.spawn(call)
            gevent.sleep(rng.random() * 0.002)
            interrupted += not task.ready()
            task.kill(errors.CallerGone("gone"))
        gevent.sleep(0.05)
        server.stop()
        assert 0 < interrupted < 200
        return client._connection_pool._semaphore.counter

    assert permuted_hub.run(seed, play) == http_client.MAX_CONNECTIONS
