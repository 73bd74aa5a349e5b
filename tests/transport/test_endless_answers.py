"""Tests of upstreams that send bytes without end until the caller closes."""

import itertools

import gevent
from gevent import event as events
from gevent import server as servers
import pytest

from papayalink.transport import errors
from papayalink.transport import upstream_channel
from papayalink.transport import upstream_channels
from tests import own_host

# What sockets on both ends may hold beside what is read.
_SOCKET_BUFFERS_BYTES = 16 * 1024 * 1024
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _EndlessUpstream:
    """Answers a request with a start and a block that is sent for ever."""

    def __init__(self, start, block):
        self._start = start
        self._block = block
        self.sent_bytes = 0
        self.closed = events.Event()
        self.server = servers.StreamServer((own_host.HOST, 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"{own_host.HOST}:{self.server.server_port}"

    def _serve(self, sock, address):
        sock.recv(65536)
        try:
            sock.sendall(self._start)
            while True:
                sock.sendall(self._block)
                self.sent_bytes += len(self._block)
                gevent.sleep(0)
        except OSError:
            self.closed.set()


@pytest.fixture
def send():
    """Returns: function that sends a call to an endless upstream."""
    started = []

    def make(start, block):
        upstream = _EndlessUpstream(start, block)
        channel = upstream_channels.make_channels().take(
            upstream.address, lambda: 60.0
        )
        started.append((upstream, channel))
        headers = [(b"Host", b"x"), (b"Content-Length", b"2")]
        channel.send(b"POST", b"/", headers, b"hi", lambda: 60.0)
        return upstream, channel

    yield make
    for upstream, channel in started:
        channel.close()
        upstream.server.stop()


def _read_answer(channel):
    channel.read_head(lambda: 60.0)
    while channel.read_data(lambda: 60.0):
        pass


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 4096),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 500),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"", b"\x00" * 4096),
        (_CHUNKED, b"1;" + b"x" * 4000 + b"\r\ny\r\n"),
        (_CHUNKED + b"1;", b"x" * 4096),
        (_CHUNKED + b"0\r\n", b"X: y\r\n" * 500),
    ],
    ids=[
        "header",
        "headers",
        "interim-responses",
        "garbage",
        "chunk-extensions",
        "chunk-extension",
        "trailers",
    ],
)
def test_bytes_that_are_no_answer_end_the_call(send, start, block):
    upstream, channel = send(start, block)
    with pytest.raises(errors.ConnectionLost):
        _read_answer(channel)
    channel.close()
    with gevent.Timeout(10):
        upstream.closed.wait()
    allowed = upstream_channel.MAX_FRAMING_BYTES + _SOCKET_BUFFERS_BYTES
    assert upstream.sent_bytes <= allowed


def test_body_without_end_is_not_read_after_the_deadline(send):
    """Guards against a deadline that is only noticed when bytes are late."""
    _, channel = send(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536)
    times_left = itertools.chain([1.0] * 20, itertools.repeat(-0.1))
    channel.read_head(lambda: next(times_left))
    with pytest.raises(errors.Timeout):
        while channel.read_data(lambda: next(times_left)):
            pass


def test_small_chunks_are_content(send):
    # Each byte of a sound answer may come in a chunk of its own.
    _, channel = send(_CHUNKED, b"1\r\ny\r\n" * 1000)
    channel.read_head(lambda: 60.0)
    size_bytes = 0
    while size_bytes < 500_000:
        size_bytes += len(channel.read_data(lambda: 60.0))


class _Stalled(Exception):
    pass


@pytest.mark.parametrize("counts_bytes", [True, False])
def test_single_bytes_are_progress_only_if_the_reader_says_so(counts_bytes):
    """Guards against a stalled stream that is kept alive by single bytes."""

    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(12):
            gevent.sleep(0.1)
            sock.sendall(b"x")

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    channel = upstream_channels.make_channels().take(
        f"{own_host.HOST}:{server.server_port}", lambda: 60.0
    )

    def give_up(silent_s):
        raise _Stalled

    channel.on_silence = give_up
    channel.send(b"GET", b"/", [(b"Host", b"x")], b"", lambda: 60.0)
    channel.read_head(lambda: 60.0)
    received = b""
    try:
        while data := channel.read_data(lambda: 60.0, counts_bytes):
            received += data
        stalled = False
    except _Stalled:
        stalled = True
    channel.close()
    server.stop()
    assert stalled is not counts_bytes
    if counts_bytes:
        assert received == b"x" * 12
