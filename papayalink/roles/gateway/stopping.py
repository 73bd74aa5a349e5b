"""Decides which calls a gateway still takes while it stops."""

import time

from papayalink.coordination import run_times
from papayalink.state import traffic

# A sound replica may be silent for a second or so and go on. Callers leave
# their streams after a gap of two seconds at the earliest.
MAX_SILENCE_S = 2.0
# Upper bound of that as a part of the stop, which may be short.
MAX_SILENCE_SHARE = 0.3
# Fewer runs of a route say little of how slow the next one may be. A process
# that has just started has seen one or two, and often short ones.
MIN_RUNS = 3


class Stopping:
    """The planned stop of a gateway, once it has begun.

    A caller that is refused at once loses a round trip, and another entry
    serves it. One whose call is begun and can't end loses the time that the
    call ran, and does not know what became of it.

    Args:
        times: times that recent calls took.
    """

    __slots__ = ("_times", "_ends_at", "_silence_s")

    def __init__(self, times: run_times.RunTimes) -> None:
        self._times = times
        self._ends_at: float | None = None
        self._silence_s = MAX_SILENCE_S

    @property
    def begun(self) -> bool:
        return self._ends_at is not None

    def begin(self, ends_at: float) -> None:
        """Args: ends_at: monotonic time by which calls have to end."""
        self._ends_at = ends_at
        left_s = ends_at - time.monotonic()
        self._silence_s = min(MAX_SILENCE_S, MAX_SILENCE_SHARE * left_s)

    def may_end(
        self,
        route: traffic.Route,
        output_tokens: int,
        wait_s: float,
        allowed_s: float,
    ) -> bool:
        """Returns: whether a call can be expected to end before the process.

        A call that may run once, or a stream, is begun only if it would end
        even as slowly as the slowest of the recent ones and with a silence
        of its replica: a stream whose head has been sent can only be cut at
        the end. Any other call is answered then and goes on elsewhere, so
        that the median is enough. Without enough recent calls, each takes
        all the time that it may take.

        Args:
            output_tokens: largest number of tokens that it may generate.
            wait_s: predicted time to its first token, 0 if there is none.
            allowed_s: time left until its deadline, the earlier one of its
                caller's and its route's.
        """
        if self._ends_at is None:
            return True
        left_s = self._ends_at - time.monotonic()
        if allowed_s <= left_s:
            return True
        if route.stream or route.repeat is traffic.RepeatPolicy.ONCE:
            run = self._times.slowest(route.name, MIN_RUNS)
            left_s -= self._silence_s
        else:
            run = self._times.typical(route.name)
        if run is None:
            return False
        late_s = max(0.0, wait_s - run.first_s)
        run_s = run.total_s(output_tokens)
        if route.stream or route.repeat is traffic.RepeatPolicy.ONCE:
            now = time.monotonic()
            run_s = max(run_s, self._times.longest_s(route.name, now))
        return late_s + run_s <= left_s


def make_stopping(times: run_times.RunTimes) -> Stopping:
    return Stopping(times)
