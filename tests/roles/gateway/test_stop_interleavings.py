"""Tests of a planned stop beside many calls, in many interleavings."""

import random
import re

import gevent
import pytest

from papayalink.state import traffic
from tests import permuted_hub
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_SEEDS = range(4)
_GRACE_S = 1.0
_CALLERS = 60
# Calls before the stop, which tell that later ones may end in time.
_PAST = 3
# Longest run at a replica, and longest time after SIGTERM of a call.
_RUN_S = 1.2
_LATE_S = 0.9
_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, objective_s=5.0),
    stubs.make_route(
        "repeat", traffic.RepeatPolicy.IDEMPOTENT, objective_s=5.0
    ),
)


def _play(rng):
    """Returns: status by call, None without an answer, and the calls run."""
    runs = [[rng.random() ** 4 * _RUN_S, stubs.OK] for _ in range(_CALLERS)]
    upstream = stubs.Upstream("desk1", *[[stubs.OK]] * 2 * _PAST, *runs)
    gateway = stopped.Gateway(_GRACE_S, [upstream], _ROUTES)
    statuses = {}

    def call(call_id, route, delay_s):
        gevent.sleep(delay_s)
        header = b"Papayalink-Request-Id: " + call_id.encode()
        try:
            answer = gateway.call(b"/%s/" % route.encode(), [header])
        except OSError:
            # The port is closed, so that nothing of the call was read.
            return
        statuses[call_id] = answer[0] if answer[2] is not None else None

    try:
        for number in range(_PAST):
            for route in ("once", "repeat"):
                call(f"past-{route}-{number}", route, 0.0)
        stopping = gateway.begin_stop()
        callers = [
            gevent.spawn(
                call,
                f"c{number}",
                rng.choice(("once", "repeat")),
                rng.random() * _LATE_S,
            )
            for number in range(_CALLERS)
        ]
        stopping.get()
    finally:
        gateway.end()
    gevent.joinall(callers, raise_error=True)
    received = b"".join(upstream.received).decode().lower()
    return statuses, set(re.findall(r"request-id: (\S+)", received))


@pytest.mark.parametrize("seed", _SEEDS)
def test_calls_that_are_passed_on_are_answered_and_others_refused(seed):
    """Guards against cut calls, and against a refusal of one that has run."""
    rng = random.Random(seed)
    statuses, passed_on = permuted_hub.run(seed, lambda: _play(rng))
    late = {each: statuses[each] for each in statuses if each[0] == "c"}
    answers = {late.get(each) for each in passed_on if each[0] == "c"}
    assert answers
    assert answers <= {200, 504}
    refused = {each for each, status in late.items() if status == 503}
    assert not refused & passed_on
