"""Tests of replicas that refuse connections and still run their calls."""

import gevent
import pytest

from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=6.0),
    stubs.make_route(
        "single",
        traffic.RepeatPolicy.IDEMPOTENT,
        timeout_s=6.0,
        max_attempts=1,
    ),
    stubs.make_route(
        "stream", traffic.RepeatPolicy.ONCE, timeout_s=6.0, stream=True
    ),
)
_RUN_S = 1.5
_EVENT = b"id: 1\ndata: p1\n\n"


def _start(route):
    """Returns: a gateway, and a call that its only replica runs."""
    streams = route == "stream"
    answer = [_RUN_S, stubs.OK]
    if streams:
        answer = [stubs.STREAM, stubs.event(1), _RUN_S, stubs.END]
    upstream = standing_still.Upstream("models0" if streams else "desk0")
    upstream.script = [answer]
    gateway = stubs.Gateway([upstream], _ROUTES)
    headers = (b"Papayalink-Model: m",) if streams else ()
    path = b"/%s/" % route.encode()
    calling = gevent.spawn(gateway.call, path, headers, timeout_s=10)
    with gevent.Timeout(10):
        while not upstream.received:
            gevent.sleep(0.01)
    gevent.sleep(0.1)
    return gateway, calling


# Guards against answers that are given up although only the port of their
# replica is closed: it is about to end, and finishes its calls first.
@pytest.mark.parametrize("route", [route.name for route in _ROUTES])
def test_calls_outlast_the_port_of_their_replica(route):
    gateway, calling = _start(route)
    try:
        gateway.upstreams[0].server.close()
        status, _, body = calling.get(timeout=10)
    finally:
        gateway.stop()
    assert (status, body) == (200, _EVENT if route == "stream" else b"ok")


# Guards against calls that wait until their deadline for a machine that was
# down for a while and now runs nothing: no connection of it was closed.
@pytest.mark.parametrize("route", [route.name for route in _ROUTES])
def test_calls_end_with_a_machine_that_has_started_again(route):
    gateway, calling = _start(route)
    upstream = gateway.upstreams[0]
    try:
        upstream.stand_still()
        member = gateway.fleet.find(upstream.name)
        with gevent.Timeout(10):
            while member.reachable:
                gevent.sleep(0.01)
        upstream.server.close()
        with gevent.Timeout(3):
            status, _, body = calling.get()
    finally:
        gateway.stop()
    expected = (200, None) if route == "stream" else (502, b"")
    assert (status, body) == expected
