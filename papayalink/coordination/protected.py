"""Handling of protected calls, which run at most once, at the entry."""

from collections.abc import Callable
import hashlib
import uuid

import gevent
import msgspec

from papayalink import clock as clocks
from papayalink.coordination import errors
from papayalink.coordination import proposer as proposers
from papayalink.protocol import relay
from papayalink.state import ledger

# Time that a repeated request waits for the earlier one to finish.
REPEAT_WAIT_S = 2.0
# Age from which the entry that made a claim is presumed lost: an entry
# dispatches the call within its proposal timeout, or withdraws the claim.
CLAIM_GRACE_S = 2 * proposers.PROPOSE_TIMEOUT_S
_LEDGER_POLL_INTERVAL_S = 0.2


class Replayed(msgspec.Struct, frozen=True):
    """The recorded answer of an earlier request under the same key."""

    answer: relay.Answered


class KeyReused(msgspec.Struct, frozen=True):
    """The idempotency key was already used with a different request."""


class InProgress(msgspec.Struct, frozen=True):
    """The call under this key has not been dispatched yet."""


Outcome = (
    relay.Answered
    | relay.NotRun
    | relay.OutcomeUnknown
    | Replayed
    | KeyReused
    | InProgress
)

Send = Callable[[relay.CallRequest], relay.CallReply]


class ProtectedCalls:
    """Claims calls in the ledger before they are dispatched.

    The outcome is "not run" only when no claim of the request can be started
    any more: this entry has not dispatched the claim and will not do so, or
    the ledger has voided it.
    """

    __slots__ = ("_proposer", "_clock")

    def __init__(
        self, proposer: proposers.Proposer, clock: clocks.Clock
    ) -> None:
        self._proposer = proposer
        self._clock = clock

    def run(self, request: relay.CallRequest, send: Send) -> Outcome:
        """Run a call, or return the outcome of an earlier request for it.

        Args:
            request: the call with its key; the claim id is filled in here.
            send: dispatches the call to an agent; raises errors.NoUpstream
                when no agent was reached.
        """
        claim_id = uuid.uuid4().hex
        wait_until = self._clock.now() + REPEAT_WAIT_S
        while True:
            claim = ledger.Claim(
                request.workspace,
                request.key,
                body_digest(request),
                claim_id,
                self._clock.wall(),
            )
            try:
                outcome = self._proposer.propose(claim)
            except errors.CoordinationError as error:
                # The call is not dispatched under this claim id, so it cannot
                # run.
                return relay.NotRun(str(error))
            match outcome:
                case ledger.Granted():
                    sent = msgspec.structs.replace(request, claim_id=claim_id)
                    return self._dispatch(sent, send)
                case ledger.Mismatch():
                    return KeyReused()
                case ledger.Standing(record=record):
                    resolved = self._resolve(request, record, wait_until)
                    if resolved is not None:
                        return resolved
            gevent.sleep(_LEDGER_POLL_INTERVAL_S)

    def _dispatch(self, request: relay.CallRequest, send: Send) -> Outcome:
        try:
            reply = send(request)
        except errors.NoUpstream as error:
            return self._withdraw(request, error.reason)
        match reply:
            case relay.Answered():
                return reply
            case relay.NotRun(reason=reason):
                return self._withdraw(request, reason)
            case relay.OutcomeUnknown(reason=reason):
                return self._withdraw(request, reason)

    def _withdraw(self, request: relay.CallRequest, reason: str) -> Outcome:
        """Void the claim; the reply of the ledger decides the outcome."""
        command = ledger.Withdraw(
            request.workspace,
            request.key,
            request.claim_id,
            self._clock.wall(),
        )
        try:
            outcome = self._proposer.propose(command)
        except errors.CoordinationError as error:
            return relay.OutcomeUnknown(f"{reason}; {error}")
        match outcome:
            case ledger.Granted():
                return relay.NotRun(reason)
            case ledger.Standing(record=ledger.Finished() as record):
                return Replayed(_decode_answer(record))
            case _:
                return relay.OutcomeUnknown(reason)

    def _resolve(
        self,
        request: relay.CallRequest,
        record: ledger.Record,
        wait_until: float,
    ) -> Outcome | None:
        """Resolve a request whose key has a record of an earlier request.

        Returns: the outcome, None to read the ledger again.
        """
        may_wait = self._clock.now() < wait_until
        match record:
            case ledger.Finished():
                return Replayed(_decode_answer(record))
            case ledger.Started():
                if may_wait:
                    return None
                return relay.OutcomeUnknown(
                    "call was started but no answer is recorded"
                )
            case ledger.Claimed(claim_id=claim_id, at_s=at_s):
                if self._clock.wall() - at_s > CLAIM_GRACE_S:
                    self._withdraw(
                        msgspec.structs.replace(request, claim_id=claim_id),
                        "entry that claimed the call is presumed lost",
                    )
                    return None
                return None if may_wait else InProgress()
            case ledger.Void():
                return relay.NotRun("claim was withdrawn")


def body_digest(request: relay.CallRequest) -> str:
    """Returns: digest that differs for different calls under one key."""
    text = f"{request.service}\0{request.method}\0{request.path}\0".encode()
    return hashlib.blake2b(text + request.body, digest_size=16).hexdigest()


def _decode_answer(record: ledger.Finished) -> relay.Answered:
    return msgspec.msgpack.decode(record.answer, type=relay.Answered)


def make_protected_calls(
    proposer: proposers.Proposer, clock: clocks.Clock
) -> ProtectedCalls:
    return ProtectedCalls(proposer, clock)
