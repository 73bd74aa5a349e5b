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
        # Its time is over.
        _call(
            "c8",
            path_prefix=standins.STREAM,
            complete=False,
            ended_at=103.0,
        ),
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
    history.rejections = [
        records.Rejection(call_id, "g1", reason, 3.0)
        for call_id, reason in (
            ("c3", "no_document"),
            ("c4", "no usable replica"),
            ("c5", "no_document"),
        )
    ]
    history.refusals = [records.Refusal("i1", "c1", 100.0, 1.5)]
    history.executions.by_call["c2"] = [
        records.Execution(at, "i1", "/look/c2", "office", False, 0, False)
        for at in (100.1, 100.6, 101.0)
    ]
    assert figures.measure(history) == {
        # 0.2 of eight calls, and 50.
        "repeats": "0.04",
        "too_long": "1/2",
        "exceeding": "0",
        "delays": "2/1",
        "known": "0/0",
        "cut": "3/7",
        "refused": "1/7",
        "unsent": "1/8",
        "closed": "1,1",
        "crossed": "1",
        # It ran at a replica.
        "lost": "1",
        "in_answer": "1",
        "excused": "0",
        "reasons": "no_document:2,no_usable_replica:1",
        "sound": "0/0",
        "taken_up": "0/0",
        "new": "1/3",
        "uneven": "0/0,0/0,0/0",
        "stopped": "0,0,0.00",
    }
