"""Tests of the time in which the process of a test runs."""

import os
import subprocess
import sys
import time

import gevent

from tests import turns

_HELD_S = 0.4
# A standstill of the machine takes the place of one turn.
_TURNS = 40
_HOLD = (
    "import os, signal, sys, time;"
    "os.kill(int(sys.argv[1]), signal.SIGSTOP);"
    f"time.sleep({_HELD_S});"
    "os.kill(int(sys.argv[1]), signal.SIGCONT)"
)


def test_time_for_which_the_process_is_held_is_lost():
    with turns.watching() as running:
        with subprocess.Popen(
            [sys.executable, "-c", _HOLD, str(os.getpid())]
        ) as holder:
            while holder.poll() is None:
                gevent.sleep(0.01)
        lost_s, run_s = running.lost_s, running.run_s
    assert lost_s >= _HELD_S - 0.1
    assert run_s >= 0


def test_sleep_is_no_standstill():
    with turns.watching() as running:
        for _ in range(_TURNS):
            gevent.sleep(_HELD_S / _TURNS)
        run_s = running.run_s
    assert run_s >= _HELD_S - 0.1


def _block():
    for _ in range(_TURNS):
        time.sleep(_HELD_S / _TURNS)


def _keep_busy():
    until = time.process_time() + _HELD_S
    while time.process_time() < until:
        pass


def test_blocked_loop_is_no_standstill():
    """Guards against a fault that is excused as one of the machine."""
    for hold_up in (_block, _keep_busy):
        with turns.watching() as running:
            hold_up()
            run_s = running.run_s
        assert run_s >= _HELD_S - 0.1


def test_play_is_repeated_after_a_standstill():
    plays = []

    def play():
        plays.append(len(plays))
        if len(plays) == 1:
            subprocess.run(
                [sys.executable, "-c", _HOLD, str(os.getpid())], check=True
            )
        return plays[-1]

    assert turns.play_undisturbed(play, max_lost_s=0.2) >= 1
