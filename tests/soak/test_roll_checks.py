"""Checks of the scenario of rolls find what callers were refused or lost."""

import pytest

from soak import checks
from soak import records
from soak import roll_checks
from soak.platform import standins

_SIGTERM_AT = 100.0


def _call(call_id, gateway, status=200, **fields):
    values = {
        "path_prefix": standins.LOOKUP,
        "workspace": "office",
        "sent_at": 99.9,
        "written_at": 99.9,
        "ended_at": 100.0,
        "complete": True,
    } | fields
    return records.Call(
        call_id=call_id, gateway=gateway, status=status, **values
    )


def _refused(
    reason="no_document", since_start_s=1.6, gateway="g2", ended_at=100.4
):
    """A call is refused, beside another one that a gateway serves."""
    history = records.History(records.Executions())
    history.calls = [
        _call("refused", "g1", 503),
        _call("served", gateway, ended_at=ended_at),
    ]
    history.rejections = [
        records.Rejection("refused", "g1", reason, since_start_s)
    ]
    return history


def _cut(path_prefix=standins.LONG, sent_s=2.5, ended_s=7.5, finished_s=None):
    """A stream is cut; times are seconds after SIGTERM."""
    history = records.History(records.Executions())
    history.calls = [
        _call(
            "c",
            "g1",
            path_prefix=path_prefix,
            sent_at=_SIGTERM_AT + sent_s,
            written_at=_SIGTERM_AT + sent_s,
            ended_at=_SIGTERM_AT + ended_s,
            deadline_s=8.0,
            complete=False,
        )
    ]
    history.disturbances = [
        records.Disturbance("stop", "g1", _SIGTERM_AT, _SIGTERM_AT + 9.0)
    ]
    history.executions.by_call["c"] = [
        records.Execution(
            _SIGTERM_AT + sent_s, "i1", "/long/c", "office", False, 0, False
        )
    ]
    if finished_s is not None:
        history.executions.finished["c"] = _SIGTERM_AT + finished_s
    return history


@pytest.mark.parametrize(
    "history",
    [
        _refused(reason="no usable replica"),
        # A call may wait for the document for that long.
        _refused(since_start_s=1.4),
        # Nobody has a document, as far as callers see.
        _refused(gateway="g1"),
        _refused(ended_at=100.6),
    ],
)
def test_refusals_that_may_be(history):
    assert roll_checks.check(history) == []


@pytest.mark.parametrize("ended_at", [99.6, 100.4])
def test_refusal_without_a_document_while_others_have_one(ended_at):
    assert roll_checks.check(_refused(ended_at=ended_at)) == [
        "g1 refused 1 calls without a document, up to 1.6 s after its start,"
        " while others had one"
    ]


@pytest.mark.parametrize(
    ("found", "history"),
    [
        # Its replica still wrote when the time of the stop was over.
        (False, _cut()),
        (False, _cut(finished_s=7.4)),
        (False, _cut(standins.SINGLE)),
        (True, _cut(standins.SHORT)),
        (True, _cut(sent_s=3.1)),
        (True, _cut(ended_s=6.5)),
        # Its replica had written all of it.
        (True, _cut(finished_s=6.5)),
    ],
)
def test_long_streams_that_the_end_of_a_stop_cuts(found, history):
    findings = [
        finding for finding in checks.check(history) if "cut by" in finding
    ]
    assert bool(findings) is found
