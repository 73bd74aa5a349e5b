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


class FakeProposer:
    """A proposer that applies to a ledger, or fails as configured.

    Attributes:
        failures: by command type, an error to raise once, "before" or "after"
            the command is applied.
    """

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
def proposer():
    return FakeProposer()


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def calls(proposer, clock, monkeypatch):
    monkeypatch.setattr(protected.gevent, "sleep", clock.advance)
    return protected.make_protected_calls(proposer, clock)


def _make_agent(proposer, answer=ANSWER, start=True, record=True):
    """Returns: send of an agent that starts, runs and records if told to."""

    def send(request):
        send.runs += 0
        if start:
            command = ledger.Start("w", "k1", request.claim_id, "a", 1001.0)
            if not isinstance(proposer.ledger.apply(command), ledger.Granted):
                return relay.NotRun("refused")
            send.runs += 1
        if record:
            data = msgspec.msgpack.encode(answer)
            proposer.ledger.apply(
                ledger.Finish("w", "k1", request.claim_id, 200, data, 1002.0)
            )
        return answer

    send.runs = 0
    return send


def test_answer_is_replayed(proposer, calls):
    send = _make_agent(proposer)
    assert calls.run(REQUEST, send) == ANSWER
    assert calls.run(REQUEST, send) == protected.Replayed(ANSWER)
    assert send.runs == 1


def test_other_body_under_the_key_is_refused(proposer, calls):
    calls.run(REQUEST, _make_agent(proposer))
    other = msgspec.structs.replace(REQUEST, body=b"other")
    assert calls.run(other, _make_agent(proposer)) == protected.KeyReused()


@pytest.mark.parametrize("when", ["before", "after"])
def test_claim_without_an_outcome_is_not_dispatched(proposer, calls, when):
    """Guards against "not run" for a call that is dispatched anyway."""
    proposer.failures[ledger.Claim] = (when, errors.OutcomeUnknown("lost"))
    send = _make_agent(proposer)
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
def test_not_run_is_returned_after_the_claim_is_void(proposer, calls, reply):
    """Guards against trusting an agent's reply without voiding the claim."""

    def send(request):
        if isinstance(reply, Exception):
            raise reply
        return reply

    assert isinstance(calls.run(REQUEST, send), relay.NotRun)
    assert isinstance(proposer.ledger.find("w", "k1"), ledger.Void)


def test_started_call_without_an_answer_has_an_unknown_outcome(
    proposer, calls
):
    """Guards against "not run" for a call that may have run."""
    send = _make_agent(proposer, relay.OutcomeUnknown("lost"), record=False)
    assert isinstance(calls.run(REQUEST, send), relay.OutcomeUnknown)
    second_send = _make_agent(proposer)
    assert isinstance(calls.run(REQUEST, second_send), relay.OutcomeUnknown)
    assert second_send.runs == 0


def test_failed_withdrawal_has_an_unknown_outcome(proposer, calls):
    """Guards against "not run" when the claim may not have been voided."""
    proposer.failures[ledger.Withdraw] = ("before", errors.OutcomeUnknown("x"))
    send = _make_agent(
        proposer, relay.NotRun("busy"), start=False, record=False
    )
    assert isinstance(calls.run(REQUEST, send), relay.OutcomeUnknown)


def test_claim_of_a_lost_entry_is_voided_before_a_repeat(
    proposer, calls, clock
):
    """Guards against a late dispatch under the claim of a frozen entry."""
    digest = protected.body_digest(REQUEST)
    proposer.ledger.apply(ledger.Claim("w", "k1", digest, "old", clock.wall()))
    assert calls.run(REQUEST, _make_agent(proposer)) == protected.InProgress()
    clock.advance(protected.CLAIM_GRACE_S)
    send = _make_agent(proposer)
    assert calls.run(REQUEST, send) == ANSWER
    late = ledger.Start("w", "k1", "old", "a", clock.wall())
    assert isinstance(proposer.ledger.apply(late), ledger.Standing)
    assert send.runs == 1
