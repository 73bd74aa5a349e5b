"""Signals to the programs while they start, and while they end.

The start of the interpreter, before the first line of a program, can't be
covered: signals have their default action then.
"""

import json
import random
import signal
import time

import pytest

from tests.processes import programs

# Seconds after the start of the interpreter. Most of a start is over after
# 0.3 s on an idle machine.
_RANDOM = random.Random(58)
_MOMENTS_S = [0.0] + [
    round(_RANDOM.uniform(earliest_s, 2 * earliest_s), 3)
    for earliest_s in (0.03, 0.06, 0.12, 0.24, 0.48)
]
_STARTED = "started"
_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT)
# What a process writes.
_ANSWERS = {signal.SIGHUP: "event=reload", signal.SIGUSR1: '"process":'}


@pytest.fixture
def start(tmp_path):
    running = []
    # Programs inherit signals that are ignored, as in a job of a shell.
    ignored = [
        number
        for number in _SIGNALS
        if signal.getsignal(number) is signal.SIG_IGN
    ]
    for number in ignored:
        signal.signal(number, signal.SIG_DFL)

    def start(role, reads_pipe=False):
        running.append(programs.Running(tmp_path, role, reads_pipe))
        running[-1].wait_imports()
        return running[-1]

    yield start
    for number in ignored:
        signal.signal(number, signal.SIG_IGN)
    for each in running:
        each.close()


@pytest.mark.parametrize("moment_s", _MOMENTS_S)
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
@pytest.mark.parametrize("role", programs.ROLES)
def test_reload_and_dump_do_not_end_a_process_that_starts(
    start, role, number, moment_s
):
    """Guards against a restart that a reload beside it ends for good."""
    running = start(role)
    time.sleep(moment_s)
    running.process.send_signal(number)
    running.wait_event(_STARTED)
    running.wait_text(_ANSWERS[number])
    assert running.process.poll() is None, running.log
    assert "Traceback" not in running.log


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
@pytest.mark.parametrize("role", programs.ROLES)
def test_signals_from_the_start_to_the_end(start, role, number):
    """Guards against a death by signal that a stopped process reports."""
    running = start(role)
    running.send_until(_STARTED, number)
    running.process.terminate()
    running.send_until(None, number)
    assert running.wait_end() == 0, running.log[-2000:]
    assert "Traceback" not in running.log


@pytest.mark.parametrize("moment_s", _MOMENTS_S)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("role", programs.ROLES)
def test_process_that_starts_ends_when_it_is_told_to(
    start, role, number, moment_s
):
    """Guards against a stop that is lost, or looks like a fault."""
    running = start(role)
    time.sleep(moment_s)
    running.process.send_signal(number)
    status = running.wait_end()
    # By the signal itself while nothing is served.
    assert status == 0 or status == -number, running.log
    assert (status == 0) == ("event=stopped" in running.log), running.log
    assert "Traceback" not in running.log


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("role", programs.ROLES)
def test_stops_that_are_repeated_until_the_end(start, role, number):
    """Guards against an end with another status than that of a stop."""
    running = start(role)
    running.wait_event(_STARTED)
    running.send_until(None, number)
    assert running.wait_end() == 0, running.log
    assert "Traceback" not in running.log


@pytest.mark.parametrize("signals", [[], [signal.SIGHUP]])
@pytest.mark.parametrize("role", ["gateway", "authority"])
def test_settings_that_change_while_they_are_read(start, role, signals):
    """Guards against a change that a starting process misses."""
    running = start(role, reads_pipe=True)
    changed = running.settings | {"seeds": ["127.0.0.1:1", "127.0.0.1:2"]}
    with open(running.path, "w") as pipe:
        programs.write_settings(running.path, changed)
        for number in signals:
            running.process.send_signal(number)
        json.dump(running.settings, pipe)
    running.wait_text("event=reloaded changed=true")
    assert running.process.poll() is None, running.log
