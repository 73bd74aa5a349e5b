"""Decides which calls a gateway still takes while it stops."""

import time

from papayalink.coordination import run_times
from papayalink.state import traffic


class Stopping:
    """The planned stop of a gateway, once it has begun.

    A caller that is refused at once loses a round trip, and another entry
    serves it. One whose call is begun and can't end loses the time that the
    call ran, and does not know what became of it.

    Args:
        times: times that recent calls took.
    """

    __slots__ = ("_times", "_ends_at", "_late_from", "_reserve_s")

    def __init__(self, times: run_times.RunTimes) -> None:
        self._times = times
        self._ends_at: float | None = None
        self._late_from = float("inf")
        self._reserve_s = 0.0

    @property
    def begun(self) -> bool:
        return self._ends_at is not None

    def begin(
        self,
        ends_at: float,
        late_from: float = float("inf"),
        reserve_s: float = 0.0,
    ) -> None:
        """Begin the stop.

        Args:
            ends_at: monotonic time by which calls have to end.
            late_from: monotonic time from which calls are late.
            reserve_s: time before `ends_at` by which late calls are to end.
        """
        self._ends_at = ends_at
        self._late_from = late_from
        self._reserve_s = reserve_s

    def may_end(
        self,
        route: traffic.Route,
        output_tokens: int,
        wait_s: float,
        allowed_s: float,
    ) -> bool:
        """Returns: whether a call can be expected to end before the process.

        A call that may run once is begun only if it would end even as slowly
        as the slowest of the recent ones. One that may be repeated goes on
        elsewhere if it is cut, so that the median is enough. A late call has
        to end by the slowest in any case, and sooner than the process by as
        long as a sound replica may be silent: its caller could have come to
        another entry. Without recent calls, each takes all the time that it
        may take.

        Args:
            output_tokens: largest number of tokens that it may generate.
            wait_s: predicted time to its first token, 0 if there is none.
            allowed_s: time left until its deadline, the earlier one of its
                caller's and its route's.
        """
        if self._ends_at is None:
            return True
        now = time.monotonic()
        left_s = self._ends_at - now
        if allowed_s <= left_s:
            return True
        late = now >= self._late_from
        if late:
            left_s -= self._reserve_s
        run = (
            self._times.slowest(route.name)
            if late or route.repeat is traffic.RepeatPolicy.ONCE
            else self._times.typical(route.name)
        )
        if run is None:
            return False
        first_s = max(run.first_s, wait_s)
        return first_s + run.token_s * output_tokens <= left_s


def make_stopping(times: run_times.RunTimes) -> Stopping:
    return Stopping(times)
