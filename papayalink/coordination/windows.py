"""Moving sums, rates and means in constant memory."""

import collections
import math


class TwoWindows:
    """Values of the current and the previous time window.

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
        self._advance(now)
        self._current += amount

    def raise_to(self, value: float, now: float) -> None:
        """Keep the larger value in the current window."""
        self._advance(now)
        self._current = max(self._current, value)

    def largest(self, now: float) -> float:
        """Returns: the larger of both windows, at least 0."""
        self._advance(now)
        return max(self._current, self._previous, 0.0)

    def total(self, now: float) -> float:
        """Returns: sum of both windows."""
        self._advance(now)
        return self._current + self._previous

    def _advance(self, now: float) -> None:
        if self._since is None:
            self._since = now
        passed = now - self._since
        if passed < self._period_s:
            return
        skipped = passed >= 2 * self._period_s
        self._previous = 0.0 if skipped else self._current
        self._current = 0.0
        self._since = now


class SlidingSum:
    """Sum of the amounts of a period that ends now.

    Amounts are kept in cells, each of which is a small part of the period.

    Args:
        period_s: length of the period.
    """

    _CELLS = 20

    __slots__ = ("_period_s", "_cell_s", "_cells")

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._cell_s = period_s / self._CELLS
        # [time of the first amount, time of the last one, sum]
        self._cells: collections.deque[list[float]] = collections.deque()

    def add(self, amount: float, now: float) -> None:
        self._drop_old(now)
        if self._cells and now - self._cells[-1][0] < self._cell_s:
            self._cells[-1][1] = now
            self._cells[-1][2] += amount
        else:
            self._cells.append([now, now, amount])

    def at_least(self, now: float) -> float:
        """Returns: sum of the cells that are wholly in the period."""
        self._drop_old(now)
        oldest = now - self._period_s
        return sum(sum_ for first, _, sum_ in self._cells if first >= oldest)

    def at_most(self, now: float) -> float:
        """Returns: sum of the cells of which a part is in the period."""
        self._drop_old(now)
        return sum(sum_ for _, _, sum_ in self._cells)

    def _drop_old(self, now: float) -> None:
        while self._cells and self._cells[0][1] < now - self._period_s:
            self._cells.popleft()


class SlidingMax:
    """Largest of the values of a period that ends now.

    Args:
        period_s: length of the period.
    """

    __slots__ = ("_period_s", "_values")

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        # (value, when it was added last), each below the one before it.
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, value: float, now: float) -> None:
        self._drop_old(now)
        while self._values and self._values[-1][0] <= value:
            self._values.pop()
        self._values.append((value, now))

    def at(self, now: float) -> float:
        """Returns: the largest value, 0 without any."""
        self._drop_old(now)
        return self._values[0][0] if self._values else 0.0

    def _drop_old(self, now: float) -> None:
        while self._values and now - self._values[0][1] > self._period_s:
            self._values.popleft()


class Rate:
    """Amount a second, with exponential decay.

    Args:
        decay_s: time constant; an amount decays to 37% in this time.
        now: seconds.
    """

    __slots__ = ("_decay_s", "_value", "_at")

    def __init__(self, decay_s: float, now: float) -> None:
        self._decay_s = decay_s
        self._value = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._value = self.at(now) + amount / self._decay_s
        self._at = now

    def at(self, now: float) -> float:
        """Returns: amount a second."""
        return self._value * math.exp(
            -max(0.0, now - self._at) / self._decay_s
        )


class TimeWeightedMean:
    """Time-weighted mean and deviation of a value, with exponential decay.

    Only the time since the first value counts, so that the mean does not start
    from 0.

    Args:
        decay_s: time constant; a past value decays to 37% in this time.
    """

    __slots__ = ("_decay_s", "_sum", "_squares", "_weight", "_value", "_at")

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._sum = 0.0
        self._squares = 0.0
        self._weight = 0.0
        self._value = 0.0
        self._at: float | None = None

    def set(self, value: float, now: float) -> None:
        """Change the value from now on."""
        self._sum, self._squares, self._weight = self._decayed(now)
        self._value = value
        self._at = now

    def at(self, now: float) -> tuple[float, float]:
        """Returns: mean and standard deviation up to now."""
        total, squares, weight = self._decayed(now)
        if weight <= 0:
            return self._value, 0.0
        mean = total / weight
        # Rounding may make the variance of a constant value negative.
        return mean, math.sqrt(max(0.0, squares / weight - mean * mean))

    def _decayed(self, now: float) -> tuple[float, float, float]:
        """Returns: decayed sums of values, of squares and of weights."""
        if self._at is None:
            return 0.0, 0.0, 0.0
        old = math.exp(-max(0.0, now - self._at) / self._decay_s)
        new = 1.0 - old
        return (
            self._sum * old + self._value * new,
            self._squares * old + self._value * self._value * new,
            self._weight * old + new,
        )
