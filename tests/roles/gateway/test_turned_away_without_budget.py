"""Tests of calls that are turned away as the retry budget is used up."""

import gevent
import pytest

from papayalink.coordination import retry
from papayalink.state import traffic
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=8.0),
    stubs.make_route(
        "resumed", traffic.RepeatPolicy.RESUMABLE, timeout_s=8.0, stream=True
    ),
)
# Longer than calls stay at a silent replica, and no longer than a sound one
# is silent.
_SILENCE_S = 2.0
_BEGIN = [stubs.STREAM, stubs.event(1)]
_END = [stubs.event(2), stubs.END]
_EVENT = b"id: 1\ndata: p1\n\n"
_EVENTS = b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"


class _Sound(stubs.Upstream):
    """Answers whole; is silent within its first answer."""

    def next_steps(self, request):
        first = len(self.received) == 1
        if b" /safe/ " in request:
            return [_SILENCE_S, stubs.OK] if first else [stubs.OK]
        if first:
            return [*_BEGIN, _SILENCE_S, *_END]
        return [stubs.STREAM, *_END]


class _Budgets:
    """Retry budgets with room for a number of repeats in all."""

    def __init__(self, repeats):
        self._budget = retry.Budget(ratio=0.0, constant=repeats)

    def for_service(self, service, now):
        return self._budget


# Guards against streams that are cut, and calls that end with 502, because
# the replica to which they go from a silent one turns them away, and nothing
# of the retry budget is left then. An entry that has just started has little.
@pytest.mark.parametrize("repeats", [1, 2])
@pytest.mark.parametrize(
    ("path", "kind", "whole"),
    [(b"/safe/", "desk", b"ok"), (b"/resumed/", "models", _EVENTS)],
    ids=["safe", "resumed"],
)
def test_call_that_is_turned_away_is_answered(path, kind, whole, repeats):
    sound = _Sound(f"{kind}1")
    busy = stubs.Upstream(f"{kind}2", *[[stubs.BUSY]] * 9)
    gateway = stubs.Gateway([sound, busy], _ROUTES)
    gateway.shared.budgets = _Budgets(repeats)
    member = gateway.fleet.find(busy.name)
    member.set_reachable(False)
    try:
        calling = gevent.spawn(gateway.call, path, timeout_s=10)
        with gevent.Timeout(10):
            while not sound.received:
                gevent.sleep(0.005)
        gevent.sleep(0.1)
        member.set_reachable(True)
        status, _, body = calling.get(timeout=15)
    finally:
        gateway.stop()
    assert (status, body) == (200, whole)
    assert len(sound.received) + len(busy.received) <= 1 + repeats


class _Silent(stubs.Upstream):
    """Is silent within each answer, a stream after part of an event."""

    def next_steps(self, request):
        if b" /safe/ " in request:
            return [_SILENCE_S, stubs.OK]
        part, rest = _EVENT[:8], _EVENT[8:]
        chunks = [b"%x\r\n%s\r\n" % (len(each), each) for each in (part, rest)]
        return [stubs.STREAM, chunks[0], _SILENCE_S, chunks[1], *_END]


class _Closing(stubs.Upstream):
    """Closes its port once a connection to it has been made."""

    def _serve(self, sock, address):
        self.connections += 1
        self.server.close()


def _make_busy(name):
    return stubs.Upstream(name, *[[stubs.BUSY]] * 9)


def _make_resetting(name):
    return stubs.Upstream(name, *[["reset"]] * 9)


@pytest.fixture
def start():
    """Function that starts a gateway before a silent replica and another."""
    started = []

    def make(make_other, kind, repeats):
        upstreams = [_Silent(f"{kind}1"), make_other(f"{kind}2")]
        gateway = stubs.Gateway(upstreams, _ROUTES)
        started.append(gateway)
        gateway.shared.budgets = _Budgets(repeats)
        gateway.fleet.find(upstreams[1].name).set_reachable(False)
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _spawn_call(gateway, path):
    """Call; it begins at the first upstream."""
    calling = gevent.spawn(gateway.call, path, timeout_s=10)
    silent, other = gateway.upstreams
    with gevent.Timeout(10):
        while not silent.received:
            gevent.sleep(0.005)
    gevent.sleep(0.1)
    gateway.fleet.find(other.name).set_reachable(True)
    return calling


# Guards against sendings that the retry budget does not allow, and calls that
# end though the replica that they have left goes on, be it within an event.
@pytest.mark.parametrize("make_other", [_make_busy, _make_resetting, _Closing])
@pytest.mark.parametrize("repeats", [0, 1, 2])
@pytest.mark.parametrize(
    ("path", "kind", "whole"),
    [(b"/safe/", "desk", b"ok"), (b"/resumed/", "models", _EVENTS)],
    ids=["safe", "resumed"],
)
def test_call_goes_on_where_it_was_left(
    start, path, kind, whole, repeats, make_other
):
    gateway = start(make_other, kind, repeats)
    calling = _spawn_call(gateway, path)
    status, _, body = calling.get(timeout=15)
    assert (status, body) == (200, whole)
    sent = sum(len(upstream.received) for upstream in gateway.upstreams)
    assert sent <= 1 + repeats


class _Taking(stubs.Upstream):
    """Takes each call, and answers a while later."""

    def next_steps(self, request):
        if b" /safe/ " in request:
            return [3.5, stubs.OK]
        return [stubs.STREAM, 0.5, stubs.event(1), 0.5, *_END]


# Guards against replicas that work on for nobody: one that a call has left
# learns that another one has taken it, or that it is not waited for.
@pytest.mark.parametrize(
    ("path", "kind", "whole"),
    [(b"/safe/", "desk", b"ok"), (b"/resumed/", "models", _EVENTS)],
    ids=["safe", "resumed"],
)
def test_replica_learns_that_the_call_is_served_elsewhere(
    start, path, kind, whole
):
    gateway = start(_Taking, kind, 1)
    silent, other = gateway.upstreams
    silent.next_steps = lambda request: [30.0]
    calling = _spawn_call(gateway, path)
    with gevent.Timeout(10):
        while not silent.hang_ups:
            gevent.sleep(0.005)
    assert not calling.ready()
    assert len(other.received) == 1
    status, _, body = calling.get(timeout=15)
    assert (status, body) == (200, whole)
    assert [len(each.received) for each in gateway.upstreams] == [1, 1]
