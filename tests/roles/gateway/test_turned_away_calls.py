"""Tests of calls that leave a silent replica and are turned away by others."""

import gevent
import pytest

from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=8.0),
    stubs.make_route(
        "resumed", traffic.RepeatPolicy.RESUMABLE, timeout_s=8.0, stream=True
    ),
)
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)
# Service of each route, and the headers of its calls.
_CALLS = {b"/safe/": ("desk", ()), b"/resumed/": ("models", _PROMPT)}
_EVENTS = 4
# Longer than calls stay at a silent replica, and no longer than a sound one
# takes no connections.
_SILENCE_S = 2.0
_BUSY_FOR_LONG = stubs.BUSY.replace(b"Content", b"Retry-After: 60\r\nContent")


def _make_body(path):
    if path == b"/safe/":
        return b"ok"
    return b"".join(
        b"id: %d\ndata: p%d\n\n" % (number, number)
        for number in range(1, _EVENTS + 1)
    )


def _make_answer(request):
    """Returns: steps of an answer, from the event on that a call names."""
    if b" /safe/ " in request:
        return [0.2, stubs.OK]
    _, _, rest = request.partition(b"Last-Event-Id: ")
    first = int(rest.split(b"\r\n")[0] or 0) + 1
    steps = [stubs.STREAM]
    for number in range(first, _EVENTS + 1):
        steps += [stubs.event(number), 0.05]
    return [*steps, stubs.END]


class _Sound(standing_still.Upstream):
    """Answers whole; pauses before most of its first answer."""

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        steps = _make_answer(request)
        if len(self.received) == 1:
            place = 0 if b" /safe/ " in request else 2
            steps.insert(place, _SILENCE_S)
        return steps


class _Other(stubs.Upstream):
    """Answers by its script, and with whole answers after that."""

    def next_steps(self, request):
        return (
            super().next_steps(request)
            if self.script
            else (_make_answer(request))
        )


class _Closing(stubs.Upstream):
    """Closes its port once a connection to it has been made."""

    def _serve(self, sock, address):
        self.connections += 1
        self.server.close()


def _make_third(name):
    return [_Other(name, [stubs.BUSY]), _Other(f"{name}-third")]


def _make_busy_once(name):
    return [_Other(name, [stubs.BUSY])]


def _make_busy_for_long(name):
    return [_Other(name, *[[_BUSY_FOR_LONG]] * 9)]


def _make_all_busy(name):
    return [_Other(f"{name}-{n}", *[[stubs.BUSY]] * 9) for n in range(2)]


def _make_closing(name):
    return [_Closing(name)]


@pytest.fixture
def start():
    """Function that starts a gateway before a sound replica and others."""
    started = []

    def make(path, make_others):
        kind, _ = _CALLS[path]
        upstreams = [_Sound(f"{kind}1"), *make_others(f"{kind}2")]
        started.append(stubs.Gateway(upstreams, _ROUTES))
        for other in upstreams[1:]:
            started[-1].fleet.find(other.name).set_reachable(False)
        return started[-1]

    yield make
    for gateway in started:
        gateway.upstreams[0].go_on()
        gateway.stop()


def _spawn_call(gateway, path):
    """Call; the sound replica is the only one that the call may begin at."""
    calling = gevent.spawn(gateway.call, path, _CALLS[path][1], timeout_s=10)
    with gevent.Timeout(10):
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
    gevent.sleep(0.1)
    for other in gateway.upstreams[1:]:
        gateway.fleet.find(other.name).set_reachable(True)
    return calling


# Guards against streams that are cut, and calls that end with 502, because
# the replica to which they go from a silent one turns them away.
@pytest.mark.parametrize("path", _CALLS)
@pytest.mark.parametrize("takes_connections", [True, False])
@pytest.mark.parametrize(
    "make_others",
    [
        _make_third,
        _make_busy_once,
        _make_busy_for_long,
        _make_all_busy,
        _make_closing,
    ],
)
def test_call_that_is_turned_away_is_answered(
    start, make_others, takes_connections, path
):
    gateway = start(path, make_others)
    sound, *others = gateway.upstreams
    calling = _spawn_call(gateway, path)
    if not takes_connections:
        sound.stand_still_for(_SILENCE_S)
    status, _, body = calling.get(timeout=15)
    assert (status, body) == (200, _make_body(path))
    assert any(other.connections for other in others)
