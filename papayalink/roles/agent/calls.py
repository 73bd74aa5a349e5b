"""Runs calls of plain services; the ledger lets a protected one run once."""

from collections.abc import Callable
import uuid

import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink.adapters import service as services
from papayalink.coordination import errors
from papayalink.coordination import proposer as proposers
from papayalink.protocol import relay
from papayalink.state import ledger

# The caller receives a larger answer in full, but the ledger records only its
# status, which is what a repeat of the call receives.
MAX_RECORDED_ANSWER_BYTES = 65_536
# Long, because a repeat of the call is answered with "outcome unknown" until
# the known answer is recorded.
FINISH_TIMEOUT_S = 30.0


class Calls:
    """Dispatches calls to one service replica.

    Args:
        agent: name of the agent, recorded with each start.
        service: adapter of the replica.
        proposer: proposes the changes of claims in the ledger.
        refusal: returns why new work is refused, "" if it is accepted.
        clock: source of the times in ledger records.
    """

    __slots__ = (
        "_agent",
        "_service",
        "_proposer",
        "_refusal",
        "_clock",
        "_log",
        "_in_flight",
    )

    def __init__(
        self,
        agent: str,
        service: services.Service,
        proposer: proposers.Proposer,
        refusal: Callable[[], str],
        clock: clocks.Clock,
    ) -> None:
        self._agent = agent
        self._service = service
        self._proposer = proposer
        self._refusal = refusal
        self._clock = clock
        self._log = logs.get_logger()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        return self._in_flight

    def run(self, request: relay.CallRequest) -> relay.CallReply:
        """Run a call and return its outcome."""
        reason = self._refusal()
        if reason:
            return relay.NotRun(reason)
        self._in_flight += 1
        try:
            if request.claim_id:
                return self._run_protected(request)
            return self._send(request)
        finally:
            self._in_flight -= 1

    def _run_protected(self, request: relay.CallRequest) -> relay.CallReply:
        if not self._service.reachable():
            # Checked before the start, which cannot be withdrawn. The caller
            # can reuse the key once the claim is void.
            return relay.NotRun("service is not reached")
        # Distinguishes this dispatch from any other copy of the request.
        dispatch_id = f"{self._agent}/{uuid.uuid4().hex}"
        start = ledger.Start(
            request.workspace,
            request.key,
            request.claim_id,
            dispatch_id,
            self._clock.wall(),
        )
        try:
            outcome = self._proposer.propose(start)
        except errors.CoordinationError as error:
            # The call is not dispatched here, but only the ledger can void
            # its claim.
            return relay.NotRun(str(error))
        if not _may_dispatch(outcome, dispatch_id):
            return relay.OutcomeUnknown("the ledger refused the start")
        self._log.info(
            "call_dispatched",
            request_id=request.request_id,
            workspace=request.workspace,
            key=request.key,
        )
        reply = self._send(request)
        if isinstance(reply, relay.NotRun):
            # The start cannot be withdrawn, so the failure is recorded as
            # the answer.
            reply = relay.Answered(
                502,
                "application/json",
                b'{"error": {"code": "upstream_unreachable"}}',
            )
        if isinstance(reply, relay.Answered):
            self._record(request, reply)
        return reply

    def _record(
        self, request: relay.CallRequest, answer: relay.Answered
    ) -> None:
        if len(answer.body) > MAX_RECORDED_ANSWER_BYTES:
            answer = msgspec.structs.replace(answer, body=b"")
        finish = ledger.Finish(
            request.workspace,
            request.key,
            request.claim_id,
            answer.status,
            relay.encode(answer),
            self._clock.wall(),
        )
        try:
            self._proposer.propose(finish, FINISH_TIMEOUT_S)
        except errors.CoordinationError as error:
            self._log.error(
                "answer_not_recorded",
                request_id=request.request_id,
                key=request.key,
                reason=error,
            )

    def _send(self, request: relay.CallRequest) -> relay.CallReply:
        headers = [("X-Request-Id", request.request_id)]
        if request.content_type:
            headers.append(("Content-Type", request.content_type))
        if request.claim_id:
            headers.append(("X-Claim-Id", request.claim_id))
            headers.append(("Idempotency-Key", request.key))
        outcome = self._service.call(
            request.method, request.path, headers, request.body
        )
        match outcome:
            case services.Answered(status=status, headers=headers, body=body):
                return relay.Answered(status, _content_type(headers), body)
            case services.NotSent(reason=reason):
                return relay.NotRun(reason)
            case services.OutcomeUnknown(reason=reason):
                return relay.OutcomeUnknown(reason)


def _may_dispatch(outcome: ledger.Outcome, dispatch_id: str) -> bool:
    match outcome:
        case ledger.Granted():
            return True
        # The reply to this dispatch's first proposal was lost.
        case ledger.Standing(record=ledger.Started(agent=agent)):
            return agent == dispatch_id
        case _:
            return False


def _content_type(headers: list[tuple[str, str]]) -> str:
    for name, value in headers:
        if name.lower() == "content-type":
            return value
    return "application/octet-stream"


def make_calls(
    agent: str,
    service: services.Service,
    proposer: proposers.Proposer,
    refusal: Callable[[], str],
    clock: clocks.Clock,
) -> Calls:
    return Calls(agent, service, proposer, refusal, clock)
