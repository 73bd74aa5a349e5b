"""Records how long one call ran at replicas."""

import time

from papayalink.coordination import attempts
from papayalink.coordination import awaited
from papayalink.coordination import fleet_member
from papayalink.coordination import run_times
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt
from papayalink.state import traffic

# Part of a run in which its replica may say nothing to any call. With a longer
# gap the replica may have stood still.
MAX_GAP_SHARE = 0.5
# Part of the time that a run was given by which its stop may come earlier or
# later.
STOP_TOLERANCE = 0.1


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
        now = time.monotonic()
        if waited.longest_gap_s(now) <= MAX_GAP_SHARE * took_s:
            self._note_at_work(first_s, took_s)

    def note_unanswered(
        self,
        member: fleet_member.Member,
        result: attempt.Unanswered,
        sent_at: float,
        given_ms: int,
        waited: awaited.Awaited,
    ) -> bool:
        """Record an attempt without an answer for the caller.

        Args:
            given_ms: time that the replica was given.
            waited: what the replica said meanwhile.
        Returns: whether the replica has stopped the run at that time.
        """
        now = time.monotonic()
        took_s = now - sent_at
        stopped = _was_stopped(result, took_s, given_ms) and (
            waited.silent_s(now) <= MAX_GAP_SHARE * took_s
        )
        if stopped:
            self._note_at_work(0.0, took_s)
        if _shows_run_time(member, result, sent_at, took_s, given_ms):
            self._note(took_s, took_s)
        return stopped

    def _note(self, first_s: float, took_s: float) -> None:
        if not self._call.last_event_id:
            run = self._make_run(first_s, took_s)
            self._times.note(self._route.name, run)

    def _note_at_work(self, first_s: float, took_s: float) -> None:
        if not self._call.last_event_id:
            run = self._make_run(first_s, took_s)
            now = time.monotonic()
            self._times.note_at_work(self._route.name, run, now)

    def _make_run(self, first_s: float, took_s: float) -> run_times.Run:
        """Returns: the run, of which a stream has tokens beyond its head.

        Not for a stream that is taken up: the allowed tokens are those of the
        whole stream.
        """
        if not self._route.stream:
            return run_times.Run(took_s)
        tokens = max(1, self._call.output_tokens)
        return run_times.Run(first_s, (took_s - first_s) / tokens)


def _was_stopped(
    result: attempt.Unanswered, took_s: float, given_ms: int
) -> bool:
    """Returns: whether a run ended at the time that its replica was given.

    One that reads a call late stops it late.
    """
    match result.outcome:
        case attempts.Failed() | attempts.Lost():
            given_s = given_ms / 1000
            return abs(took_s - given_s) <= STOP_TOLERANCE * given_s
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
