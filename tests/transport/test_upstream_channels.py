"""Tests of calls to upstreams over reused connections."""

import fcntl
import time

import gevent
from gevent import _socketcommon
from gevent import server as servers
from gevent import socket
import pytest

from papayalink.transport import errors
from papayalink.transport import upstream_channel
from papayalink.transport import upstream_channels
from tests import own_host
from tests.transport import sockets

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_HEADERS = [(b"Host", b"x"), (b"Content-Length", b"2")]


class _Upstream:
    """Answers each chunk received by the next list of steps."""

    def __init__(self, *script):
        self.script = list(script)
        self.received = []
        self.accepted = 0
        self.server = servers.StreamServer((own_host.HOST, 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"{own_host.HOST}:{self.server.server_port}"

    def _serve(self, sock, address):
        self.accepted += 1
        while self.script:
            data = sock.recv(65536)
            if not data:
                return
            self.received.append(data)
            for step in self.script.pop(0):
                if step == "reset":
                    # Bytes in transit have to arrive first.
                    gevent.sleep(0.02)
                    sockets.reset(sock)
                    return
                if step == "close":
                    return
                gevent.sleep(0.01)
                sock.sendall(step)


@pytest.fixture
def start():
    started = []

    def make(*script):
        started.append(_Upstream(*script))
        return started[-1]

    yield make
    for upstream in started:
        upstream.server.stop()


def _remaining_s():
    return 2.0


def _call_and_release(channels, upstream, body=b"hi"):
    """Returns: (status, body); keeps the connection if it is reusable."""
    channel = channels.take(upstream.address, _remaining_s)
    try:
        headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
        channel.send(b"POST", b"/a?b=%2F", headers, body, _remaining_s)
        head = channel.read_head(_remaining_s)
        answer_body = b""
        while data := channel.read_data(_remaining_s):
            answer_body += data
    except errors.TransportError:
        channel.close()
        raise
    if channel.finish(None):
        channels.give_back(upstream.address, channel)
    else:
        channel.close()
    return head.status_code, answer_body


def test_connection_is_reused(start):
    upstream = start([_OK], [_OK])
    channels = upstream_channels.make_channels()
    assert _call_and_release(channels, upstream) == (200, b"ok")
    assert _call_and_release(channels, upstream) == (200, b"ok")
    assert upstream.accepted == 1
    assert upstream.received[0].startswith(b"POST /a?b=%2F HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("steps", "is_lost"),
    [
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "close"], True),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "reset"], True),
        (
            [
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"2\r\nok\r\n",
                "close",
            ],
            True,
        ),
        ([b"HTTP/1.1 200 OK\r\n\r\nok", "reset"], True),
        ([b"HTTP/1.1 200 OK\r\n\r\nok", "close"], False),
        ([b"\x00\x01garbage\r\n\r\n", "close"], True),
        (["close"], True),
        (["reset"], True),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", _OK], False),
    ],
    ids=repr,
)
def test_incomplete_answers_raise_connection_lost(start, steps, is_lost):
    upstream = start(steps)
    channels = upstream_channels.make_channels()
    if is_lost:
        with pytest.raises(errors.ConnectionLost):
            _call_and_release(channels, upstream)
    else:
        assert _call_and_release(channels, upstream) == (200, b"ok")


