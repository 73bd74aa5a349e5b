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
