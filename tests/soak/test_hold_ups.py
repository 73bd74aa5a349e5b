"""Tests of how it is noticed that processes wait for a processor."""

import contextlib
import os
import subprocess
import sys
import time

import gevent
import pytest

from soak import hold_ups

_BUSY = (
    "import os; os.sched_setaffinity(0, {{{cpu}}}); [0 for _ in iter(int, 1)]"
)


class _Process:
    """A process with id 7 whose threads have waited for these seconds."""

    def __init__(self):
        self.now = 100.0
        self.pid = 7
        self.waits = {}

    def watch(self):
        return hold_ups.HoldUps(
            lambda: {"g1": self.pid},
            lambda pid: dict(self.waits),
            lambda: self.now,
        )


@pytest.mark.parametrize(
    ("elapsed_s", "before", "after", "waited_s"),
    [
        (0.5, {7: 1.0}, {7: 1.4}, None),
        (0.5, {7: 1.0}, {7: 1.6}, 0.6),
        # What a thread has waited is counted when it runs again.
        (0.5, {7: 1.0}, {7: 5.0}, 4.0),
        # Threads that wait at the same time don't add up.
        (0.5, {7: 1.0, 8: 1.0}, {7: 1.4, 8: 1.4}, None),
        (0.5, {7: 1.0, 8: 1.0}, {7: 1.0, 8: 1.7}, 0.7),
        # A short part of a long time.
        (4.0, {7: 1.0}, {7: 2.9}, None),
        (4.0, {7: 1.0}, {7: 3.1}, 2.1),
        # Threads that have just begun, and have ended.
        (0.5, {7: 1.0}, {7: 1.0, 8: 9.0}, None),
        (0.5, {7: 1.0, 8: 9.0}, {7: 1.0}, None),
        (0.5, {7: 1.0}, {}, None),
    ],
)
def test_process_that_waits_is_noticed(elapsed_s, before, after, waited_s):
    """Guards against runs in which nothing tells what held members up."""
    process = _Process()
    held_up = process.watch()
    process.waits = before
    held_up.sample()
    assert held_up.last_ended_at(["g1"]) == float("-inf")
    process.waits = after
    process.now += elapsed_s
    held_up.sample()
    if waited_s is None:
        assert held_up.seen == []
        return
    (seen,) = held_up.seen
    assert (seen.process, seen.ended_at) == ("g1", 100.0 + elapsed_s)
    assert seen.waited_s == pytest.approx(waited_s)
    assert held_up.last_ended_at(["g1"]) == 100.0 + elapsed_s
    # That of one process does not excuse another one.
    assert held_up.last_ended_at(["a1"]) == float("-inf")


@contextlib.contextmanager
def _busy_processes(count):
    """Processes that share one processor."""
    cpu = min(os.sched_getaffinity(0))
    started = [
        subprocess.Popen([sys.executable, "-c", _BUSY.format(cpu=cpu)])
        for _ in range(count)
    ]
    try:
        yield [each.pid for each in started]
    finally:
        for each in started:
            each.kill()
            each.wait()


def test_kernel_counts_the_time_without_a_processor():
    """Guards against a count of anything else, such as of sleep."""
    with _busy_processes(2) as pids:
        while any(
            sum(hold_ups.read_waits(pid).values()) < 0.5 for pid in pids
        ):
            gevent.sleep(0.05)
    assert hold_ups.read_waits(pids[0]) == {}
    began_at = time.monotonic()
    before_s = hold_ups.read_waits(os.getpid())[os.getpid()]
    gevent.sleep(1.0)
    after_s = hold_ups.read_waits(os.getpid())[os.getpid()]
    awake_s = time.monotonic() - began_at - 1.0
    # The clocks may differ a little.
    assert 0.0 <= after_s - before_s <= awake_s + 0.01


def test_soak_that_stands_still_is_noticed():
    """Guards against pauses of the whole machine, which no process counts."""
    held_up = hold_ups.HoldUps(dict, hold_ups.read_waits, time.monotonic)
    held_up.note_own_delay(0.9 * hold_ups.MIN_WAIT_S)
    assert held_up.seen == []
    task = gevent.spawn(held_up.run)
    gevent.sleep(0.01)
    # The sleep of the task ends only after this.
    time.sleep(2 * hold_ups.MIN_WAIT_S)
    gevent.sleep(hold_ups.PERIOD_S)
    task.kill()
    assert held_up.seen[0].process == hold_ups.OWN_NAME
    assert held_up.seen[0].waited_s >= hold_ups.MIN_WAIT_S


def test_hold_ups_are_told_by_process():
    seen = [
        hold_ups.HoldUp("a2", 9.0, 3.0),
        hold_ups.HoldUp("a2", 0.6, 5.0),
        hold_ups.HoldUp("a1", 1.0, 6.0),
        hold_ups.HoldUp("a2", 0.7, 7.0),
    ]
    assert hold_ups.describe(seen, 4.0) == "a1 1.0 s, a2 1.3 s"
    assert hold_ups.describe(seen, 8.0) == ""
