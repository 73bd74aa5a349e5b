"""Tests of how long a replica has been silent while calls wait for it."""

import pytest

from papayalink.coordination import fleet_member
from papayalink.state import replicas


def _make_member():
    return fleet_member.make_member(
        replicas.Replica(
            replica_id="r",
            service="desk",
            address="10.0.0.1:80",
            zone="z",
            slots=1,
            condition=replicas.Condition.READY,
        )
    )


# Guards against a replica that is taken to speak, or to be silent, by what
# doesn't show it.
@pytest.mark.parametrize(
    ("steps", "silent_s"),
    [
        pytest.param([], 0.0, id="nothing sent"),
        pytest.param([("sent", 2)], 8.0, id="waiting"),
        pytest.param([("sent", 2), ("sent", 5)], 8.0, id="two waiting"),
        pytest.param([("sent", 2), ("spoke", 3)], 7.0, id="answer has begun"),
        pytest.param(
            [("sent", 2), ("spoke", 3), ("ended", 3)], 0.0, id="answered"
        ),
        pytest.param(
            [("sent", 2), ("sent", 3), ("spoke", 4), ("ended", 4)],
            6.0,
            id="one of two answered",
        ),
        pytest.param([("sent", 2), ("ended", 4)], 0.0, id="broken off"),
        pytest.param(
            [("sent", 2), ("left", 4), ("ended", 4)], 8.0, id="given up"
        ),
        pytest.param(
            [("sent", 2), ("overdue", 4), ("ended", 5)], 8.0, id="overdue"
        ),
        pytest.param(
            [("sent", 2), ("left", 4), ("ended", 4), ("sent", 6)],
            8.0,
            id="given up, another waiting",
        ),
        pytest.param(
            [
                ("sent", 2),
                ("left", 4),
                ("ended", 4),
                ("sent", 6),
                ("spoke", 7),
                ("ended", 7),
                ("sent", 9),
            ],
            1.0,
            id="spoke again",
        ),
    ],
)
def test_time_of_silence(steps, silent_s):
    member = _make_member()
    _play(member, steps)
    assert member.silent_s(10) == silent_s


# Guards against a replica that is avoided for a call that takes long, and
# against one that isn't since only such calls have waited for long.
@pytest.mark.parametrize(
    ("steps", "min_s", "silent"),
    [
        pytest.param([], 0, False, id="nothing sent"),
        pytest.param([("sent", 2, 9)], 0, False, id="slow call"),
        pytest.param([("sent", 2, 7)], 0, True, id="late call"),
        pytest.param([("sent", 2, 7)], 8.5, False, id="late for too short"),
        pytest.param(
            [("sent", 2, 9), ("sent", 9.5, 1)], 0, False, id="fast call"
        ),
        pytest.param(
            [("sent", 2, 9), ("sent", 8, 1)], 0, True, id="late fast call"
        ),
        pytest.param(
            [("sent", 2, 9), ("sent", 8, 1), ("spoke", 9.5)],
            0,
            False,
            id="spoke to one of them",
        ),
        pytest.param(
            [("sent", 2, 1), ("left", 4), ("ended", 4)], 0, True, id="left"
        ),
        pytest.param(
            [("sent", 2, 1), ("left", 4), ("ended", 4), ("spoke", 6)],
            0,
            False,
            id="spoke after it was left",
        ),
        pytest.param([("sent", 2, 1), ("ended", 4)], 0, False, id="broken"),
    ],
)
def test_replica_is_silent(steps, min_s, silent):
    member = _make_member()
    _play(member, steps)
    assert member.is_silent(10, min_s) is silent


def _play(member, steps):
    awaited = []
    for step, at, *limits in steps:
        match step:
            case "sent":
                awaited.append(member.note_sent(at, *limits or [1.0]))
            case "spoke":
                member.note_spoke(at)
            case "ended":
                member.note_ended(awaited.pop(0))
            case "left":
                member.note_left(at)
            case "overdue":
                member.note_overdue(at, 1.0)
