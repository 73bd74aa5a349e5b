"""Tests of answers of replicas that a call has left, before others answer."""

import time

import gevent
import pytest

from papayalink.coordination import retry
from papayalink.roles.gateway import replica_wait
from papayalink.state import traffic
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=8.0),
    stubs.make_route(
        "resumed",
        traffic.RepeatPolicy.RESUMABLE,
        timeout_s=8.0,
        stream=True,
        max_attempts=3,
    ),
    stubs.make_route(
        "short", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=3.0, max_attempts=3
    ),
)
# Longer than calls stay at a silent replica.
_SILENCE_S = 2.0
_BUSY = (
    b"HTTP/1.1 503 Busy\r\nPapayalink-Not-Executed: 1\r\nRetry-After: %d\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_NOT_FOUND = (
    b"HTTP/1.1 404 No\r\n" + stubs.STAMP + b"Content-Length: 0\r\n\r\n"
)
_WHOLE = {
    b"/safe/": b"ok",
    b"/resumed/": b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n",
}
_KINDS = {b"/safe/": "desk", b"/resumed/": "models"}


class _Silent(stubs.Upstream):
    """Is silent within its answers, and goes on."""

    def next_steps(self, request):
        if b" /safe/ " in request:
            return [_SILENCE_S, stubs.OK]
        if b"\r\nlast-event-id: 1\r\n" in request.lower():
            return [stubs.STREAM, stubs.event(2), stubs.END]
        begin = [stubs.STREAM, stubs.event(1)]
        return [*begin, _SILENCE_S, stubs.event(2), stubs.END]


class _Budgets:
    """Retry budgets with room for a number of repeats in all."""

    def __init__(self, repeats):
        self._budget = retry.Budget(ratio=0.0, constant=repeats)

    def for_service(self, service, now):
        return self._budget


@pytest.fixture
def call():
    """Function that calls; begins at a silent replica, goes to another."""
    started = []

    def make(path, steps, repeats):
        kind = _KINDS[path]
        silent = _Silent(f"{kind}1")
        other = stubs.Upstream(f"{kind}2", *[steps] * 9)
        gateway = stubs.Gateway([silent, other], _ROUTES)
        started.append(gateway)
        gateway.shared.budgets = _Budgets(repeats)
        member = gateway.fleet.find(other.name)
        member.set_reachable(False)
        calling = gevent.spawn(gateway.call, path, timeout_s=10)
        with gevent.Timeout(10):
            while not silent.received:
                gevent.sleep(0.005)
        gevent.sleep(0.1)
        member.set_reachable(True)
        status, _, body = calling.get(timeout=15)
        sent = [len(each.received) for each in gateway.upstreams]
        return (status, body), sent

    yield make
    for gateway in started:
        gateway.stop()


# Guards against an answer that is thrown away unread after a while, as
# another replica has the call, which then breaks off.
@pytest.mark.parametrize("path", _WHOLE)
def test_answer_that_has_come_is_kept(call, path):
    answer, _ = call(path, [3.0, "reset"], 1)
    assert answer == (200, _WHOLE[path])


# Guards against calls that run twice at a replica that has answered.
@pytest.mark.parametrize("path", _WHOLE)
def test_answer_that_has_come_is_no_reason_to_send(call, path):
    answer, sent = call(path, [_BUSY % 1], 9)
    assert answer == (200, _WHOLE[path])
    assert sent == [1, 1]


# Guards against a stream that is cut, though its replica goes on, since
# another one does not know it.
def test_stream_that_another_replica_does_not_know(call):
    answer, _ = call(b"/resumed/", [_NOT_FOUND], 1)
    assert answer == (200, _WHOLE[b"/resumed/"])


# Guards against calls that wait for lost replicas until their deadline, while
# the answer of the one that they have left is there.
def test_wait_for_lost_replica_ends_with_an_answer(monkeypatch):
    monkeypatch.setattr(replica_wait, "MAX_RETURN_S", 60.0)
    silent = _Silent("desk1")
    silent.next_steps = lambda request: [_SILENCE_S, stubs.OK]
    busy, lost = stubs.Upstream("desk2", [_BUSY % 9]), stubs.Upstream("desk3")
    gateway = stubs.Gateway([silent, busy, lost], _ROUTES)
    members = [gateway.fleet.find(each.name) for each in (busy, lost)]
    for member in members:
        member.set_reachable(False)
    try:
        calling = gevent.spawn(gateway.call, b"/short/", timeout_s=10)
        with gevent.Timeout(10):
            while not silent.received:
                gevent.sleep(0.005)
            gevent.sleep(0.1)
        members[1].lost_at = time.monotonic()
        members[0].set_reachable(True)
        status, _, body = calling.get(timeout=15)
    finally:
        gateway.stop()
    assert (status, body) == (200, b"ok")
    assert [len(each.received) for each in gateway.upstreams] == [1, 1, 0]


# Guards against calls that wait to their deadline at a silent replica, while
# the answer of the one that they have left is there.
def test_answer_that_has_come_ends_the_wait_at_another_replica(call):
    answer, _ = call(b"/safe/", [9.0, stubs.OK], 1)
    assert answer == (200, b"ok")
