"""Tests of what the end of an attempt shows of the length of its run."""

import time

import pytest

from papayalink.coordination import attempts
from papayalink.coordination import awaited
from papayalink.coordination import fleet_member
from papayalink.coordination import run_times
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import run_notes
from papayalink.state import replicas
from papayalink.state import traffic
from tests.roles.gateway import stubs

_GIVEN_S = 2.0
_MEMBER = fleet_member.make_member(
    replicas.Replica(
        replica_id="r",
        service="desk",
        address="10.0.0.1:80",
        zone="z",
        slots=1,
        condition=replicas.Condition.READY,
    )
)


class _Call:
    last_event_id = ""
    output_tokens = 0


# Guards against a call that left a silent replica, or whose replica read it
# late, and is taken for a long run that was stopped.
@pytest.mark.parametrize(
    ("outcome", "took_s", "silent_s", "is_stopped"),
    [
        (attempts.Failed(504), 2.0, 0.0, True),
        (attempts.Failed(504), 2.1, 0.0, True),
        (attempts.Failed(500), 0.3, 0.0, False),
        (attempts.Failed(504), 4.5, 0.0, False),
        (attempts.Lost("connection ended"), 2.0, 0.1, True),
        (attempts.Lost("replica was silent"), 2.0, 1.6, False),
        (attempts.Lost("replica was silent"), 1.2, 1.2, False),
        (attempts.Expired(), 2.0, 0.1, False),
    ],
)
def test_run_is_known_to_be_stopped(outcome, took_s, silent_s, is_stopped):
    times = run_times.make_run_times()
    route = stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT)
    now = time.monotonic()
    waited = awaited.make_awaited(now - took_s, 1.0)
    waited.note_spoke(now - silent_s)
    notes = run_notes.make_run_notes(times, _Call(), route)
    result = attempt.Unanswered(outcome)
    assert is_stopped is notes.note_unanswered(
        _MEMBER, result, now - took_s, int(_GIVEN_S * 1000), waited, False
    )
    longest_s = times.longest_s("safe", now)
    assert longest_s == pytest.approx(took_s if is_stopped else 0.0, abs=0.1)
