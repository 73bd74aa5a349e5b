"""Each check of the soak finds the promise that it is for broken."""

import pytest

from soak import checks
from soak import records
from soak.platform import standins

_BODY = records.body_of("c", "i1")
_EVENTS = [
    records.event_of("c", number) for number in range(1, standins.EVENTS + 1)
]


def _history(call=None, runs=(), disturbances=(), changes=(), reads=()):
    seen = records.Runs()
    if runs:
        seen.by_call["c"] = list(runs)
    return records.History(
        seen,
        [call] if call else [],
        list(disturbances),
        list(changes),
        list(reads),
    )


def _call(prefix=standins.ONCE, status=200, **fields):
    given = {
        "sent_at": 100.0,
        "ended_at": 100.1,
        "whole": status != 0,
        "stamp": "i1.c" if status == 200 else "",
        "body": _BODY if status == 200 else b"",
    } | fields
    return records.Call("c", prefix, "office", "g1", status=status, **given)


def _run(**fields):
    given = {
        "at": 100.05,
        "replica_id": "i1",
        "path": "/once/c",
        "workspace": "office",
        "key_seen": False,
        "first": 0,
        "leaving": False,
    } | fields
    return records.Run(**given)


def _change(number, with_changing, acked_at):
    return records.Change(number, with_changing, acked_at - 0.1, acked_at)


def _fault(kind, target, at=99.0, until=100.5):
    return records.Disturbance(kind, target, at, until)


_STREAM = {"prefix": standins.STREAM, "stamp": "i1.c"}


@pytest.mark.parametrize(
    "history",
    [
        _history(_call(), [_run()]),
        _history(_call(status=503)),
        _history(_call(status=502), [_run()]),
        _history(_call(status=0), [_run()]),
        _history(_call(**_STREAM, body=b"".join(_EVENTS)), [_run(), _run()]),
        # A stream that breaks off behind a whole event.
        _history(
            _call(
                **_STREAM, body=b"".join(_EVENTS[:3]), whole=False, status=0
            ),
            [_run()],
        ),
        # A stop beside a kill of the same gateway promises nothing.
        _history(
            _call(status=0),
            [_run()],
            [_fault("stop", "g1"), _fault("kill", "g1")],
        ),
        _history(
            _call(standins.CHANGING, status=404),
            changes=[_change(3, False, 90.0)],
        ),
        # A newer document may be in force already.
        _history(
            _call(standins.CHANGING, status=404),
            changes=[_change(3, True, 90.0), _change(6, False, 100.0)],
        ),
        _history(
            reads=[records.Read(100.0, "m1", 6)],
            changes=[_change(6, True, 90.0)],
        ),
    ],
)
def test_kept_promises(history):
    assert checks.check(history) == []


@pytest.mark.parametrize(
    ("reason", "history"),
    [
        ("ran 2 times", _history(_call(), [_run(), _run()])),
        ("said not to have run", _history(_call(status=503), [_run()])),
        ("another workspace", _history(_call(), [_run(workspace="counter")])),
        ("key was passed on", _history(_call(), [_run(key_seen=True)])),
        ("without a run", _history(_call())),
        ("whole answer", _history(_call(body=_BODY[:-1]), [_run()])),
        (
            "whole answer",
            _history(_call(body=records.body_of("d", "i1")), [_run()]),
        ),
        ("rejected", _history(_call(status=404))),
        ("nobody sent it", _history(runs=[_run()])),
        (
            "lacks events",
            _history(_call(**_STREAM, body=b"".join(_EVENTS[:-1])), [_run()]),
        ),
        (
            "doubled",
            _history(
                _call(
                    **_STREAM,
                    body=_EVENTS[0] + _EVENTS[0],
                    whole=False,
                    status=0,
                ),
                [_run()],
            ),
        ),
        (
            "which had left",
            _history(_call(), [_run()], [_fault("leaves", "i1", 90.0, 90.0)]),
        ),
        (
            "cut by a planned stop",
            _history(_call(status=0), [_run()], [_fault("stop", "g1")]),
        ),
        (
            "route that was removed",
            _history(
                _call(standins.CHANGING),
                [_run()],
                changes=[_change(3, True, 80.0), _change(6, False, 90.0)],
            ),
        ),
        (
            "404 on a route that was added",
            _history(
                _call(standins.CHANGING, status=404),
                changes=[_change(3, False, 80.0), _change(6, True, 90.0)],
            ),
        ),
        (
            "tells document 3",
            _history(
                reads=[records.Read(100.0, "m1", 3)],
                changes=[_change(3, True, 80.0), _change(6, True, 90.0)],
            ),
        ),
    ],
)
def test_broken_promises(reason, history):
    found = checks.check(history)
    assert len(found) == 1
    assert reason in found[0]


@pytest.mark.parametrize(("served", "found"), [(10, 0), (9, 0), (8, 1)])
def test_recovery(served, found):
    calls = [
        _call(status=200 if place < served else 503) for place in range(10)
    ]
    assert len(checks.check_recovered(calls)) == found
    assert len(checks.check_recovered([])) == 1
