"""Recent values, kept in constant memory."""

import math


class TwoWindows:
    """Value of the current and of the previous window of time.

    Args:
        period_s: length of one window.
    """

    __slots__ = ("_period_s", "_since", "_current", "_previous")

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._since: float | None = None
        self._current = 0.0
        self._previous = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add to the current window."""
        self._turn(now)
        self._current += amount

    def raise_to(self, value: float, now: float) -> None:
        """Keep the larger value in the current window."""
        self._turn(now)
        self._current = max(self._current, value)

    def largest(self, now: float) -> float:
        """Returns: the larger of both windows, at least 0."""
        self._turn(now)
        return max(self._current, self._previous, 0.0)

    def total(self, now: float) -> float:
        """Returns: both windows together."""
        self._turn(now)
        return self._current + self._previous

    def _turn(self, now: float) -> None:
        if self._since is None:
            self._since = now
        passed = now - self._since
        if passed < self._period_s:
            return
        skipped = passed >= 2 * self._period_s
        self._previous = 0.0 if skipped else self._current
        self._current = 0.0
        self._since = now


class Rate:
    """Amount a second, with older amounts fading exponentially.

    Args:
        fade_s: time in which an amount fades to 37%.
        now: seconds.
    """

    __slots__ = ("_fade_s", "_value", "_at")

    def __init__(self, fade_s: float, now: float) -> None:
        self._fade_s = fade_s
        self._value = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._value = self.at(now) + amount / self._fade_s
        self._at = now

    def at(self, now: float) -> float:
        """Returns: amount a second."""
        return self._value * math.exp(-max(0.0, now - self._at) / self._fade_s)


class TimeMean:
    """Mean and deviation over time, with older times fading exponentially.

    Only the time since the first value counts, so the mean does not have to
    grow from 0.

    Args:
        fade_s: time in which the past fades to 37%.
    """

    __slots__ = ("_fade_s", "_sum", "_squares", "_weight", "_value", "_at")

    def __init__(self, fade_s: float) -> None:
        self._fade_s = fade_s
        self._sum = 0.0
        self._squares = 0.0
        self._weight = 0.0
        self._value = 0.0
        self._at: float | None = None

    def set(self, value: float, now: float) -> None:
        """The value has changed."""
        self._sum, self._squares, self._weight = self._faded(now)
        self._value = value
        self._at = now

    def at(self, now: float) -> tuple[float, float]:
        """Returns: mean and standard deviation up to now."""
        total, squares, weight = self._faded(now)
        if weight <= 0:
            return self._value, 0.0
        mean = total / weight
        # Rounding may make the variance of a constant value negative.
        return mean, math.sqrt(max(0.0, squares / weight - mean * mean))

    def _faded(self, now: float) -> tuple[float, float, float]:
        """Returns: weighted sums of values and squares, and of weights."""
        if self._at is None:
            return 0.0, 0.0, 0.0
        old = math.exp(-max(0.0, now - self._at) / self._fade_s)
        new = 1.0 - old
        return (
            self._sum * old + self._value * new,
            self._squares * old + self._value * self._value * new,
            self._weight * old + new,
        )
