"""Ejection of slow or failing upstreams, with gradual return."""

import collections
import math
import statistics
from typing import Iterable

import msgspec

# Consecutive errors that eject an upstream. Single errors occur on healthy
# ones. With 5, a dead upstream that gets a few requests a second is ejected
# within the target of urgent work.
CONSECUTIVE_ERRORS = 5

# Consecutive errors that eject an upstream again while it returns.
RETURNING_ERRORS = 2

# An upstream is ejected when its median latency exceeds the median of the
# fleet by this ratio and by this difference. Different queues cause smaller
# differences between healthy upstreams. The minimum difference is for small
# latencies, which may differ by a large ratio without harm.
SLOW_RATIO = 3.0
SLOW_EXCESS_S = 0.2

# Latency samples kept for each upstream, and minimum number for a median.
MAX_SAMPLES = 32
MIN_SAMPLES = 8

# Older samples are ignored.
MAX_SAMPLE_AGE_S = 30.0

# Minimum number of upstreams with enough samples for a median of the fleet.
MIN_UPSTREAMS = 3

# Fraction of the replicas of a model that may be ejected at once. With a
# third, the load of the others stays below 1.5 times its usual value, and one
# of three replicas may be ejected.
MAX_EJECTED_SHARE = 0.34

# Duration of the first ejection, doubled with each further one, and maximum.
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0

# Time without an ejection after which the duration is reset.
RESET_S = 120.0

# Time over which the weight of a returning upstream rises to 1, and its
# initial weight. Its caches are cold, and all entries see its empty queue.
RAMP_S = 10.0
INITIAL_WEIGHT = 0.1


class Ejection(msgspec.Struct, frozen=True):
    """An upstream was ejected.

    Args:
        upstream: name.
        reason: `errors` or `latency`.
        until: when it may return.
    """

    upstream: str
    reason: str
    until: float


class _Upstream:
    """Observations of one upstream."""

    __slots__ = (
        "errors",
        "samples",
        "ejected_until",
        "ejected_at",
        "ejections",
        "returned_at",
    )

    def __init__(self) -> None:
        self.errors = 0
        self.samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )
        self.ejected_until = -math.inf
        self.ejected_at = -math.inf
        self.ejections = 0
        self.returned_at = -math.inf

    def ejected(self, now: float) -> bool:
        return now < self.ejected_until

    def weight(self, now: float) -> float:
        if self.ejected(now):
            return 0.0
        since = max(self.ejected_until, self.returned_at)
        progress = (now - since) / RAMP_S
        if progress >= 1.0:
            return 1.0
        return INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * progress

    def latency(self, now: float) -> float | None:
        recent = [
            value for at, value in self.samples if at > now - MAX_SAMPLE_AGE_S
        ]
        if len(recent) < MIN_SAMPLES:
            return None
        return statistics.median(recent)


class Outliers:
    """Outlier detection for the replicas of one model, at one process.

    Args:
        max_ejected_share: fraction of the replicas that may be ejected at
            once.
    """

    __slots__ = ("_upstreams", "_max_ejected_share")

    def __init__(self, max_ejected_share: float = MAX_EJECTED_SHARE) -> None:
        self._upstreams: dict[str, _Upstream] = {}
        self._max_ejected_share = max_ejected_share

    def record(
        self, upstream: str, latency_s: float | None, now: float
    ) -> None:
        """Record the result of an attempt.

        Args:
            upstream: name; ignored unless it was passed to `evaluate`.
            latency_s: time to first token, without the time for restoring, or
                None when the upstream failed or did not respond. Refusals
                and errors of the caller must not be recorded.
            now: seconds.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if latency_s is None:
            state.errors += 1
        else:
            state.errors = 0
            state.samples.append((now, latency_s))

    def record_success(self, upstream: str) -> None:
        """Record an answer whose time to first token is not known."""
        state = self._upstreams.get(upstream)
        if state is not None:
            state.errors = 0

    def started(self, upstream: str, now: float) -> None:
        """Begin a slow start, for example after weights were loaded."""
        state = self._upstreams.setdefault(upstream, _Upstream())
        state.returned_at = now

    def evaluate(self, upstreams: Iterable[str], now: float) -> list[Ejection]:
        """Eject upstreams; to be called about twice a second.

        Args:
            upstreams: all replicas of the model that the process uses; the
                state of others is dropped.
            now: seconds.

        Returns:
            New ejections, worst first.
        """
        names = set(upstreams)
        self._upstreams = {
            name: self._upstreams.get(name) or _Upstream()
            for name in sorted(names)
        }
        allowed = math.floor(self._max_ejected_share * len(names))
        self._limit_ejected(allowed, now)
        free = allowed - sum(
            state.ejected(now) for state in self._upstreams.values()
        )
        ejections = []
        for name, reason in self._suspects(now)[: max(0, free)]:
            state = self._upstreams[name]
            self._eject(state, now)
            ejections.append(Ejection(name, reason, state.ejected_until))
        return ejections

    def weight(self, upstream: str, now: float) -> float:
        """Routing weight of an upstream.

        Args:
            upstream: name.
            now: seconds.

        Returns:
            0 while ejected, rising to 1 after its return.
        """
        state = self._upstreams.get(upstream)
        return state.weight(now) if state else 1.0

    def ejected(self, now: float) -> list[str]:
        """Returns: names of the upstreams that are ejected."""
        return [
            name
            for name, state in self._upstreams.items()
            if state.ejected(now)
        ]

    def _limit_ejected(self, allowed: int, now: float) -> None:
        """End the oldest ejections above the number allowed.

        The number falls when replicas of the model are removed.
        """
        ejected = sorted(
            (state.ejected_at, name)
            for name, state in self._upstreams.items()
            if state.ejected(now)
        )
        for _, name in ejected[: max(0, len(ejected) - allowed)]:
            self._upstreams[name].ejected_until = now

    def _suspects(self, now: float) -> list[tuple[str, str]]:
        """Returns: upstreams to eject, worst first, with the reason."""
        latencies = {
            name: state.latency(now)
            for name, state in self._upstreams.items()
            if not state.ejected(now)
        }
        medians = [value for value in latencies.values() if value is not None]
        slow_s = math.inf
        if len(medians) >= MIN_UPSTREAMS:
            median_s = statistics.median(medians)
            slow_s = max(SLOW_RATIO * median_s, median_s + SLOW_EXCESS_S)
        failing = []
        slow = []
        for name, latency_s in latencies.items():
            state = self._upstreams[name]
            returning = state.ejections and state.weight(now) < 1.0
            limit = RETURNING_ERRORS if returning else CONSECUTIVE_ERRORS
            if state.errors >= limit:
                failing.append((-state.errors, name))
            elif latency_s is not None and latency_s > slow_s:
                slow.append((-latency_s, name))
        return [(name, "errors") for _, name in sorted(failing)] + [
            (name, "latency") for _, name in sorted(slow)
        ]

    def _eject(self, state: _Upstream, now: float) -> None:
        if now > max(state.ejected_until, state.ejected_at) + RESET_S:
            state.ejections = 0
        duration_s = FIRST_EJECTION_S * 2.0 ** min(state.ejections, 10)
        state.ejections += 1
        state.ejected_at = now
        state.ejected_until = now + min(MAX_EJECTION_S, duration_s)
        # Earlier observations do not count after its return.
        state.errors = 0
        state.samples.clear()


class NeverEject:
    """Baseline: every upstream keeps its weight."""

    __slots__ = ()

    def evaluate(self, upstreams: Iterable[str], now: float) -> list[Ejection]:
        return []

    def weight(self, upstream: str, now: float) -> float:
        return 1.0
