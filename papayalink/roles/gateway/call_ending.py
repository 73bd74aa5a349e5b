"""The end of a call: what its caller gets, and the record of it."""

import time

from papayalink.coordination import attempts
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import call_record
from papayalink.roles.gateway import shared as shared_parts
from papayalink.transport import errors
from papayalink.transport import responders
from papayalink.transport import upstream_channels

# Delay given to refused callers by default. They retry after a third of their
# time at most; a fleet that is full stays full for at least this long.
RETRY_AFTER_S = 0.5
# Delay for callers whose entry stops: the others may serve them at once.
STOPPING_RETRY_AFTER_S = 0.0
# Largest body of a replica's failure that is kept while another one is tried.
MAX_KEPT_BODY_BYTES = 64 * 1024
# A body up to this size is kept even if answers hold all memory that they may.
MAX_SMALL_BODY_BYTES = 4 * 1024


class CallEnding:
    """Ends one call.

    Args:
        deadline: monotonic seconds.
        call_attempts: what became of the attempts.
        stream: state of an event stream, None for any other answer.
    """

    __slots__ = (
        "_shared",
        "_call",
        "_responder",
        "_service",
        "_deadline",
        "_attempts",
        "_stream",
        "_record",
        "_failure",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        call: calls.Call,
        responder: responders.Responder,
        service: str,
        deadline: float,
        call_attempts: attempts.Attempts,
        stream: attempt.StreamState | None,
        record: call_record.CallRecord,
    ) -> None:
        self._shared = shared
        self._call = call
        self._responder = responder
        self._service = service
        self._deadline = deadline
        self._attempts = call_attempts
        self._stream = stream
        self._record = record
        # The failure that a replica has answered with, for a caller that
        # gets no other answer.
        self._failure: attempt.Unanswered | None = None

    def keep_failure(self, result: attempt.Unanswered) -> None:
        """Keep the failure of a replica while the call goes on elsewhere.

        It counts as held until `close`.
        """
        if result.answer is None or len(result.body) > MAX_KEPT_BODY_BYTES:
            return
        own_bytes = upstream_channels.OWN_HELD_BYTES - MAX_SMALL_BODY_BYTES
        if self._shared.channels.held.take(len(result.body), own_bytes):
            self.close()
            self._failure = result

    def close(self) -> None:
        """Free what is kept."""
        if self._failure is not None:
            self._shared.channels.held.give_back(len(self._failure.body))
            self._failure = None

    def record(self, outcome: str, status: int, reason: str) -> None:
        """Record the end of the call."""
        self._record.write(
            outcome,
            status,
            reason,
            self._service,
            self._stream,
            self._deadline - time.monotonic(),
            self._attempts.sent,
        )

    def unanswered(
        self, decision: attempts.Decision, result: attempt.Unanswered
    ) -> None:
        """End the call after its last attempt, which had no answer.

        Raises: errors.ResponseAborted if the answer has begun.
        """
        reason = repr(result.outcome)
        if self._stream is not None and self._stream.begun:
            self.record("stream_broken", 0, reason)
            raise errors.ResponseAborted("upstream broke off the stream")
        match decision:
            case attempts.PassOn():
                self._pass_on(result, reason)
            case attempts.Refuse():
                # The delay that a replica names is for calls to itself.
                self.refuse(None, reason)
            case attempts.GiveUp(status):
                self._give_up(status, reason)

    def at_stop(self) -> None:
        """End the call, since the process ends before its answer does.

        A replica may have run it, and may go on with it for a moment: only a
        call that was not sent is refused.
        """
        reason = "the gateway stops"
        if self._responder.head_sent:
            broken = self._stream is not None
            self.record("stream_broken" if broken else "given_up", 0, reason)
            raise errors.ResponseAborted(reason)
        if self._attempts.may_have_run:
            self._give_up(504, reason)
        else:
            self.refuse(STOPPING_RETRY_AFTER_S, reason)

    def without_replica(
        self, reason: str, retry_after_s: float | None = None
    ) -> None:
        """End the call when it can be sent to no replica."""
        if self._attempts.sent and self._attempts.may_have_run:
            lost = attempt.Unanswered(attempts.Lost(reason))
            self.unanswered(attempts.GiveUp(502), lost)
        else:
            self.refuse(retry_after_s, reason)

    def refuse(self, retry_after_s: float | None, reason: str) -> None:
        """Refuse the call, which has not run.

        Args:
            retry_after_s: None for the time until a replica may be used.
        """
        if retry_after_s is None:
            usable_s = self._shared.fleet.next_usable_s(
                self._service, time.monotonic()
            )
            retry_after_s = max(RETRY_AFTER_S, usable_s)
        self.record("refused", 503, reason)
        self._respond(503, retry_after_s)

    def _give_up(self, status: int, reason: str) -> None:
        """Answer with a failure, one of a replica if there was one.

        Args:
            status: own failure, without one of a replica.
        """
        if self._failure is not None:
            self._pass_on(self._failure, reason)
            return
        self.record("given_up", status, reason)
        self._respond(status)

    def _pass_on(self, failed: attempt.Unanswered, reason: str) -> None:
        """Answer with the failure of a replica."""
        answer = failed.answer
        self.record("failed_upstream", answer.status, reason)
        self._responder.respond(answer.status, answer.headers, failed.body)

    def _respond(
        self, status: int, retry_after_s: float | None = None
    ) -> None:
        headers = self._shared.dialect.refusal_headers(
            self._call.call_id, retry_after_s
        )
        self._responder.respond(status, headers)


def make_call_ending(
    shared: shared_parts.Shared,
    call: calls.Call,
    responder: responders.Responder,
    service: str,
    deadline: float,
    call_attempts: attempts.Attempts,
    stream: attempt.StreamState | None,
    record: call_record.CallRecord,
) -> CallEnding:
    return CallEnding(
        shared,
        call,
        responder,
        service,
        deadline,
        call_attempts,
        stream,
        record,
    )
