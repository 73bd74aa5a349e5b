"""Records what a call shows of the replicas that it was sent to."""

import time

from papayalink.coordination import attempts
from papayalink.coordination import call_keys
from papayalink.coordination import fleet_member
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import shared as shared_components
from papayalink.state import traffic

# A replica that refused a call because it is full gets no calls for this long,
# unless it said when to retry.
FULL_BACKOFF_S = 0.2
# A longer delay would outlast what a replica can know of its load.
MAX_NAMED_DELAY_S = 300.0
# Statuses with which a replica that takes no calls names a delay.
DELAY_STATUSES = (429, 503)
MISDIRECTED_STATUS = 421
# Backoff of a replica whose address has been reassigned; longer than the list
# of replicas lags behind.
MISDIRECTED_BACKOFF_S = 3.0


class Observations:
    """Updates the state of replicas from the answers to one call.

    Args:
        keys: keys by which the call is related to others.
        engine: engine data of the call's service, None for a plain service.
    """

    __slots__ = ("_shared", "_call", "_engine", "_keys")

    def __init__(
        self,
        shared: shared_components.Shared,
        call: calls.Call,
        keys: call_keys.CallKeys,
        engine: traffic.Engine | None,
    ) -> None:
        self._shared = shared
        self._call = call
        self._engine = engine
        self._keys = keys

    def note_head(
        self,
        member: fleet_member.Member,
        answer: calls.Answer,
        sent_at: float,
    ) -> None:
        """Record the head of an answer, whatever becomes of the rest."""
        if answer.load is not None:
            member.note_load(answer.load, time.monotonic())
        if answer.upstream in ("", member.replica.replica_id):
            self._note_limit(member, answer.limit_per_s, sent_at)
            self._note_delay(member, answer)
            self._shared.departures.note_answer(member, answer)
        if answer.weight_version and self._call.model:
            known = member.weights.get(self._call.model, 0)
            member.weights[self._call.model] = max(
                known, answer.weight_version
            )
        elif answer.status == MISDIRECTED_STATUS:
            self._correct_member(member, answer)

    def note_answer(
        self,
        member: fleet_member.Member,
        salt: str,
        answered: attempt.Answered,
    ) -> None:
        """Record that the caller has the whole answer.

        Args:
            salt: salt of the cached parts, see `calls.Dispatch`.
        """
        member.note_result(False)
        if self._call.model and self._engine is not None:
            max_tokens = (
                self._engine.cache_tokens
                * fleet_member.TRACKED_MEMORY_FRACTION
            )
            member.note_parts(salt, self._call.parts, max_tokens)
        if answered.status < 300:
            self._shared.crashes.note_whole_answer(
                member, self._keys, answered.ends_with_connection
            )

    def note_failure(
        self,
        member: fleet_member.Member,
        result: attempt.Unanswered,
        now: float,
    ) -> None:
        """Record an attempt without an answer for the caller."""
        match result.outcome:
            case attempts.NotRun(None):
                member.note_full(now, FULL_BACKOFF_S)
            case attempts.NotRun(retry_after_s):
                # The head may have told to wait for longer.
                member.note_full(now, min(FULL_BACKOFF_S, retry_after_s))
            case attempts.Lost():
                member.note_result(True)
                begun = result.progress is attempt.Progress.HEAD
                self._shared.crashes.note_lost(member, self._keys, begun)
            case attempts.Failed() | attempts.Expired():
                member.note_result(True)

    def _correct_member(
        self, member: fleet_member.Member, answer: calls.Answer
    ) -> None:
        """Correct what is known of a replica that refused as misdirected."""
        now = time.monotonic()
        if answer.upstream and answer.upstream != member.replica.replica_id:
            # The address belongs to another replica; the list will show it.
            member.note_full(now, MISDIRECTED_BACKOFF_S)
        elif self._call.model:
            member.correct_weights(
                self._call.model,
                self._shared.watcher.weights.get(self._call.model, 0),
            )

    def _note_delay(
        self, member: fleet_member.Member, answer: calls.Answer
    ) -> None:
        if answer.retry_after_s is None:
            return
        if answer.status in DELAY_STATUSES:
            delay_s = min(MAX_NAMED_DELAY_S, answer.retry_after_s)
            member.note_full(time.monotonic(), delay_s)

    def _note_limit(
        self,
        member: fleet_member.Member,
        limit_per_s: float | None,
        sent_at: float,
    ) -> None:
        before = member.limit_per_s
        self._shared.limits.note_answer(member, limit_per_s, sent_at)
        if member.limit_per_s != before:
            self._shared.log.failed(
                "limit_named",
                call=self._call.call_id,
                replica=member.replica.replica_id,
                limit_per_s=limit_per_s,
                before=before,
            )


def make_observations(
    shared: shared_components.Shared,
    call: calls.Call,
    keys: call_keys.CallKeys,
    engine: traffic.Engine | None,
) -> Observations:
    return Observations(shared, call, keys, engine)
