"""How long calls run, by what recent calls of the same route took."""

import collections
import statistics

import msgspec

from papayalink.coordination import windows

# Calls of one route that are remembered.
MAX_RUNS = 32
# Routes that are remembered; operators replace routes by others.
MAX_ROUTES = 1024
# How long the longest run of a route is remembered at least, whatever comes
# after it; up to twice as long.
LONGEST_PERIOD_S = 60.0


class Run(msgspec.Struct, frozen=True):
    """The time that one call took at a replica, in seconds.

    Attributes:
        first_s: until the head of a stream, or until the end of any other
            answer.
        token_s: after that, for each output token that was allowed; for the
            whole of a stream whose tokens are not known.
    """

    first_s: float
    token_s: float = 0.0

    def total_s(self, output_tokens: int) -> float:
        """Returns: the time of a run with so many tokens, 0 if not known."""
        return self.first_s + self.token_s * max(1, output_tokens)


class _Longest:
    """Longest times of the runs of one route, each kept for a while."""

    __slots__ = ("first_s", "total_s")

    def __init__(self) -> None:
        self.first_s = windows.TwoWindows(LONGEST_PERIOD_S)
        self.total_s = windows.TwoWindows(LONGEST_PERIOD_S)


class RunTimes:
    """The recent calls of each route."""

    __slots__ = ("_runs", "_longest")

    def __init__(self) -> None:
        self._runs: dict[str, collections.deque[Run]] = {}
        self._longest: dict[str, _Longest] = {}

    def note(self, route: str, run: Run) -> None:
        """Remember a call that has ended."""
        runs = self._runs.get(route)
        if runs is None:
            if len(self._runs) >= MAX_ROUTES:
                self._runs.pop(next(iter(self._runs)))
            runs = self._runs[route] = collections.deque(maxlen=MAX_RUNS)
        runs.append(run)

    def note_at_work(
        self, route: str, first_s: float, total_s: float, now: float
    ) -> None:
        """Remember for how long a replica is known to have worked on a call.

        Unlike `note`, a call that lay at a replica that stood still is left
        out, and one that was stopped counts up to its stop.

        Args:
            first_s: see `Run`.
            total_s: until the end of the answer.
        """
        longest = self._longest.get(route)
        if longest is None:
            if len(self._longest) >= MAX_ROUTES:
                self._longest.pop(next(iter(self._longest)))
            longest = self._longest[route] = _Longest()
        longest.first_s.raise_to(first_s, now)
        longest.total_s.raise_to(total_s, now)

    def is_established(self, route: str) -> bool:
        """Returns: whether enough runs are known to tell a long one."""
        return len(self._runs.get(route, ())) == MAX_RUNS

    def longest_first_s(self, route: str, now: float) -> float:
        """Returns: longest recent time until something came, 0 without any."""
        longest = self._longest.get(route)
        return 0.0 if longest is None else longest.first_s.largest(now)

    def longest_s(self, route: str, now: float) -> float:
        """Returns: longest recent time until the end, 0 without any."""
        longest = self._longest.get(route)
        return 0.0 if longest is None else longest.total_s.largest(now)

    def slowest(self, route: str, min_runs: int = 1) -> Run | None:
        """Returns: the longest times of the recent calls.

        None with fewer than min_runs calls, which is 1 or more.
        """
        runs = self._runs.get(route, ())
        if len(runs) < min_runs:
            return None
        return Run(
            max(run.first_s for run in runs),
            max(run.token_s for run in runs),
        )

    def typical(self, route: str) -> Run | None:
        """Returns: the median times of the recent calls, None without any."""
        runs = self._runs.get(route)
        return runs and Run(
            statistics.median(run.first_s for run in runs),
            statistics.median(run.token_s for run in runs),
        )

    def usual(self, route: str) -> Run | None:
        """Returns: times that most recent calls do not exceed, None if none.

        Up to a quarter of the calls may have waited for replicas that stood
        still.
        """
        runs = self._runs.get(route)
        return runs and Run(
            _upper_quartile([run.first_s for run in runs]),
            _upper_quartile([run.token_s for run in runs]),
        )


def _upper_quartile(values: list[float]) -> float:
    return sorted(values)[(3 * len(values) - 1) // 4]


def make_run_times() -> RunTimes:
    return RunTimes()
