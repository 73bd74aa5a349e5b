"""Tests of the figures of a run."""

from soak import figures
from soak import records
from soak.platform import standins


def _call(call_id, **fields):
    values = {
        "path_prefix": standins.LOOKUP,
        "workspace": "office",
        "gateway": "g1",
        "sent_at": 100.0,
        "began_at": 100.0,
        "written_at": 100.0,
        "ended_at": 100.1,
        "status": 200,
        "complete": True,
    } | fields
    return records.Call(call_id=call_id, **values)


def test_figures_of_a_run():
    history = records.History(records.Executions())
    history.calls = [
        _call("c1"),
        _call("c2", status=0, complete=False),
        _call("c3", path_prefix=standins.STREAM, body=b"id: 1\n\n"),
        _call("c4", path_prefix=standins.STREAM, status=503),
        _call("c5", written_at=0.0, status=0),
        _call("c6", stale=True, status=0, complete=False),
        _call("c7", status=0, complete=False),
    ]
    history.count("closed_port")
    history.executions.arrivals["c1"] = [
        records.CallArrival(100.0, "i1", 3.0),
        records.CallArrival(101.0, "i2", 3.0),
        records.CallArrival(101.0, "i3", 2.0),
    ]
    history.refusals = [records.Refusal("i1", "c1", 100.0, 1.5)]
    history.executions.by_call["c2"] = [
        records.Execution(at, "i1", "/look/c2", "office", False, 0, False)
        for at in (100.1, 100.6, 101.0)
    ]
    assert figures.measure(history) == {
        # 0.2 of seven calls, and 50.
        "repeats": "0.04",
        "too_long": "1/2",
        "exceeding": "0",
        "delays": "2/1",
        "known": "0/0",
        "cut": "3/6",
        "refused": "1/6",
        "unsent": "1/7",
        "closed": "1,1",
        "crossed": "1",
        # It ran at a replica.
        "lost": "1",
        "sound": "0/0",
        "taken_up": "0/0",
        "new": "1/2",
    }
