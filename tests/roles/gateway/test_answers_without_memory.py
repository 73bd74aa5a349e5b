"""Tests of answers while the memory for all of them is held."""

import time
import zlib

import gevent
import msgspec
import pytest
from structlog import testing

from papayalink.protocol import messages
from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 4.0
# A sound replica may be silent for so long.
_SILENCE_S = 1.2
_ROUTE = stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=9.0)
_OWN_BYTES = upstream_channels.OWN_HELD_BYTES
# Size of an answer, and the bytes that others hold beside it.
_FITTING = [
    (_OWN_BYTES, upstream_channels.MAX_HELD_BYTES),
    (4 * _OWN_BYTES, upstream_channels.MAX_HELD_BYTES - 4 * _OWN_BYTES),
]
_DOCUMENTS = [
    traffic.CallerLimits(1024, 16, 1.0, 0.01),
    traffic.CallerLimits(65536, 2**30, 60.0, 60.0),
]


def _make_steps(size_bytes, pauses):
    """Returns: steps of an answer that pauses twice in its body."""
    head = (
        b"HTTP/1.1 200 OK\r\n"
        + stubs.STAMP
        + b"Content-Length: %d\r\n\r\n" % size_bytes
    )
    third = size_bytes // 3
    parts = [third, third, size_bytes - 2 * third]
    steps = [head]
    for part, pause_s in zip(parts, [*pauses, 0.001]):
        steps += [b"x" * part, pause_s]
    return steps


def _put_in_force(gateway):
    """Bring each of the documents, one after the other."""
    for number, limits in enumerate(_DOCUMENTS, 2):
        gateway._document = msgspec.structs.replace(
            gateway._document, number=number, limits=limits
        )
        gateway.apply_document(number)
        gevent.sleep(0.1)


def _begin_stop(gateway):
    gateway.begin_stop()


def _do_nothing(gateway):
    """The replica is silent."""


class _Gateway(stopped.Gateway):
    def apply_document(self, number):
        self.process._watcher._apply_reply(
            messages.WatchReply(number, zlib.compress(b"{}")),
            "",
            time.monotonic(),
        )
        assert self.process._watcher.number == number


@pytest.fixture
def start():
    """Function that starts a gateway before a replica that answers so."""
    started = []

    def make(steps):
        upstream = stubs.Upstream("desk1", steps)
        started.append(_Gateway(_GRACE_S, [upstream], [_ROUTE]))
        return started[-1]

    yield make
    for gateway in started:
        gateway.end()


def _call(gateway, held_bytes, disturb):
    """Returns: the answer to a call that is disturbed within its answer."""
    held = gateway.process._channels.held
    assert held.take(held_bytes, 0)
    calling = gevent.spawn(gateway.call, b"/once/", timeout_s=10)
    with gevent.Timeout(10):
        # Something of the answer has come.
        while held.taken_bytes == held_bytes and not calling.ready():
            gevent.sleep(0.005)
    disturb(gateway)
    assert not calling.ready()
    answer = calling.get(timeout=15)
    assert held.taken_bytes == held_bytes
    return answer


# Guards against sound answers that find no memory since a document, a silence
# or a stop comes within them, while endless answers hold it.
@pytest.mark.parametrize(("size_bytes", "held_bytes"), _FITTING)
@pytest.mark.parametrize(
    ("disturb", "pause_s"),
    [(_put_in_force, 0.3), (_do_nothing, _SILENCE_S), (_begin_stop, 0.3)],
    ids=["documents", "silence", "stop"],
)
def test_answer_that_has_room_is_whole(
    start, size_bytes, held_bytes, disturb, pause_s
):
    gateway = start(_make_steps(size_bytes, [pause_s, pause_s]))
    status, _, body = _call(gateway, held_bytes, disturb)
    assert (status, len(body)) == (200, size_bytes)


# Guards against a connection that ends without an answer, and a call that no
# line tells of, as an answer finds no memory.
@pytest.mark.parametrize(
    "disturb",
    [_put_in_force, _do_nothing, _begin_stop],
    ids=lambda f: f.__name__,
)
def test_answer_without_room_fails_with_a_status(start, disturb):
    gateway = start(_make_steps(2 * _OWN_BYTES, [0.3, 0.3]))
    held_bytes = upstream_channels.MAX_HELD_BYTES
    with testing.capture_logs() as logs:
        assert _call(gateway, held_bytes, disturb)[0] == 502
    (end,) = [line for line in logs if line["event"] == "call_not_answered"]
    assert "no memory for the answer" in end["reason"]
