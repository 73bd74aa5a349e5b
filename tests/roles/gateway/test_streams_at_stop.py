"""Tests of streams that come while a gateway has a planned stop."""

import time

import pytest

from papayalink.coordination import run_times
from papayalink.roles.gateway import stopping as stoppings
from papayalink.state import traffic
from tests.roles.gateway import stubs

_TOKENS = 170
_LEFT_S = 5.4
_ALLOWED_S = 13.0


# Guards against a stream that is begun after SIGTERM, runs slower than most of
# its route and is cut at the end of the grace period.
@pytest.mark.parametrize(
    ("repeat", "stream", "begun"),
    [
        (traffic.RepeatPolicy.ONCE, False, False),
        (traffic.RepeatPolicy.ONCE, True, False),
        (traffic.RepeatPolicy.RESUMABLE, True, False),
        (traffic.RepeatPolicy.IDEMPOTENT, False, True),
    ],
)
@pytest.mark.parametrize("slow_runs", [1, 8, 15])
def test_stream_that_only_most_runs_let_end_in_time_is_not_begun(
    repeat, stream, begun, slow_runs
):
    route = stubs.make_route("r", repeat, stream=stream)
    times = run_times.make_run_times()
    for number in range(run_times.MAX_RUNS):
        token_s = 0.040 if number < slow_runs else 0.030
        times.note(route.name, run_times.Run(0.1, token_s))
    stopping = stoppings.make_stopping(times)
    stopping.begin(time.monotonic() + _LEFT_S)
    assert stopping.may_end(route, _TOKENS, 0.0, _ALLOWED_S) is begun


@pytest.mark.parametrize(
    "repeat", [traffic.RepeatPolicy.ONCE, traffic.RepeatPolicy.RESUMABLE]
)
def test_stream_that_ends_in_time_even_if_it_is_slow_is_begun(repeat):
    """Guards against a gateway that refuses all streams while it stops."""
    route = stubs.make_route("r", repeat, stream=True)
    times = run_times.make_run_times()
    for token_s in (0.030, 0.030, 0.040):
        times.note(route.name, run_times.Run(0.1, token_s))
    stopping = stoppings.make_stopping(times)
    stopping.begin(time.monotonic() + _LEFT_S)
    assert stopping.may_end(route, 58, 0.0, _ALLOWED_S)
