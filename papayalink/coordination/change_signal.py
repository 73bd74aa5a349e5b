"""Wakes tasks that wait for a change of something shared."""

from gevent import event


class ChangeSignal:
    """A change that any number of tasks wait for."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = event.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event.clear()

    def wait(self, timeout_s: float) -> bool:
        """Returns: whether there was a change within the time-out."""
        return self._event.wait(timeout_s)


def make_change_signal() -> ChangeSignal:
    return ChangeSignal()
