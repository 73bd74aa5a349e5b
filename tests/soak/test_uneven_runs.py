"""Calls of unequal length: their replicas, and what is counted of them."""

import gevent
import pytest

from soak import checks
from soak import proxy
from soak import records
from soak import uneven_runs
from soak.platform import standins

_SHARE = 0.5


def _pick(is_long):
    """Returns: id of a call that runs for long, or for a short time."""
    return next(
        f"c{number}"
        for number in range(100)
        if standins.is_long(f"c{number}", _SHARE) is is_long
    )


@pytest.fixture
def replica():
    history = records.History(records.Executions(), long_share=_SHARE)
    platform = standins.Platform("127.0.0.1", history, proxy.make_proxy)
    yield platform.add_replica("i-1", "z", "127.0.0.1")
    platform.stop()


def _call(replica, path_prefix, call_id, given_s):
    """Returns: status and events or body, None if the answer breaks off."""
    environ = {
        "PATH_INFO": f"{path_prefix}{call_id}",
        "HTTP_PAPAYALINK_REQUEST_ID": call_id,
        "HTTP_PAPAYALINK_EXPECT_INSTANCE": "i-1",
        "HTTP_PAPAYALINK_DEADLINE_MS": str(int(given_s * 1000)),
        "wsgi.input": _NoBody(),
    }
    statuses = []
    answer = replica.answer(
        environ, lambda status, headers: statuses.append(status)
    )
    try:
        return statuses[0], len(list(answer))
    except BrokenPipeError:
        return statuses[0], None


class _NoBody:
    def read(self):
        return b""


# Guards against a stand-in that goes on beyond the time that it is given, so
# that no limit shows, and against one that stops what would have ended.
@pytest.mark.parametrize(
    ("path_prefix", "is_long", "given_s", "answer", "stopped"),
    [
        (standins.UNEVEN, False, 6.0, ("200 OK", 1), 0),
        (standins.UNEVEN, False, 0.1, ("504 Too Late", 1), 1),
        (standins.UNEVEN, True, 6.0, ("200 OK", 1), 0),
        (standins.UNEVEN, True, 0.4, ("504 Too Late", 1), 1),
        (standins.UNEVEN_STREAM, False, 6.0, ("200 OK", 3), 0),
        (standins.UNEVEN_STREAM, True, 6.0, ("200 OK", 26), 0),
        (standins.UNEVEN_STREAM, True, 0.4, ("200 OK", None), 1),
    ],
)
def test_replica_stops_runs_at_the_time_it_is_given(
    replica, path_prefix, is_long, given_s, answer, stopped
):
    call_id = _pick(is_long)
    with gevent.Timeout(30):
        assert _call(replica, path_prefix, call_id, given_s) == answer
    assert len(replica.executions.stopped.get(call_id, ())) == stopped


def _make_call(number, path_prefix, is_long, status=200, complete=True):
    call_id = next(
        f"{number}-{each}"
        for each in range(100)
        if standins.is_long(f"{number}-{each}", _SHARE) is is_long
    )
    return records.Call(
        call_id=call_id,
        path_prefix=path_prefix,
        workspace="office",
        gateway="g1",
        sent_at=10.0,
        written_at=10.0,
        ended_at=12.0 + number,
        status=status,
        complete=complete,
        deadline_s=6.0,
    )


def test_calls_without_a_whole_answer_are_found():
    history = records.History(records.Executions(), long_share=_SHARE)
    history.calls = [
        _make_call(0, standins.UNEVEN, True),
        _make_call(1, standins.UNEVEN, True, status=504),
        _make_call(2, standins.UNEVEN_STREAM, True, complete=False),
        _make_call(3, standins.UNEVEN, False),
        _make_call(4, standins.UNEVEN_STREAM, False, status=503),
        _make_call(5, standins.LOOKUP, False, status=504),
    ]
    stopped = history.calls[1].call_id
    history.executions.stopped[stopped] = [11.0]
    history.executions.arrivals[stopped] = [
        records.CallArrival(10.0, "i1", 1.5),
        records.CallArrival(11.0, "i2", 1.0),
    ]
    assert uneven_runs.measure(history) == uneven_runs.Uneven(
        long_calls=(1, 2),
        long_streams=(1, 1),
        short=(1, 2),
        repeats=1,
        stopped=1,
        median_s=2.0,
    )
    found = uneven_runs.check(history)
    assert [each.split(" ")[0] for each in found] == [
        history.calls[number].call_id for number in (1, 2, 4)
    ]


# Guards against a check that looks away for longer than a pause lasts that is
# as long as callers wait, or beside a shorter one.
@pytest.mark.parametrize(
    ("kind", "began_at", "ended_at", "found"),
    [
        (uneven_runs.PAUSE_KIND, 9.0, 15.0, 0),
        (uneven_runs.PAUSE_KIND, 12.5, 18.5, 0),
        (uneven_runs.PAUSE_KIND, 13.5, 19.5, 1),
        (uneven_runs.PAUSE_KIND, 3.0, 9.0, 1),
        (checks.SILENT_KIND, 9.0, 15.0, 1),
    ],
)
def test_calls_beside_long_pauses_are_left_out(
    kind, began_at, ended_at, found
):
    history = records.History(records.Executions(), long_share=_SHARE)
    history.calls = [_make_call(1, standins.UNEVEN, True, status=504)]
    history.disturbances.append(
        records.Disturbance(kind, "i-1", began_at, ended_at)
    )
    assert len(uneven_runs.check(history)) == found
