"""Tests of what callers get for replicas' answers whose status is none."""

from gevent import pool
import pytest

from papayalink.state import traffic
from tests import odd_statuses
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE),
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT),
    stubs.make_route("stream", traffic.RepeatPolicy.ONCE, stream=True),
    stubs.make_route("resumed", traffic.RepeatPolicy.RESUMABLE, stream=True),
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")
_EVENTS = b"id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"
# Gateways that run at a time.
_CALLS = 8
_EXPECTED = {
    "once": (502, b"", 1),
    "safe": (200, b"ok", 2),
    "stream": (502, b"", 1),
    "resumed": (200, _EVENTS, 2),
}


def _call(route, answer):
    """Returns: status and body, and the calls that replicas got."""
    stream = route in ("stream", "resumed")
    steps = [[answer, "close"]]
    if stream:
        steps.append([stubs.STREAM, stubs.event(1), stubs.event(2), stubs.END])
    name = "models" if stream else "desk"
    replicas = [stubs.Upstream(f"{name}{index}") for index in range(2)]
    for replica in replicas:
        replica.script = steps
    gateway = stubs.Gateway(replicas, _ROUTES)
    try:
        status, _, body = gateway.call(
            b"/%s/" % route.encode(), _PROMPT if stream else ()
        )
    finally:
        gateway.stop()
    return status, body, sum(len(each.received) for each in replicas)


@pytest.mark.parametrize("interim", odd_statuses.INTERIM)
@pytest.mark.parametrize("route", _EXPECTED)
@pytest.mark.parametrize("status", odd_statuses.STATUSES)
def test_answer_is_not_passed_on(status, route, interim):
    """Guards against a status that callers get as it came.

    A call that may run again goes on at the next replica.
    """
    answers = [
        odd_statuses.make_answer(status, framing, interim)
        for framing in odd_statuses.FRAMINGS
    ]
    results = pool.Pool(_CALLS).map(lambda each: _call(route, each), answers)
    assert results == [_EXPECTED[route]] * len(answers)
