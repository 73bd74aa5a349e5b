"""Replicas that have been silent for longer than is expected of them."""

from collections.abc import Callable
import time

from papayalink.coordination import attempt_limits
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.roles.gateway import call_record
from papayalink.roles.gateway import shared as shared_parts
from papayalink.state import traffic

# A call stays at a silent replica if the others have been silent for this
# fraction of the time. Whatever made them silent may have done so to all.
MIN_SHARE_OF_SILENCE = 0.5
# A silent replica still gets a call this often, since nothing else may show
# that it goes on.
TRIAL_PERIOD_S = 1.0
# A silent replica may go on in time and answer. One that fails more of its
# calls than this is no better choice.
MAX_FAILURES = 0.3


class SilentReplicas:
    """Tells one call which replicas are silent.

    What is expected of a replica comes from the calls that wait for it, and
    from how long others of their routes took.
    """

    __slots__ = ("_shared", "_route", "_record", "_left_speaking")

    def __init__(
        self,
        shared: shared_parts.Shared,
        route: traffic.Route,
        record: call_record.CallRecord,
    ) -> None:
        self._shared = shared
        self._route = route
        self._record = record
        self._left_speaking = False

    @property
    def left_speaking(self) -> bool:
        """Whether the call has left a replica that spoke to others."""
        return self._left_speaking

    def note_left(self, member: fleet_member.Member) -> None:
        """Record that the call leaves a replica."""
        self._left_speaking = self.speaks(member)

    def limit_s(self) -> float:
        """Returns: longest silence that is expected, infinite if not known."""
        return self._silence_limit_s(self.longest_s())

    def usual_limit_s(self) -> float:
        """Returns: longest silence that is usual, infinite if not known."""
        return self._silence_limit_s(0.0)

    def _silence_limit_s(self, longest_s: float) -> float:
        usual = self._shared.run_times.usual(self._route.name)
        if usual is None:
            return float("inf")
        return attempt_limits.silence_limit_s(
            usual,
            longest_s,
            self._record.expected_s,
            self._route.objective_s,
        )

    def longest_s(self) -> float:
        """Returns: longest recent time until something came of the route.

        0 for a stream whose first token is predicted.
        """
        if self._route.stream and self._record.expected_s:
            return 0.0
        return self._shared.run_times.longest_first_s(
            self._route.name, time.monotonic()
        )

    def speaks(self, member: fleet_member.Member) -> bool:
        """Returns: whether a replica has said something as lately as usual."""
        limit_s = self.usual_limit_s()
        if limit_s == float("inf"):
            return False
        return time.monotonic() - member.spoke_at <= limit_s

    def may_stand_still(self, member: fleet_member.Member) -> bool:
        """Returns: whether a replica may read a call late.

        It is silent, or hasn't spoken since another one fell silent.
        """
        now = time.monotonic()
        silence_s = self._shortest_silence_s(member.replica.service, now)
        return silence_s is not None and now - member.spoke_at >= silence_s

    def may_read_late(self, member: fleet_member.Member) -> bool:
        """Returns: whether a replica may stand still, or run long calls.

        It has said nothing for longer than usual, or hasn't spoken since
        another one has said nothing for so long.
        """
        now = time.monotonic()
        quiet_s = min(
            (
                each.silent_s(now)
                for each in self._shared.fleet.members(member.replica.service)
                if each.is_quiet(now)
            ),
            default=None,
        )
        return quiet_s is not None and now - member.spoke_at >= quiet_s

    def choose(
        self,
        request: replica_choice.SelectionRequest,
        attempts_sent: int,
        left_silent: bool,
    ) -> replica_choice.Choice | None:
        """Choose a replica, for lack of others one that is silent.

        A call that has failed elsewhere may wait for a silent one.

        Args:
            attempts_sent: attempts of the call so far.
            left_silent: whether it has left a silent replica.
        """
        choice = None
        if not attempts_sent:
            choice = self._choose_speaking(request)
        elif left_silent:
            choice = self._choose_heard(request) or self.choose_instead(
                request, 0.0
            )
        for excluded in (self._record.tried, self._record.excluded):
            choice = choice or self._shared.fleet.choose(
                request, excluded, time.monotonic()
            )
        return choice

    def choose_instead(
        self, request: replica_choice.SelectionRequest, silent_s: float
    ) -> replica_choice.Choice | None:
        """Choose a replica for a call that is to leave a silent one.

        Args:
            silent_s: for how long that has been silent.
        Returns: None if the others are overdue, or silent for about as long.
        """
        now = time.monotonic()
        min_s = MIN_SHARE_OF_SILENCE * silent_s
        return self._choose_except(
            request, lambda member: member.is_silent(now, min_s)
        )

    def _choose_heard(
        self, request: replica_choice.SelectionRequest
    ) -> replica_choice.Choice | None:
        """Choose a replica that has spoken since another one fell silent."""
        now = time.monotonic()
        silence_s = self._shortest_silence_s(request.service, now)
        if silence_s is None:
            return None
        return self._choose_except(
            request, lambda member: now - member.spoke_at >= silence_s
        )

    def _shortest_silence_s(self, service: str, now: float) -> float | None:
        """Returns: seconds since a replica fell silent, None if none is."""
        return min(
            (
                member.silent_s(now)
                for member in self._shared.fleet.members(service)
                if member.is_silent(now)
            ),
            default=None,
        )

    def _choose_speaking(
        self, request: replica_choice.SelectionRequest
    ) -> replica_choice.Choice | None:
        """Choose a replica that isn't silent, or is due for a trial.

        Returns: None if there is none, or it fails too many calls.
        """
        now = time.monotonic()
        choice = self._choose_except(
            request,
            lambda member: member.is_silent(now)
            and now - member.sent_at < TRIAL_PERIOD_S,
        )
        if choice is None or choice.member.failures > MAX_FAILURES:
            return None
        return choice

    def _choose_except(
        self,
        request: replica_choice.SelectionRequest,
        is_left_out: Callable[[fleet_member.Member], bool],
    ) -> replica_choice.Choice | None:
        fleet = self._shared.fleet
        excluded = set(self._record.tried)
        excluded.update(
            member.replica.replica_id
            for member in fleet.members(request.service)
            if is_left_out(member)
        )
        return fleet.choose(request, excluded, time.monotonic())


def make_silent_replicas(
    shared: shared_parts.Shared,
    route: traffic.Route,
    record: call_record.CallRecord,
) -> SilentReplicas:
    return SilentReplicas(shared, route, record)
