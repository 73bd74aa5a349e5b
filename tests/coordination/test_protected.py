"""Tests of protected calls at the entry."""

import msgspec
import pytest

from papayalink import clock as clocks
from papayalink.coordination import errors
from papayalink.coordination import protected
from papayalink.protocol import relay
from papayalink.state import ledger

REQUEST = relay.CallRequest(
    "r1", "w", "orders", "POST", "/charges", "", b"body", key="k1"
)
ANSWER = relay.Answered(200, "text/plain", b"charged")


class Book:
    """A proposer over a ledger; fails where a test wants it to."""

    def __init__(self):
        self.ledger = ledger.make_ledger()
        self.failures = {}

    def propose(self, command, timeout_s=0.0):
        failure = self.failures.pop(type(command), None)
        if failure is not None:
            when, error = failure
            if when == "after":
                self.ledger.apply(command)
            raise error
        return self.ledger.apply(command)


@pytest.fixture
def book():
    return Book()


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def calls(book, clock, monkeypatch):
    monkeypatch.setattr(protected.gevent, "sleep", clock.advance)
    return protected.make_protected_calls(book, clock)


def _agent(book, answer=ANSWER, start=True, record=True):
    """An agent that starts, runs and records as asked."""

    def send(request):
        send.runs += 0
        if start:
            command = ledger.Start("w", "k1", request.claim_id, "a", 1001.0)
            if not isinstance(book.ledger.apply(command), ledger.Granted):
                return relay.NotRun("refused")
            send.runs += 1
        if record:
            data = msgspec.msgpack.encode(answer)
            book.ledger.apply(
                ledger.Finish("w", "k1", request.claim_id, 200, data, 1002.0)
            )
        return answer

    send.runs = 0
    return send


def test_answer_is_replayed(book, calls):
    send = _agent(book)
    assert calls.run(REQUEST, send) == ANSWER
    assert calls.run(REQUEST, send) == protected.Replayed(ANSWER)
    assert send.runs == 1


def test_other_body_under_the_key_is_refused(book, calls):
    calls.run(REQUEST, _agent(book))
    other = msgspec.structs.replace(REQUEST, body=b"other")
    assert calls.run(other, _agent(book)) == protected.KeyReused()


@pytest.mark.parametrize("when", ["before", "after"])
def test_claim_without_an_outcome_is_not_dispatched(book, calls, when):
    """Guards against "not run" for a call that was sent all the same."""
    book.failures[ledger.Claim] = (when, errors.OutcomeUnknown("lost"))
    send = _agent(book)
    assert isinstance(calls.run(REQUEST, send), relay.NotRun)
    assert send.runs == 0


@pytest.mark.parametrize(
    "reply",
    [
        relay.NotRun("draining"),
        relay.OutcomeUnknown("connection lost"),
        errors.NoUpstream("none"),
    ],
)
def test_not_run_is_said_after_the_claim_is_void(book, calls, reply):
    """Guards against "not run" on the word of an agent alone."""

    def send(request):
        if isinstance(reply, Exception):
            raise reply
        return reply

    assert isinstance(calls.run(REQUEST, send), relay.NotRun)
    assert isinstance(book.ledger.find("w", "k1"), ledger.Void)


def test_started_call_without_an_answer_is_unknown(book, calls):
    """Guards against "not run" for a call that may have run."""
    send = _agent(book, relay.OutcomeUnknown("lost"), record=False)
    assert isinstance(calls.run(REQUEST, send), relay.OutcomeUnknown)
    again = _agent(book)
    assert isinstance(calls.run(REQUEST, again), relay.OutcomeUnknown)
    assert again.runs == 0


def test_withdrawal_without_an_outcome_is_unknown(book, calls):
    """Guards against "not run" while the claim may still be started."""
    book.failures[ledger.Withdraw] = ("before", errors.OutcomeUnknown("x"))
    send = _agent(book, relay.NotRun("busy"), start=False, record=False)
    assert isinstance(calls.run(REQUEST, send), relay.OutcomeUnknown)


def test_claim_of_a_lost_entry_is_voided_before_a_repeat(book, calls, clock):
    """Guards against a late dispatch under the claim of a frozen entry."""
    digest = protected.body_digest(REQUEST)
    book.ledger.apply(ledger.Claim("w", "k1", digest, "old", clock.wall()))
    assert calls.run(REQUEST, _agent(book)) == protected.InProgress()
    clock.advance(protected.CLAIM_GRACE_S)
    send = _agent(book)
    assert calls.run(REQUEST, send) == ANSWER
    late = ledger.Start("w", "k1", "old", "a", clock.wall())
    assert isinstance(book.ledger.apply(late), ledger.Standing)
    assert send.runs == 1
