"""Tests of checks of a silent upstream at the end of a call's time."""

import time

import gevent
from gevent import event
from gevent import server as servers
import pytest

from papayalink.transport import errors
from papayalink.transport import upstream_channels
from tests import own_host

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_HEADERS = [(b"Host", b"x")]
# Ends a test that would wait for ever.
_HANGS_S = 20.0


@pytest.fixture
def calling():
    """Function that sends a call, which is answered after an event.

    It returns the event and the channel.
    """
    answers = event.Event()

    def serve(sock, address):
        sock.recv(65536)
        answers.wait()
        sock.sendall(_ANSWER)
        sock.recv(65536)

    server = servers.StreamServer((own_host.HOST, 0), serve)
    server.start()
    opened = []

    def make():
        address = f"{own_host.HOST}:{server.server_port}"
        channel = upstream_channels.make_channels().take(address, lambda: 5.0)
        opened.append(channel)
        channel.send(b"GET", b"/", _HEADERS, b"", lambda: 5.0)
        return answers, channel

    yield make
    for channel in opened:
        channel.close()
    answers.set()
    server.stop()


def test_time_that_ends_in_a_check_ends_the_call(calling):
    """Guards against a refusal that comes after the time of the caller."""
    answers, channel = calling()
    left_s = [5.0]

    def check(silent_s):
        left_s[0] = 0.0
        answers.set()

    channel.on_silence = check
    with pytest.raises(errors.Timeout):
        channel.read_head(lambda: left_s[0])


def test_check_ends_with_the_time_of_the_call(calling):
    """Guards against a check of other replicas that outlasts the call."""
    _, channel = calling()
    ended_at = time.monotonic() + 0.8
    channel.on_silence = lambda silent_s: gevent.sleep(2 * _HANGS_S)
    with gevent.Timeout(_HANGS_S):
        with pytest.raises(errors.Timeout):
            channel.read_head(lambda: ended_at - time.monotonic())


def test_answer_that_comes_in_a_check_is_read(calling):
    """Guards against answers in time that a check withholds."""
    answers, channel = calling()

    def check(silent_s):
        answers.set()
        gevent.sleep(0.2)
        raise errors.ConnectionLost("left")

    channel.on_silence = check
    with gevent.Timeout(_HANGS_S):
        assert channel.read_head(lambda: 5.0).status_code == 200
