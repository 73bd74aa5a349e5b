"""Calls that may run at most once, as the entry handles them."""

from collections.abc import Callable
import hashlib
import uuid

import gevent
import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink.coordination import errors
from papayalink.coordination import proposer as proposers
from papayalink.protocol import relay
from papayalink.state import ledger

# How long a repeat waits for a call that is under way.
WAIT_S = 2.0
# A claim older than this has most likely lost its entry: an entry dispatches
# within its proposal timeout or withdraws.
CLAIM_GRACE_S = 2 * proposers.PROPOSE_TIMEOUT_S
_PAUSE_S = 0.2


class Replayed(msgspec.Struct, frozen=True):
    """The recorded answer of an earlier run."""

    answer: relay.Answered


class KeyReused(msgspec.Struct, frozen=True):
    """The idempotency key was used with another body."""


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
    """Claims calls in the ledger before they leave the entry.

    "Not run" is answered only when no claim of the request can be started
    any more: it was never committed by us and is not dispatched, or the
    ledger moved it to void.
    """

    __slots__ = ("_proposer", "_clock", "_log")

    def __init__(
        self, proposer: proposers.Proposer, clock: clocks.Clock
    ) -> None:
        self._proposer = proposer
        self._clock = clock
        self._log = logs.get_logger()

    def run(self, request: relay.CallRequest, send: Send) -> Outcome:
        """Run a call once, or tell what became of it.

        Args:
            request: the call with its key; the claim id is filled in here.
            send: dispatches to an agent; raises errors.NoUpstream when no
                agent was reached.
        """
        claim_id = uuid.uuid4().hex
        give_up_at = self._clock.now() + WAIT_S
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
                # Never dispatched under this claim id, so it does not run.
                return relay.NotRun(str(error))
            match outcome:
                case ledger.Granted():
                    sent = msgspec.structs.replace(request, claim_id=claim_id)
                    return self._dispatch(sent, send)
                case ledger.Mismatch():
                    return KeyReused()
                case ledger.Standing(record=record):
                    settled = self._settle(request, record, give_up_at)
                    if settled is not None:
                        return settled
            gevent.sleep(_PAUSE_S)

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
        """Void the claim; what the ledger answers is the truth."""
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
                return Replayed(_answer(record))
            case _:
                return relay.OutcomeUnknown(reason)

    def _settle(
        self,
        request: relay.CallRequest,
        record: ledger.Record,
        give_up_at: float,
    ) -> Outcome | None:
        """Decide on the record of an earlier request under the same key.

        Returns: the outcome, None to look again.
        """
        waiting = self._clock.now() < give_up_at
        match record:
            case ledger.Finished():
                return Replayed(_answer(record))
            case ledger.Started():
                if waiting:
                    return None
                return relay.OutcomeUnknown("started, no answer recorded")
            case ledger.Claimed(claim_id=claim_id, at_s=at_s):
                if self._clock.wall() - at_s > CLAIM_GRACE_S:
                    self._withdraw(
                        msgspec.structs.replace(request, claim_id=claim_id),
                        "claim of an entry that has gone",
                    )
                    return None
                return None if waiting else InProgress()
            case ledger.Void():
                return relay.NotRun("claim was withdrawn")


def body_digest(request: relay.CallRequest) -> str:
    """Returns: digest that tells two calls under one key apart."""
    text = f"{request.service}\0{request.method}\0{request.path}\0".encode()
    return hashlib.blake2b(text + request.body, digest_size=16).hexdigest()


def _answer(record: ledger.Finished) -> relay.Answered:
    return msgspec.msgpack.decode(record.answer, type=relay.Answered)


def make_protected_calls(
    proposer: proposers.Proposer, clock: clocks.Clock
) -> ProtectedCalls:
    return ProtectedCalls(proposer, clock)
