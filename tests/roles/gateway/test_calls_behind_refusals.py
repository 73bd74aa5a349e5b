"""Tests of calls that have left a silent replica and were turned away."""

import gevent
import pytest

from papayalink.state import traffic
from tests.roles.gateway import stubs

# Far longer than a call stays at a silent replica.
_SILENCE_S = 30.0


def _make_routes(max_attempts):
    return (
        stubs.make_route(
            "safe",
            traffic.RepeatPolicy.IDEMPOTENT,
            timeout_s=8.0,
            max_attempts=max_attempts,
        ),
    )


@pytest.fixture
def start():
    """Function that starts a gateway before upstreams."""
    started = []

    def make(upstreams, max_attempts):
        gateway = stubs.Gateway(upstreams, _make_routes(max_attempts))
        started.append(gateway)
        for other in upstreams[1:]:
            gateway.fleet.find(other.name).set_reachable(False)
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _spawn_call(gateway):
    """Call; it begins at the first upstream."""
    calling = gevent.spawn(gateway.call, b"/safe/", timeout_s=10)
    with gevent.Timeout(10):
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
    return calling


# Guards against calls that stay at a second silent replica until their time
# has passed, since a refusal counts as the attempt that they have left.
def test_refusals_leave_a_call_its_attempts(start):
    upstreams = [
        stubs.Upstream("desk1", [_SILENCE_S]),
        stubs.Upstream("desk2", *[[stubs.BUSY]] * 9),
        stubs.Upstream("desk3", [_SILENCE_S]),
        stubs.Upstream("desk4"),
    ]
    gateway = start(upstreams, 3)
    calling = _spawn_call(gateway)

    def reach(index, others=()):
        with gevent.Timeout(10):
            while not all(each.received for each in others):
                gevent.sleep(0.005)
        gateway.fleet.find(upstreams[index].name).set_reachable(True)

    reach(1)
    reach(2, upstreams[1:2])
    reach(3, upstreams[2:3])
    status, _, body = calling.get(timeout=15)
    assert [bool(each.received) for each in upstreams] == [True] * 4
    assert (status, body) == (200, b"ok")
