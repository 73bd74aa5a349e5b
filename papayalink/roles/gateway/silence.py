"""Decides whether a call leaves a replica that is silent."""

from collections.abc import Callable
import time

import gevent

from papayalink.coordination import attempt_limits
from papayalink.coordination import attempts
from papayalink.coordination import call_keys
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import call_record
from papayalink.roles.gateway import record_faults
from papayalink.roles.gateway import repeat_charges
from papayalink.roles.gateway import shared as shared_parts
from papayalink.roles.gateway import silent_replicas
from papayalink.state import replicas
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
# A sound replica goes on within this time.
MAX_PAUSE_S = 2.0
# Replicas that are checked in a row to find one that can be reached; a failed
# check takes up to 0.5 s.
MAX_CHECKED = 2
_HAS_ENDED = "replica has ended"


class SilenceCheck:
    """Ends the attempts of one call at replicas that are silent.

    A sound replica may be silent for a while and go on, and so may the path to
    it. Only a call that can go on at another replica gains by leaving it.

    Args:
        call_attempts: what became of the attempts.
        charges: charges of the call to the retry budget.
        stream: state of an event stream, None for any other answer.
        remaining_s: returns the seconds left until the call's deadline.
    """

    __slots__ = (
        "_shared",
        "_route",
        "_keys",
        "_attempts",
        "_charges",
        "_stream",
        "_record",
        "_silent_replicas",
        "_remaining_s",
        "_noted_obstacle",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        route: traffic.Route,
        keys: call_keys.CallKeys,
        call_attempts: attempts.Attempts,
        charges: repeat_charges.RepeatCharges,
        stream: attempt.StreamState | None,
        record: call_record.CallRecord,
        silent: silent_replicas.SilentReplicas,
        remaining_s: Callable[[], float],
    ) -> None:
        self._shared = shared
        self._route = route
        self._keys = keys
        self._attempts = call_attempts
        self._charges = charges
        self._stream = stream
        self._record = record
        self._silent_replicas = silent
        self._remaining_s = remaining_s
        self._noted_obstacle = ""

    @property
    def left(self) -> bool:
        """Whether the call has left a replica that may be sound."""
        return bool(self._attempts.left)

    def check(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        silent_s: float,
    ) -> None:
        """End the attempt if the call goes on elsewhere, or can't here.

        After an error of the check itself the call stays.

        Args:
            request: what the call needs of a replica.
        Raises:
            errors.UpstreamLeft: the call leaves the replica, which may go on.
            errors.ConnectionLost: the replica has ended.
        """
        reason = ""
        with record_faults.logged(self._record.call_id):
            reason = self._find_reason(member, request, silent_s)
        if reason == _HAS_ENDED:
            raise errors.ConnectionLost(reason)
        if reason:
            raise errors.UpstreamLeft(reason)

    def _find_reason(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        silent_s: float,
    ) -> str:
        """Returns: why the attempt ends, "" if the call stays."""
        self._note_overdue(member, silent_s)
        silent_since = time.monotonic() - silent_s
        if not _leaves(member) and (
            _has_restarted(member, silent_since) or self._runs_again(member)
        ):
            return _HAS_ENDED
        obstacle = self._find_lasting_obstacle()
        if obstacle:
            # Other calls depend on what the check finds out.
            gevent.spawn(self._shared.liveness.is_reachable, member)
            if not member.reachable:
                self._note_stay(member, obstacle, silent_s)
            return ""
        if not self._shared.liveness.is_reachable(member):
            reason = "replica is not reachable"
            compared_s = None
        elif silent_s > self._max_silence_s(member.spoke_at > silent_since):
            compared_s = silent_s
            reason = f"replica was silent for {silent_s:.1f} s"
        else:
            return ""
        obstacle = ""
        if self._gains_by_waiting(member, silent_s):
            obstacle = "no time for another run"
        obstacle = obstacle or self._find_obstacle(request, compared_s)
        if obstacle:
            self._note_stay(member, obstacle, silent_s)
            return ""
        self._silent_replicas.note_left(member)
        member.note_left(time.monotonic())
        self._attempts.note_left(member.replica.replica_id)
        self._shared.metrics.count("silent_replicas_left")
        return reason

    def _note_overdue(
        self, member: fleet_member.Member, silent_s: float
    ) -> None:
        """Record that the replica may stand still if this call is overdue."""
        usual = self._shared.run_times.usual(self._route.name)
        if usual is None:
            return
        limit_s = attempt_limits.overdue_limit_s(
            usual, self._silent_replicas.longest_s(), self._record.expected_s
        )
        if silent_s > limit_s:
            member.note_overdue(time.monotonic(), limit_s)

    def _runs_again(self, member: fleet_member.Member) -> bool:
        """Returns: whether the list names a later run of the replica.

        A list that lacks it is no proof: it may have missed that it leaves.
        """
        listed = self._shared.fleet.find(member.replica.replica_id)
        return listed is not None and listed is not member

    def _note_stay(
        self, member: fleet_member.Member, obstacle: str, silent_s: float
    ) -> None:
        if obstacle == self._noted_obstacle:
            return
        self._noted_obstacle = obstacle
        self._shared.metrics.count("silent_replicas_kept", obstacle=obstacle)
        self._shared.log.failed(
            "call_waits_for_silent_replica",
            call=self._record.call_id,
            replica=member.replica.replica_id,
            obstacle=obstacle,
            silent_ms=int(silent_s * 1000),
        )

    def _max_silence_s(self, spoke: bool) -> float:
        """Returns: how long a replica that can be reached may be silent.

        Args:
            spoke: whether it has answered other calls meanwhile. It may work
                on this one, as long as it has worked on others.
        """
        max_silence_s = max(
            SILENCE_OBJECTIVE_FACTOR * self._route.objective_s,
            SILENCE_EXPECTED_FACTOR * self._record.expected_s,
        )
        if self._stream is not None and self._stream.begun:
            return max(max_silence_s, MIN_STREAM_SILENCE_LIMIT_S)
        if spoke:
            longest_s = self._silent_replicas.longest_s()
            longest_s *= attempt_limits.LONGEST_WAIT_FACTOR
            max_silence_s = max(max_silence_s, longest_s)
        return max_silence_s

    def _gains_by_waiting(
        self, member: fleet_member.Member, silent_s: float
    ) -> bool:
        """Returns: whether the call can't end elsewhere, but may do so here.

        Its replica has worked on it for longer than on most before a pause,
        which ends.
        """
        usual = self._shared.run_times.usual(self._route.name)
        if usual is None or (self._stream is not None and self._stream.begun):
            return False
        paused_s = min(silent_s, time.monotonic() - member.spoke_at)
        return (
            paused_s < MAX_PAUSE_S
            and silent_s - paused_s > usual.first_s
            and self._remaining_s() < self._silent_replicas.longest_s()
        )

    def _find_lasting_obstacle(self) -> str:
        """Returns: why the call never goes on elsewhere, "" if it may."""
        repeat = self._route.repeat
        if repeat is traffic.RepeatPolicy.ONCE:
            return "may run once"
        if self._attempts.counted >= self._route.max_attempts:
            return "no attempt left"
        begun = self._stream is not None and self._stream.begun
        if begun and repeat is not traffic.RepeatPolicy.RESUMABLE:
            return "stream has begun"
        return ""

    def _find_obstacle(
        self, request: replica_choice.SelectionRequest, silent_s: float | None
    ) -> str:
        """Charge the retry budget if the call can go on elsewhere now.

        Args:
            silent_s: for how long its replica has been silent, None if that
                can't be reached.
        Returns: why it can't, "" if it can.
        """
        if self._shared.crashes.blocked_key(self._keys, True) is not None:
            return "ends replicas"
        if not self._charges.has_room():
            return "retry budget is used up"
        if not self._reach_other(request, silent_s):
            return "no other replica is reached"
        # Other calls may have used the budget during the check. An earlier
        # check may have charged it, and the call stayed since something
        # arrived.
        if not self._charges.reserve():
            return "retry budget is used up"
        return ""

    def _reach_other(
        self, request: replica_choice.SelectionRequest, silent_s: float | None
    ) -> bool:
        """Returns: whether another replica can be used now."""
        for _ in range(MAX_CHECKED):
            if silent_s is None:
                choice = self._shared.fleet.choose(
                    request, self._record.tried, time.monotonic()
                )
            else:
                choice = self._silent_replicas.choose_instead(
                    request, silent_s
                )
            if choice is None:
                return False
            if self._shared.liveness.is_reachable(choice.member):
                return True
        return False


def _leaves(member: fleet_member.Member) -> bool:
    """Returns: whether the replica may refuse connections and still run calls.

    The list drops one that leaves before it has finished its calls.
    """
    return (
        member.leaving
        or member.replica.condition is not replicas.Condition.READY
    )


def _has_restarted(member: fleet_member.Member, silent_since: float) -> bool:
    """Returns: whether its machine was silent and then refused connections.

    Refusals alone are no proof: a replica may close its port before it has
    finished its calls. The end of its process closes their connections too.
    """
    return member.refused_at > member.unanswered_at > silent_since


def make_silence_check(
    shared: shared_parts.Shared,
    route: traffic.Route,
    keys: call_keys.CallKeys,
    call_attempts: attempts.Attempts,
    charges: repeat_charges.RepeatCharges,
    stream: attempt.StreamState | None,
    record: call_record.CallRecord,
    silent: silent_replicas.SilentReplicas,
    remaining_s: Callable[[], float],
) -> SilenceCheck:
    return SilenceCheck(
        shared,
        route,
        keys,
        call_attempts,
        charges,
        stream,
        record,
        silent,
        remaining_s,
    )
