"""Tests of calls that a silence may carry past the end of a planned stop."""

import time

import gevent
import pytest

from papayalink.coordination import run_times
from papayalink.roles.gateway import stopping as stoppings
from papayalink.state import traffic
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_ALLOWED_S = 13.0
_ONCE = (traffic.RepeatPolicy.ONCE, False)
_STREAM = (traffic.RepeatPolicy.ONCE, True)
_RESUMABLE = (traffic.RepeatPolicy.RESUMABLE, True)
_REPEATABLE = (traffic.RepeatPolicy.IDEMPOTENT, False)
_KINDS = [_ONCE, _STREAM, _RESUMABLE, _REPEATABLE]
_GRACE_S = 4.0
# A silence of a sound replica.
_SILENCE_S = 1.0
_EVENTS = 20
_EVENT_S = 0.09
# Time after SIGTERM at which the stream without a silence ends just in time.
_LATE_S = 1.0


def _begin(kind, run_s, runs, stop_s):
    """Returns: whether a stop begins a call after such runs of its route."""
    repeat, stream = kind
    route = stubs.make_route("r", repeat, stream=stream)
    times = run_times.make_run_times()
    for _ in range(runs):
        times.note(route.name, run_times.Run(run_s))
    stopping = stoppings.make_stopping(times)
    stopping.begin(time.monotonic() + stop_s)
    return stopping.may_end(route, 0, 0.0, _ALLOWED_S)


# Guards against a call whose replica falls silent for a second or so, and that
# is cut at the end of the grace period.
@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize(
    ("run_s", "stop_s", "begun"),
    [
        (7.0, 7.5, False),
        (6.0, 7.5, False),
        (5.4, 7.5, True),
        (0.2, 7.5, True),
        # Short calls are served in a short stop.
        (0.8, 0.875, False),
        (0.5, 0.875, True),
    ],
)
def test_call_with_no_time_for_a_silence_is_not_begun(
    kind, run_s, stop_s, begun
):
    expected = begun or kind == _REPEATABLE
    assert _begin(kind, run_s, stoppings.MIN_RUNS, stop_s) is expected


# Guards against a process that has just started and knows one or two short
# runs, which begins a long one at its stop.
@pytest.mark.parametrize("kind", _KINDS)
@pytest.mark.parametrize("runs", [0, 1, 2])
def test_call_of_a_route_with_few_runs_is_not_begun(kind, runs):
    expected = kind == _REPEATABLE and runs > 0
    assert _begin(kind, 0.2, runs, 7.5) is expected


class _Upstream(stubs.Upstream):
    """Streams events, and is silent within the last stream."""

    def __init__(self):
        super().__init__("models1")
        self.silent_s = 0.0

    def next_steps(self, request):
        events = []
        for number in range(1, _EVENTS + 1):
            events += [_EVENT_S, stubs.event(number)]
        silence = [self.silent_s] if self.silent_s else []
        return [stubs.STREAM, *silence, *events, stubs.END]


@pytest.mark.parametrize("kind", [_STREAM, _RESUMABLE])
@pytest.mark.parametrize("past", [1, 8])
def test_stream_of_a_silent_replica_is_whole_or_refused(kind, past):
    """Guards against a stream that is cut at the end of a stop."""
    repeat, stream = kind
    route = stubs.make_route("r", repeat, stream=stream, timeout_s=9.0)
    upstream = _Upstream()
    gateway = stopped.Gateway(_GRACE_S, [upstream], [route])
    try:
        calls = [gevent.spawn(gateway.call, b"/r/") for _ in range(past)]
        gevent.joinall(calls, raise_error=True)
        assert {each.value[0] for each in calls} == {200}
        upstream.received.clear()
        upstream.silent_s = _SILENCE_S
        stopping = gateway.begin_stop()
        gevent.sleep(_LATE_S)
        status, headers, _ = gateway.call(b"/r/", timeout_s=9)
        stopping.get()
    finally:
        gateway.end()
    assert status == 503
    assert headers[b"retry-after"] == b"0.00"
    assert not upstream.received
