"""Tests of streams that are slower than all that a gateway has seen."""

import pytest

from papayalink.roles.gateway import stopping as stoppings
from papayalink.state import traffic
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 1.0
_ROUTES = tuple(
    stubs.make_route(name, repeat, stream=True, timeout_s=4.0, objective_s=5.0)
    for name, repeat in (
        ("stream", traffic.RepeatPolicy.ONCE),
        ("resumed", traffic.RepeatPolicy.RESUMABLE),
    )
)
_QUICK = [stubs.STREAM, stubs.event(1), stubs.END]
# Longer than what is left of the grace period, without a long gap.
_SLOW = [
    stubs.STREAM,
    *(step for number in range(1, 9) for step in (0.2, stubs.event(number))),
    stubs.END,
]


# Guards against a stream that is begun after SIGTERM, as recent ones were
# quick, and cut at the end of the stop while its replica is at work.
@pytest.mark.parametrize("route", ["stream", "resumed"])
def test_stream_that_is_begun_at_a_stop_is_whole(route):
    quick = [_QUICK] * stoppings.MIN_RUNS
    models = stubs.Upstream("models1", *quick, _SLOW)
    gateway = stopped.Gateway(_GRACE_S, [models], _ROUTES)
    path = b"/%s/" % route.encode()
    try:
        for _ in quick:
            assert gateway.call(path)[0] == 200
        stopping = gateway.begin_stop()
        status, _, body = gateway.call(path)
        stopping.get()
    finally:
        gateway.end()
    # It may be refused, but not cut.
    assert status == 503 or body is not None
