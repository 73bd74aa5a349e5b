"""A value that readers see with a delay."""

import collections


class LaggedValue:
    """Value that readers see as it was some time ago.

    Args:
        lag_s: age of the value that readers see, in seconds.
    """

    __slots__ = ("_lag_s", "_history")

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._history = collections.deque()

    def record(self, now: float, value: object) -> None:
        """Set the value that holds from `now` on."""
        if self._history and self._history[-1][1] == value:
            return
        self._history.append((now, value))
        self._trim(now)

    def read(self, now: float) -> object:
        """Returns: the value that held `lag_s` seconds before `now`.

        If no value was set by then, the first value is returned.
        """
        self._trim(now)
        return self._history[0][1]

    def _trim(self, now):
        while (
            len(self._history) > 1 and self._history[1][0] <= now - self._lag_s
        ):
            self._history.popleft()
