"""Clock of the machine and a manual clock for tests."""

import time


class Clock:
    """Monotonic clock that also counts the time in which the VM is paused."""

    __slots__ = ()

    def now(self) -> float:
        """Returns: seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns: seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when a test advances it."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Args:
            seconds: time to add, not negative.
        """
        if seconds < 0:
            raise ValueError("a monotonic clock cannot be moved back")
        self._now += seconds


def make_clock() -> Clock:
    """Returns: the clock of the machine."""
    return Clock()
