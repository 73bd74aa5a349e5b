"""Tests of what is told of the answers to operators."""

import random
import time
from types import SimpleNamespace

import gevent

from soak import operators
from soak import records


def _make_call(member, status, took_s):
    return records.OperatorCall(
        member=member,
        method="PUT",
        sent_at=5.0,
        timeout_s=3.0,
        status=status,
        ended_at=5.0 + took_s,
    )


def test_answers_are_told_by_member_and_status():
    """Guards against a failed run that leaves no trace of its reason."""
    calls = [
        _make_call("authority-2", 503, 0.6),
        _make_call("authority-1", 0, 3.0),
        _make_call("authority-2", 503, 0.84),
    ]
    assert operators.tell_answers(calls) == (
        "authority-1 0 x1 within 3.0 s, authority-2 503 x2 within 0.8 s"
    )
    assert operators.tell_answers([]) == ""


def _put(monkeypatch, listening, held_up=None):
    """Returns: how often a document was sent that no member accepted."""
    sent = []

    def refuse(operator, member, method, content):
        sent.append(member)
        return _make_call(member, 503, 0.0)

    monkeypatch.setattr(operators.Operator, "_call", refuse)
    history = records.History(records.Executions())
    operator = operators.Operator(history, random.Random(1))
    timeout_s = 2.5 * operators.RETRY_INTERVAL_S
    members = [SimpleNamespace(name="authority-1")]
    assert not operator.put(
        members, timeout_s, listening=listening, held_up=held_up
    )
    return len(sent)


def test_time_of_a_document_counts_from_when_members_listen(monkeypatch):
    """Guards against members that are called late while they start."""
    began_at = time.monotonic()
    assert _put(monkeypatch, gevent.spawn(gevent.sleep, 1.0)) > 0
    assert time.monotonic() - began_at > 1.0 + operators.RETRY_INTERVAL_S
    # Once they listen, it is no longer than without that.
    listening = gevent.spawn(lambda: None)
    listening.join()
    assert _put(monkeypatch, listening) <= 3
    assert _put(monkeypatch, None) <= 3


def test_time_of_a_document_counts_from_the_end_of_hold_ups(monkeypatch):
    """Guards against findings while members get no processor."""
    monkeypatch.setattr(operators, "AFTER_HOLD_UP_S", 0.4)
    began_at = time.monotonic()

    def held_until(end):
        return SimpleNamespace(
            last_ended_at=lambda names: min(time.monotonic(), end),
            sample=lambda: None,
        )

    _put(monkeypatch, None, held_until(began_at + 1.0))
    assert time.monotonic() - began_at > 1.0 + 0.4
    # Hold-ups before that change nothing.
    assert _put(monkeypatch, None, held_until(began_at)) <= 3
    # Those without an end count for a while.
    monkeypatch.setattr(operators, "MAX_HELD_UP_S", 1.0)
    began_at = time.monotonic()
    _put(monkeypatch, None, held_until(float("inf")))
    assert time.monotonic() - began_at > 1.0
