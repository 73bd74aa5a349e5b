"""Decides whether a call leaves a replica that is silent."""

import time

from papayalink.coordination import attempts
from papayalink.coordination import call_keys
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import call_record
from papayalink.roles.gateway import shared as shared_parts
from papayalink.state import traffic
from papayalink.transport import errors

# A call that may run again is sent to another replica once its replica has
# been silent for longer than both this many latency objectives and this many
# expected times to an answer.
SILENCE_OBJECTIVE_FACTOR = 3.0
SILENCE_EXPECTED_FACTOR = 2.0
# Lower bound of that silence within a stream: a replica that runs out of
# memory preempts streams for about a second, and callers leave after 2 s or
# more.
MIN_STREAM_SILENCE_LIMIT_S = 1.6


class SilenceCheck:
    """Ends the attempts of one call at replicas that are silent.

    Args:
        call_attempts: what became of the attempts.
        stream: state of an event stream, None for any other answer.
    """

    __slots__ = (
        "_shared",
        "_route",
        "_keys",
        "_attempts",
        "_stream",
        "_record",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        route: traffic.Route,
        keys: call_keys.CallKeys,
        call_attempts: attempts.Attempts,
        stream: attempt.StreamState | None,
        record: call_record.CallRecord,
    ) -> None:
        self._shared = shared
        self._route = route
        self._keys = keys
        self._attempts = call_attempts
        self._stream = stream
        self._record = record

    def check(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        silent_s: float,
    ) -> None:
        """End the attempt if the replica is unreachable or silent too long.

        Only a call that may run again leaves a replica that is reachable but
        silent.

        Args:
            request: what the call needs of a replica.
        Raises: errors.ConnectionLost: the attempt is to end.
        """
        if not self._shared.liveness.is_reachable(member):
            self._end("replica is not reachable", request)
        if self._route.repeat is traffic.RepeatPolicy.ONCE:
            return
        if self._attempts.sent >= self._route.max_attempts:
            return
        if silent_s > self._max_silence_s():
            self._end(f"replica was silent for {silent_s:.1f} s", request)

    def _end(
        self, reason: str, request: replica_choice.SelectionRequest
    ) -> None:
        obstacle = self._find_obstacle(request)
        self._shared.metrics.count(
            "silent_replicas_left", obstacle=obstacle or "none"
        )
        raise errors.ConnectionLost(
            f"{reason}; {obstacle}" if obstacle else reason
        )

    def _max_silence_s(self) -> float:
        """Returns: how long a replica that can be reached may be silent."""
        max_silence_s = max(
            SILENCE_OBJECTIVE_FACTOR * self._route.objective_s,
            SILENCE_EXPECTED_FACTOR * self._record.expected_s,
        )
        if self._stream is not None and self._stream.begun:
            max_silence_s = max(max_silence_s, MIN_STREAM_SILENCE_LIMIT_S)
        return max_silence_s

    def _find_obstacle(self, request: replica_choice.SelectionRequest) -> str:
        """Returns: why the call can't go on elsewhere, "" if it can."""
        shared = self._shared
        now = time.monotonic()
        if self._route.repeat is traffic.RepeatPolicy.ONCE:
            return "may run once"
        if self._attempts.sent >= self._route.max_attempts:
            return "no attempt left"
        if shared.crashes.blocked_key(self._keys, True) is not None:
            return "ends replicas"
        budget = shared.budgets.for_service(request.service, now)
        if not budget.has_room(now):
            return "retry budget is used up"
        if shared.fleet.choose(request, self._record.tried, now) is None:
            return "no other replica"
        return ""


def make_silence_check(
    shared: shared_parts.Shared,
    route: traffic.Route,
    keys: call_keys.CallKeys,
    call_attempts: attempts.Attempts,
    stream: attempt.StreamState | None,
    record: call_record.CallRecord,
) -> SilenceCheck:
    return SilenceCheck(shared, route, keys, call_attempts, stream, record)
