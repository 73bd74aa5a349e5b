"""Tests of what a failed call says about the request."""

import contextlib
import socket

import pytest

from papayalink import clock as clocks
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import http_client

BACKLOG = 4


@contextlib.contextmanager
def _refusing():
    """An address at which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock.getsockname()


@contextlib.contextmanager
def _silent():
    """An address that answers no attempt to connect, as a lost VM."""
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.socket())
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        for _ in range(BACKLOG):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(sock.getsockname())
        yield sock.getsockname()


@contextlib.contextmanager
def _mute():
    """An address that takes the request and never answers."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield sock.getsockname()


@pytest.mark.parametrize(
    "peer, expected",
    [
        (_refusing, errors.NotConnected),
        (_silent, errors.NotConnected),
        (_mute, errors.Timeout),
    ],
)
def test_error_tells_whether_anything_was_sent(peer, expected):
    """Guards against a lost VM that counts as one that may have run it."""
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())
    client = http_client.make_client(signer, 0.2)
    with peer() as (host, port), pytest.raises(errors.TransportError) as got:
        client.send(f"{host}:{port}", "POST", "/relay", b"{}")
    assert type(got.value) is expected
