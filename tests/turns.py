"""Time in which this process runs, for tests that a standstill may meet."""

import contextlib
import time

import gevent
from gevent import monkey

_TURN_S = 0.01
# A turn that is late by less than this is one of a process that runs.
_MIN_STANDSTILL_S = 0.05
_sleep_in_thread = monkey.get_original("time", "sleep")
_start_thread = monkey.get_original("_thread", "start_new_thread")


class _Witness:
    """Takes turns, and notes the time in which it could not.

    Time in which the process used a processor is not lost.
    """

    def __init__(self, sleep):
        self._sleep = sleep
        self._lost_s = 0.0
        self._ended = False
        self._begin_turn()

    @property
    def lost_s(self):
        return self._lost_s + self._lost_in_turn_s()

    def take_turns(self):
        while not self._ended:
            self._sleep(_TURN_S)
            self._lost_s += self._lost_in_turn_s()
            self._begin_turn()

    def end(self):
        self._ended = True

    def _begin_turn(self):
        self._turn = (time.monotonic(), time.process_time())

    def _lost_in_turn_s(self):
        began_at, used_s = self._turn
        passed_s = time.monotonic() - began_at
        lost_s = passed_s - (time.process_time() - used_s) - _TURN_S
        return lost_s if lost_s >= _MIN_STANDSTILL_S else 0.0


class Running:
    """Time in which this process runs.

    It stands still while neither its loop nor another thread takes a turn,
    and it uses no processor: it waits for one, or is stopped. A loop that is
    busy or blocked is one of a process that runs.
    """

    def __init__(self):
        self._began_at = time.monotonic()
        self._in_loop = _Witness(gevent.sleep)
        self._in_thread = _Witness(_sleep_in_thread)
        self._task = gevent.spawn(self._in_loop.take_turns)
        _start_thread(self._in_thread.take_turns, ())

    @property
    def lost_s(self):
        """Seconds in which the process stood still."""
        return min(self._in_loop.lost_s, self._in_thread.lost_s)

    @property
    def run_s(self):
        """Seconds that have passed, without those that were lost."""
        return time.monotonic() - self._began_at - self.lost_s

    def end(self):
        self._in_thread.end()
        self._task.kill()


@contextlib.contextmanager
def watching():
    """Gives the time in which this process runs within."""
    running = Running()
    try:
        yield running
    finally:
        running.end()


def play_undisturbed(play, max_lost_s, tries=5):
    """Play again if the process stood still for longer during a play.

    The last try counts as it is.

    Returns: what the play returns.
    """
    for _ in range(tries - 1):
        with watching() as running:
            try:
                result = play()
            except (Exception, gevent.Timeout):
                if running.lost_s <= max_lost_s:
                    raise
                continue
            if running.lost_s <= max_lost_s:
                return result
    return play()
