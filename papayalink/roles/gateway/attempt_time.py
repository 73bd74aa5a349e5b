"""Time that replicas are given for the attempts of one call."""

import time

from papayalink.coordination import attempt_limits
from papayalink.coordination import attempts
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.coordination import run_times
from papayalink.protocol import calls
from papayalink.roles.gateway import call_record
from papayalink.roles.gateway import repeat_charges
from papayalink.roles.gateway import shared as shared_parts
from papayalink.roles.gateway import silent_replicas
from papayalink.state import traffic


class AttemptTime:
    """Limits attempts that may be followed by others, or be read late.

    The kernel of a replica that stands still takes calls. The replica reads
    them when it goes on, maybe long after they were given up, and counts the
    time that it is given from then on.

    A call that may run once is sent to one replica and has all the time there.

    Args:
        call_attempts: what became of the attempts.
        charges: charges of the call to the retry budget.
    """

    __slots__ = (
        "_shared",
        "_call",
        "_route",
        "_attempts",
        "_charges",
        "_record",
        "_silent_replicas",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        call: calls.Call,
        route: traffic.Route,
        call_attempts: attempts.Attempts,
        charges: repeat_charges.RepeatCharges,
        record: call_record.CallRecord,
        silent: silent_replicas.SilentReplicas,
    ) -> None:
        self._shared = shared
        self._call = call
        self._route = route
        self._attempts = call_attempts
        self._charges = charges
        self._record = record
        self._silent_replicas = silent

    def for_next(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        left_s: float,
    ) -> float:
        """Returns: seconds that the replica of the next attempt is given.

        Args:
            request: what the call needs of a replica.
            left_s: time until the deadline of the call.
        """
        usual = self._shared.run_times.usual(self._route.name)
        if usual is None or self._route.repeat is traffic.RepeatPolicy.ONCE:
            return left_s
        longest_s = self._shared.run_times.longest_s(
            self._route.name, time.monotonic()
        )
        usual_limit_s = self._limit_s(usual, 0.0)
        if (
            usual_limit_s + longest_s <= left_s
            and self._silent_replicas.may_read_late(member)
            and self._secure_repeat(request)
        ):
            # A long run that is stopped has time for another one.
            return attempt_limits.attempt_time_s(usual_limit_s, left_s)
        limit_s = self._limit_s(usual, longest_s)
        given_s = attempt_limits.attempt_time_s(limit_s, left_s)
        if given_s == left_s or self._secure_repeat(request):
            return given_s
        if self._may_be_long():
            return left_s
        if self._silent_replicas.may_stand_still(member):
            return given_s
        return left_s

    def _limit_s(self, usual: run_times.Run, longest_s: float) -> float:
        return attempt_limits.run_limit_s(
            usual,
            longest_s,
            self._route.objective_s,
            self._call.output_tokens,
        )

    def _may_be_long(self) -> bool:
        """Returns: whether the call may take longer than others of its route.

        A sound replica has stopped it before, or it has left one that spoke
        to others, or few others are known.
        """
        return (
            bool(self._record.stopped_at)
            or self._silent_replicas.left_speaking
            or not self._shared.run_times.is_established(self._route.name)
        )

    def _secure_repeat(self, request: replica_choice.SelectionRequest) -> bool:
        """Returns: whether another attempt will follow if this one is stopped.

        The retry budget keeps room for it.
        """
        return (
            self._attempts.counted + 1 < self._route.max_attempts
            and self._shared.fleet.has_usable(
                request, self._record.tried, time.monotonic()
            )
            and self._charges.secure()
        )


def make_attempt_time(
    shared: shared_parts.Shared,
    call: calls.Call,
    route: traffic.Route,
    call_attempts: attempts.Attempts,
    charges: repeat_charges.RepeatCharges,
    record: call_record.CallRecord,
    silent: silent_replicas.SilentReplicas,
) -> AttemptTime:
    return AttemptTime(
        shared, call, route, call_attempts, charges, record, silent
    )
