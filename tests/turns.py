"""Time in which this process runs, for tests that a standstill may meet."""

import contextlib

import gevent

_TURN_S = 0.01


class Turns:
    """Counts turns of the loop of about 0.01 s.

    A time in which the process stands still is one turn, however long it is.
    """

    def __init__(self):
        self._count = 0

    @property
    def passed_s(self):
        """Seconds in which the process has run; at most what has passed."""
        return self._count * _TURN_S

    def run(self):
        while True:
            gevent.sleep(_TURN_S)
            self._count += 1


@contextlib.contextmanager
def counting():
    """Gives turns that are counted within."""
    turns = Turns()
    task = gevent.spawn(turns.run)
    try:
        yield turns
    finally:
        task.kill()
