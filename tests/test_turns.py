"""Tests of the time in which the process of a test runs."""

import os
import subprocess
import sys
import time

import gevent
import pytest

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


def _hold():
    subprocess.run([sys.executable, "-c", _HOLD, str(os.getpid())], check=True)


@pytest.mark.parametrize("error", [None, ValueError, gevent.Timeout])
def test_play_is_repeated_after_a_standstill(error):
    plays = []

    def play():
        plays.append(len(plays))
        if len(plays) == 1:
            _hold()
            if error is not None:
                raise error
        return plays[-1]

    assert turns.play_undisturbed(play, 0.2) >= 1


@pytest.mark.parametrize("error", [ValueError, gevent.Timeout])
def test_play_that_fails_without_a_standstill_is_not_repeated(error):
    """Guards against a fault that is seen once and played away."""
    plays = []

    def play():
        plays.append(len(plays))
        raise error

    with pytest.raises(error):
        turns.play_undisturbed(play, _HELD_S)
    assert len(plays) == 1


def test_last_play_counts():
    def play():
        _hold()
        raise ValueError

    with pytest.raises(ValueError):
        turns.play_undisturbed(play, 0.2, tries=2)
