"""Records how long one call ran at replicas."""

import time

from papayalink.coordination import attempts
from papayalink.coordination import awaited
from papayalink.coordination import fleet_member
from papayalink.coordination import run_times
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt
from papayalink.state import traffic

# Part of a run in which its replica may say nothing to any call, and the
# longest such time. With a longer gap the replica may have stood still.
MAX_GAP_SHARE = 0.5
MAX_GAP_S = 1.5
# Part of the time that a run was given by which its stop may come earlier or
# later, and the least such time, for a round trip.
STOP_TOLERANCE = 0.1
MIN_STOP_TOLERANCE_S = 0.1
# Status with which replicas stop a run.
STOPPED_STATUS = 504


class RunNotes:
    """Tells the run times of a route what the attempts of a call show.

    Args:
        times: times that recent calls took.
    """

    __slots__ = ("_times", "_call", "_route")

    def __init__(
        self,
        times: run_times.RunTimes,
        call: calls.Call,
        route: traffic.Route,
    ) -> None:
        self._times = times
        self._call = call
        self._route = route

    def note_answered(
        self, first_s: float, took_s: float, waited: awaited.Awaited
    ) -> None:
        """Record a call that the caller has the whole answer of.

        Args:
            first_s: seconds until the head of the answer.
            waited: what its replica said meanwhile.
        """
        self._note(first_s, took_s)
        gap_s = waited.longest_gap_s(time.monotonic())
        if gap_s <= min(MAX_GAP_S, MAX_GAP_SHARE * took_s):
            self._note_at_work(first_s, took_s)

    def note_unanswered(
        self,
        member: fleet_member.Member,
        result: attempt.Unanswered,
        sent_at: float,
        given_ms: int,
        waited: awaited.Awaited,
        left: bool,
    ) -> bool:
        """Record an attempt without an answer for the caller.

        Args:
            given_ms: time that the replica was given.
            waited: what the replica said meanwhile.
            left: whether the call left the replica, which said nothing.
        Returns: whether the replica has stopped the run at that time.
        """
        now = time.monotonic()
        took_s = now - sent_at
        ran_s = now - waited.sent_at
        stopped = (
            not left
            and _was_stopped(result, ran_s, given_ms / 1000)
            and waited.silent_s(now) <= MAX_GAP_SHARE * ran_s
        )
        if stopped:
            self._note_at_work(0.0, ran_s)
        if _shows_run_time(member, result, sent_at, took_s, given_ms):
            self._note(took_s, took_s)
        return stopped

    def _note(self, first_s: float, took_s: float) -> None:
        if self._call.last_event_id:
            # The allowed tokens are those of the whole stream.
            return
        run = run_times.Run(took_s)
        if self._route.stream:
            tokens = max(1, self._call.output_tokens)
            run = run_times.Run(first_s, (took_s - first_s) / tokens)
        self._times.note(self._route.name, run)

    def _note_at_work(self, first_s: float, took_s: float) -> None:
        if not self._route.stream:
            first_s = took_s
        self._times.note_at_work(
            self._route.name, first_s, took_s, time.monotonic()
        )


def _was_stopped(
    result: attempt.Unanswered, ran_s: float, given_s: float
) -> bool:
    """Returns: whether a run ended at the time that its replica was given.

    One that reads a call late stops it late.
    """
    match result.outcome:
        case attempts.Failed(status) if status != STOPPED_STATUS:
            return False
        case attempts.Failed() | attempts.Lost():
            tolerance_s = max(MIN_STOP_TOLERANCE_S, STOP_TOLERANCE * given_s)
            return abs(ran_s - given_s) <= tolerance_s
    return False


def _shows_run_time(
    member: fleet_member.Member,
    result: attempt.Unanswered,
    sent_at: float,
    took_s: float,
    given_ms: int,
) -> bool:
    """Returns: whether a run takes at least as long as an attempt took.

    The time at a replica that has been silent all the while says nothing of
    its runs.
    """
    match result.outcome:
        case attempts.Expired():
            return member.spoke_at > sent_at
        case attempts.Failed():
            return 1000 * took_s >= given_ms
    return False


def make_run_notes(
    times: run_times.RunTimes, call: calls.Call, route: traffic.Route
) -> RunNotes:
    return RunNotes(times, call, route)