@pytest.mark.parametrize(
    "first",
    [
        [_OK + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"],
        [_OK, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"],
        [_OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")],
        [_OK, "close"],
    ],
    ids=["extra", "extra-late", "close", "closed"],
)
def test_closed_connection_or_one_with_extra_bytes_is_not_reused(start, first):
    # Bytes after an answer belong to no request and must not be read as the
    # answer to the next one.
    upstream = start(first, [_OK], [_OK])
    channels = upstream_channels.make_channels()
    assert _call_and_release(channels, upstream) == (200, b"ok")
    gevent.sleep(0.05)
    assert _call_and_release(channels, upstream) == (200, b"ok")
    assert upstream.accepted == 2


def test_connection_is_not_reused_after_an_early_answer(start):
    # The upstream might read the rest of the body as the next request.
    early_answer = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

    class EarlyUpstream(_Upstream):
        def _serve(self, sock, address):
            self.accepted += 1
            sock.recv(1)
            sock.sendall(early_answer)
            gevent.sleep(1.0)

    upstream = EarlyUpstream()
    channels = upstream_channels.make_channels()
    channel = channels.take(upstream.address, _remaining_s)
    body = b"x" * 4_000_000
    headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
    channel.send(b"POST", b"/", headers, body, _remaining_s)
    assert channel.read_head(_remaining_s).status_code == 503
    assert channel.read_data(_remaining_s) == b""
    assert not channel.finish(None)
    channel.close()
    upstream.server.stop()


def test_missing_answer_raises_timeout(start):
    upstream = start([], [])
    channels = upstream_channels.make_channels()
    channel = channels.take(upstream.address, _remaining_s)
    channel.send(b"POST", b"/", _HEADERS, b"hi", _remaining_s)
    with pytest.raises(errors.Timeout):
        channel.read_head(lambda: 0.05)
    channel.close()


def test_closed_port_raises_not_connected():
    with socket.socket() as unused:
        unused.bind((own_host.HOST, 0))
        address = f"{own_host.HOST}:{unused.getsockname()[1]}"
        channels = upstream_channels.make_channels()
        with pytest.raises(errors.NotConnected):
            channels.take(address, _remaining_s)


@pytest.fixture
def idle():
    """Two idle connections, the newer first in use, and the server's ends."""
    accepted = []

    def serve(sock, address):
        accepted.append(sock)
        gevent.sleep(60)

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    address = f"{own_host.HOST}:{server.server_port}"
    channels = upstream_channels.make_channels()
    opened = []
    for _ in range(2):
        opened.append(channels.take(address, _remaining_s))
        while len(accepted) < len(opened):
            gevent.sleep(0.001)
    for channel in opened:
        channel.keep(upstream_channel.DEFAULT_IDLE_TIMEOUT_S)
        channels.give_back(address, channel)
    yield channels, address, accepted
    server.stop()


def test_idle_connection_is_still_usable_once_it_is_taken(idle):
    """Guards against a call that is sent where bytes have come since.

    They are the end of the connection, which loses the call, or a late second
    answer, which is not the call's.
    """
    channels, address, accepted = idle
    sending = gevent.spawn(accepted[-1].sendall, _OK)
    channel = channels.take(address, _remaining_s)
    assert channel.usable
    sending.join()
    assert not channel.usable


def test_connections_that_are_closed_meanwhile_are_not_taken(idle):
    """Guards against a call that fails by an error of a closed socket."""
    channels, address, accepted = idle
    accepted[-1].sendall(_OK)
    gevent.sleep(0.01)
    closing = gevent.spawn(channels.close_idle, address)
    channel = channels.take(address, _remaining_s)
    assert channel.usable
    closing.join()


def test_no_other_task_runs_between_the_look_at_a_connection_and_its_use(idle):
    """Guards against a call sent on a connection that has been closed.

    Nobody can tell whether such a call has arrived.
    """
    channels, address, peers = idle
    gevent.spawn(peers[-1].close)
    assert channels.take(address, _remaining_s).usable


def test_idle_connections_closed_while_one_is_taken_fail_no_call(idle):
    """Guards against a call that fails with an error of this process."""
    channels, address, peers = idle
    peers[-1].close()
    gevent.sleep(0.01)
    closing = gevent.spawn(channels.close_idle, address)
    assert channels.take(address, _remaining_s).usable
    closing.join()


def test_connection_with_a_high_descriptor_is_reused(idle):
    """Guards against errors in a process with more than 1024 connections."""
    channels, address, _ = idle
    with socket.create_connection(_split(address)) as sock:
        high = fcntl.fcntl(sock.fileno(), fcntl.F_DUPFD, 1500)
    channel = upstream_channel.Channel(socket.socket(fileno=high))
    channel.keep(upstream_channel.DEFAULT_IDLE_TIMEOUT_S)
    channels.give_back(address, channel)
    assert channels.take(address, _remaining_s) is channel
    channel.close()


def test_body_is_sent_on_a_connection_with_a_high_descriptor():
    """Guards against errors in a process with more than 1024 connections."""
    received = []

    def serve(sock, address):
        # Sending waits for room meanwhile.
        gevent.sleep(0.1)
        while data := sock.recv(65536):
            received.append(len(data))

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    body = b"x" * 8_000_000
    with socket.create_connection(server.address) as sock:
        high = fcntl.fcntl(sock.fileno(), fcntl.F_DUPFD, 1500)
    channel = upstream_channel.Channel(socket.socket(fileno=high))
    headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
    channel.send(b"POST", b"/", headers, body, _remaining_s)
    channel.close()
    while sum(received) < len(body):
        gevent.sleep(0.01)
    server.stop()


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:99999",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:http",
        "127.0.0.1:" + "8" * 5_000,
        "127.0.0.1",
        "127.0.0.1\x00:80",
        "\ud800:80",
        "a" * 100 + ".example:80",
        "localhost:80",
        "[::1]:80",
        "",
    ],
    ids=range(12),
)
def test_address_that_is_not_numeric_is_not_connected_to(monkeypatch, address):
    """Guards against calls that end by an error, or wait for DNS."""

    def look_up(*arguments):
        pytest.fail(f"looked up {arguments}")

    monkeypatch.setattr(_socketcommon, "getaddrinfo", look_up)
    channels = upstream_channels.make_channels()
    with pytest.raises(errors.NotConnected):
        channels.take(address, lambda: 1.0)
    with pytest.raises(errors.NotConnected):
        channels.probe(address)
    assert channels.opened_connections == 0


@pytest.mark.parametrize("then", ["close", "keep"])
def test_answer_that_comes_while_a_body_waits_for_room_is_read(then):
    """Guards against a refusal that is lost, so that a call may have run.

    The upstream reads nothing of the body, so that sending it waits.
    """
    refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

    def serve(sock, address):
        sock.recv(1)
        gevent.sleep(0.1)
        sock.sendall(refusal)
        gevent.sleep(0.1 if then == "close" else 60)

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    channels = upstream_channels.make_channels()
    address = f"{own_host.HOST}:{server.server_port}"
    channel = channels.take(address, _remaining_s)
    body = b"x" * 8_000_000
    headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
    try:
        channel.send(b"POST", b"/", headers, body, _remaining_s)
        assert channel.read_head(_remaining_s).status_code == 503
        assert channel.read_data(_remaining_s) == b""
        assert not channel.finish(None)
    finally:
        channel.close()
        server.stop()


@pytest.mark.parametrize("status", [100, 103])
def test_body_is_sent_on_after_an_interim_response(status):
    """Guards against a body that stops where an interim response comes.

    Caller and upstream then wait for each other.
    """
    body = b"x" * 8_000_000
    deadline = time.monotonic() + 2.0

    def remaining_s():
        return deadline - time.monotonic()

    def serve(sock, address):
        received = len(sock.recv(1000))
        sock.sendall(b"HTTP/1.1 %d Go on\r\nA: b\r\n" % status)
        gevent.sleep(0.05)
        sock.sendall(b"\r\n")
        gevent.sleep(0.05)
        while received < len(body) and (data := sock.recv(65536)):
            received += len(data)
        sock.sendall(_OK)
        gevent.sleep(60)

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    channels = upstream_channels.make_channels()
    address = f"{own_host.HOST}:{server.server_port}"
    channel = channels.take(address, remaining_s)
    headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
    try:
        channel.send(b"POST", b"/", headers, body, remaining_s)
        assert channel.read_head(remaining_s).status_code == 200
        assert channel.read_data(remaining_s) == b"ok"
        assert channel.read_data(remaining_s) == b""
        assert channel.finish(None)
    finally:
        channel.close()
        server.stop()


class _Stalled(errors.ConnectionLost):
    pass


# Guards against a sound upstream that is left because the entry itself, or its
# caller, read nothing for a while.
def test_bytes_that_wait_are_read_before_silence_is_reported(start):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
    upstream = start([head, b"late"])
    channel = upstream_channels.make_channels().take(
        upstream.address, lambda: 60.0
    )

    def give_up(silent_s):
        raise _Stalled

    channel.on_silence = give_up
    channel.send(b"POST", b"/", _HEADERS, b"hi", lambda: 60.0)
    channel.read_head(lambda: 60.0)
    gevent.sleep(1.5 * upstream_channel.SILENCE_PERIOD_S)
    assert channel.read_data(lambda: 60.0) == b"late"
