"""Waits of a call for which no replica is usable at the moment."""

from collections.abc import Callable
from collections.abc import Collection
import time

from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice

# A call waits for replicas that are at their limit up to this fraction of its
# objective, counted from its arrival; then its caller may try elsewhere.
PERMIT_WAIT_FRACTION = 0.5
# A prompt waits for weights that a replica is loading up to this fraction of
# its time and no longer than this. All entries wait for the same replicas, so
# that its caller would find none elsewhere. A load takes about a second, and
# callers abandon a stream that sends nothing for about 2 s.
LOAD_WAIT_FRACTION = 0.5
MAX_LOAD_WAIT_S = 1.5
# A call waits for replicas that have just been lost up to this fraction of its
# time, after which its caller may try elsewhere, and until they have been lost
# for this long. A sound replica may take no connections for 2 s, and a probe
# finds it again up to 0.75 s later.
RETURN_WAIT_FRACTION = 0.5
MAX_RETURN_S = 2.75
# A call that may have run waits for this long for a replica that turns calls
# away. Callers leave their streams after a gap of two seconds at the earliest.
MAX_TURNED_AWAY_S = 1.0
# A call that waits looks so often whether one that it has left goes on.
_LOOK_PERIOD_S = 0.05


class ReplicaWait:
    """Waits of one call.

    Args:
        received_at: when the call arrived, in monotonic seconds.
        objective_s: its latency objective.
        deadline: monotonic seconds.
    """

    __slots__ = (
        "_fleet",
        "_permits_until",
        "_loads_until",
        "_returns_until",
        "_deadline",
    )

    def __init__(
        self,
        fleet: fleets.Fleet,
        received_at: float,
        objective_s: float,
        deadline: float,
    ) -> None:
        self._fleet = fleet
        self._permits_until = min(
            received_at + PERMIT_WAIT_FRACTION * objective_s, deadline
        )
        self._loads_until = received_at + min(
            LOAD_WAIT_FRACTION * (deadline - received_at), MAX_LOAD_WAIT_S
        )
        self._returns_until = received_at + RETURN_WAIT_FRACTION * (
            deadline - received_at
        )
        self._deadline = deadline

    def wait(
        self,
        request: replica_choice.SelectionRequest,
        tried: Collection[str],
        may_have_run: bool = False,
        was_stopped: bool = False,
        has_come: Callable[[], bool] | None = None,
    ) -> bool:
        """Wait for what keeps replicas from being used, if it ends in time.

        Args:
            tried: replicas that the call is not sent to again.
            may_have_run: whether a replica may have run the call. Its caller
                can't try elsewhere.
            was_stopped: whether a sound replica has stopped the call, which
                needs more time there. It waits for a refusal to end.
            has_come: returns whether something has come of a replica that the
                call has left, which ends the wait. None without one.
        Returns: whether a replica may be usable now.
        """
        now = time.monotonic()
        until = now
        # When the first of the replicas that have turned calls away may be
        # used again.
        resumes_at = float("inf")
        for member in self._fleet.members(request.service):
            if member.replica.replica_id in tried:
                continue
            if self._turns_calls_away(member, request, now):
                avoided_s = member.avoided_s(now)
                resumes_at = min(resumes_at, now + avoided_s)
                if (
                    may_have_run
                    and avoided_s <= MAX_TURNED_AWAY_S
                    and now + avoided_s < self._deadline
                ):
                    until = max(until, resumes_at)
            if self._lacks_permit(member, request, now):
                until = max(until, self._permits_until)
            if _lacks_weights(member, request):
                until = max(until, self._loads_until)
            if self._may_return(member, request, now):
                latest = (
                    self._deadline if may_have_run else self._returns_until
                )
                until = max(until, min(member.lost_at + MAX_RETURN_S, latest))
        if was_stopped and resumes_at < self._deadline:
            until = max(until, resumes_at)
        if until <= now:
            return False
        changed = self._wait_for_change(min(until, resumes_at), has_come)
        if changed or resumes_at <= until:
            return True
        # The news of one that was reached just now may be on its way.
        now = time.monotonic()
        return self._fleet.choose(request, tried, now) is not None

    def _wait_for_change(
        self, until: float, has_come: Callable[[], bool] | None
    ) -> bool:
        """Returns: whether something changed or has come before a time."""
        if has_come is None:
            return self._fleet.changed.wait(max(0.0, until - time.monotonic()))
        while (left_s := until - time.monotonic()) > 0:
            if self._fleet.changed.wait(min(left_s, _LOOK_PERIOD_S)):
                return True
            if has_come():
                return True
        return False

    def _turns_calls_away(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> bool:
        """Returns: whether only a refusal keeps the replica from use."""
        return (
            member.usable_after_load
            and not member.loading
            and member.avoided_s(now) > 0
            and self._fleet.suits(member, request, now)
        )

    def _lacks_permit(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> bool:
        """Returns: whether only its limit keeps the replica from use."""
        return (
            member.limit_per_s is not None
            and member.usable_without_limit(now)
            and self._fleet.suits(member, request, now)
        )

    def _may_return(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> bool:
        """Returns: whether only a lost connection keeps it from use.

        One that refuses connections has ended, and another one takes its
        place.
        """
        return (
            not member.reachable
            and member.refused_at <= member.heard_at
            and member.usable_if_reached(now)
            and self._fleet.suits(member, request, now)
        )


def _lacks_weights(
    member: fleet_member.Member, request: replica_choice.SelectionRequest
) -> bool:
    """Returns: whether the replica is loading the weights of the model."""
    return (
        request.model in member.loading
        and member.usable_after_load
        and request.has_software(member)
    )


def make_replica_wait(
    fleet: fleets.Fleet,
    received_at: float,
    objective_s: float,
    deadline: float,
) -> ReplicaWait:
    return ReplicaWait(fleet, received_at, objective_s, deadline)
