"""Tests of protected calls at the agent."""

import msgspec
import pytest

from papayalink import clock as clocks
from papayalink.adapters import service as services
from papayalink.coordination import errors
from papayalink.protocol import relay
from papayalink.roles.agent import calls as agent_calls
from papayalink.state import ledger

REQUEST = relay.CallRequest(
    "r1", "w", "orders", "POST", "/charges", "", b"b", "claim-1", "k1"
)


class Upstream:
    """A service replica that counts its calls."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.calls = 0
        self.up = True

    def reachable(self):
        return self.up

    def call(self, method, target, headers, body):
        self.calls += 1
        return self.outcome


class LedgerProposer:
    """A proposer of ledger commands that may lose the reply to a start."""

    def __init__(self, lost_starts=0):
        self.ledger = ledger.make_ledger()
        self.ledger.apply(ledger.Claim("w", "k1", "d", "claim-1", 1.0))
        self.lost_starts = lost_starts

    def propose(self, command, timeout_s=0.0):
        outcome = self.ledger.apply(command)
        if isinstance(command, ledger.Start) and self.lost_starts:
            # The proposer repeats a command whose reply was lost.
            self.lost_starts -= 1
            outcome = self.ledger.apply(command)
        return outcome


ANSWERED = services.Answered(200, [("Content-Type", "text/plain")], b"ok")


def _run(proposer, upstream, refusal="", request=REQUEST):
    agent = agent_calls.make_calls(
        "agent-1", upstream, proposer, lambda: refusal, clocks.ManualClock(5.0)
    )
    return agent.run(request)


@pytest.mark.parametrize("lost_starts", [0, 1])
def test_claimed_call_is_dispatched_and_recorded(lost_starts):
    proposer, upstream = LedgerProposer(lost_starts), Upstream(ANSWERED)
    assert _run(proposer, upstream) == relay.Answered(200, "text/plain", b"ok")
    assert upstream.calls == 1
    assert isinstance(proposer.ledger.find("w", "k1"), ledger.Finished)


@pytest.mark.parametrize(
    "commands",
    [
        [ledger.Start("w", "k1", "claim-1", "agent-1/other", 2.0)],
        [ledger.Withdraw("w", "k1", "claim-1", 2.0)],
        [
            ledger.Withdraw("w", "k1", "claim-1", 2.0),
            ledger.Claim("w", "k1", "d", "claim-2", 3.0),
        ],
        [ledger.Expire(10.0)],
    ],
)
def test_call_that_may_not_start_is_not_dispatched(commands):
    """Guards against a second run by another copy of the request."""
    proposer, upstream = LedgerProposer(), Upstream(ANSWERED)
    for command in commands:
        proposer.ledger.apply(command)
    assert isinstance(_run(proposer, upstream), relay.OutcomeUnknown)
    assert upstream.calls == 0


def test_start_without_an_outcome_is_not_dispatched():
    """Guards against a dispatch that the ledger may not have recorded."""

    class Unreachable(LedgerProposer):
        def propose(self, command, timeout_s=0.0):
            raise errors.OutcomeUnknown("no outcome")

    upstream = Upstream(ANSWERED)
    assert isinstance(_run(Unreachable(), upstream), relay.NotRun)
    assert upstream.calls == 0


def test_lost_answer_leaves_the_call_started():
    """Guards against a repeat that runs the call again."""
    proposer = LedgerProposer()
    lost = Upstream(services.OutcomeUnknown("reset"))
    assert isinstance(_run(proposer, lost), relay.OutcomeUnknown)
    assert isinstance(proposer.ledger.find("w", "k1"), ledger.Started)


def test_draining_upstream_leaves_the_claim_alone():
    proposer, upstream = LedgerProposer(), Upstream(ANSWERED)
    assert _run(proposer, upstream, "upstream is draining") == relay.NotRun(
        "upstream is draining"
    )
    assert isinstance(proposer.ledger.find("w", "k1"), ledger.Claimed)
    assert upstream.calls == 0


def test_unreachable_service_leaves_the_key_usable():
    """Guards against a call that is not sent but uses up its key."""
    proposer, upstream = LedgerProposer(), Upstream(ANSWERED)
    upstream.up = False
    assert isinstance(_run(proposer, upstream), relay.NotRun)
    assert isinstance(proposer.ledger.find("w", "k1"), ledger.Claimed)


def test_large_answer_is_recorded_without_its_body():
    """Guards against a ledger that grows with the size of answers."""
    proposer = LedgerProposer()
    large = b"x" * (agent_calls.MAX_RECORDED_ANSWER_BYTES + 1)
    outcome = _run(proposer, Upstream(services.Answered(200, [], large)))
    assert outcome.body == large
    record = proposer.ledger.find("w", "k1")
    recorded = msgspec.msgpack.decode(record.answer, type=relay.Answered)
    assert (recorded.status, recorded.body) == (200, b"")
