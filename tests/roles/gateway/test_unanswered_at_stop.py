"""Tests of calls that are unanswered when the grace period ends."""

import gevent
import pytest

from papayalink.state import traffic
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 1.0
# A replica that is silent until its caller hangs up.
_SILENCE_S = 60.0


def _make_route(name, repeat, **fields):
    return stubs.make_route(
        name, repeat, timeout_s=30.0, objective_s=10.0, **fields
    )


_ROUTES = (
    _make_route("once", traffic.RepeatPolicy.ONCE),
    _make_route("repeat", traffic.RepeatPolicy.IDEMPOTENT),
    _make_route("stream", traffic.RepeatPolicy.ONCE, stream=True),
    _make_route("resumed", traffic.RepeatPolicy.RESUMABLE, stream=True),
)


def _stop_beside_call(
    upstream, route, headers=(), routes=_ROUTES, started_s=0.0
):
    """Returns: what the caller of a route got before the process ended.

    Args:
        started_s: how long before the call the gateway has started.
    """
    gateway = stopped.Gateway(_GRACE_S, [upstream], routes)
    gateway.process._watcher._started_at -= started_s
    try:
        caller = gevent.spawn(
            gateway.call, b"/%s/" % route.encode(), headers, partial=True
        )
        while not gateway.server.in_flight:
            gevent.sleep(0.001)
        while routes and not upstream.received:
            gevent.sleep(0.001)
        # What the replica has sent is passed on.
        gevent.sleep(0.1)
        gateway.begin_stop().get()
    finally:
        gateway.end()
    return caller.get()


@pytest.mark.parametrize("route", [route.name for route in _ROUTES])
def test_call_that_a_replica_runs_is_answered_before_the_end(route):
    """Guards against a call that is cut without an answer."""
    service = "models1" if route in ("stream", "resumed") else "desk1"
    upstream = stubs.Upstream(service, [_SILENCE_S])
    status, _, body = _stop_beside_call(upstream, route)
    # It may have run, so that no status may promise that it has not.
    assert status == 504
    assert body == (b"", True)
    assert len(upstream.received) == 1


@pytest.mark.parametrize("route", ["stream", "resumed"])
def test_begun_stream_that_outlasts_the_stop_does_not_look_complete(route):
    """Guards against a stream that is cut short and looks whole."""
    upstream = stubs.Upstream(
        "models1", [stubs.STREAM, stubs.event(1), _SILENCE_S]
    )
    status, _, body = _stop_beside_call(upstream, route)
    assert status == 200
    assert body == (b"id: 1\ndata: p1\n\n", False)


# The call waits for longer than the stop takes, or until half of it.
@pytest.mark.parametrize("started_s", [-5.0, 0.5])
def test_call_that_waits_for_a_document_is_refused_before_the_end(started_s):
    """Guards against a call that is cut while no replica has it."""
    upstream = stubs.Upstream("desk1")
    status, headers, body = _stop_beside_call(
        upstream,
        "once",
        [b"Papayalink-Deadline-Ms: 27000"],
        routes=(),
        started_s=started_s,
    )
    assert status == 503
    assert headers[b"retry-after"] == b"0.00"
    assert body == (b"", True)
    assert not upstream.received
