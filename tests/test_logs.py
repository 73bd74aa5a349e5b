"""Tests of bounded logs."""

import io
import threading
import time

from papayalink import logs


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class _Lines:
    """Takes the place of the logger."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))


def _log():
    clock = _Clock()
    log = logs.get_decision_log(clock)
    log._log = _Lines()
    return log, log._log.lines, clock


def test_lines_a_second_are_bounded_and_the_rest_is_counted():
    log, lines, clock = _log()
    for _ in range(logs.PASSED_LINES_PER_S + 10):
        log.passed("call_answered", call="c")
    assert len(lines) == logs.PASSED_LINES_PER_S
    clock.now = 1.0
    log.passed("call_answered", call="c")
    assert lines[-1][1]["unwritten"] == 10
    log.passed("call_answered", call="c")
    assert "unwritten" not in lines[-1][1]


def test_failures_have_a_bound_of_their_own():
    # A flood of good calls must not hide the failed one.
    log, lines, _ = _log()
    for _ in range(logs.PASSED_LINES_PER_S * 3):
        log.passed("call_answered")
    log.failed("call_not_answered", call="c")
    assert lines[-1] == ("call_not_answered", {"call": "c"})


class _Blocked(io.StringIO):
    """A reader that takes nothing until it is let."""

    def __init__(self):
        super().__init__()
        self.begun = threading.Event()
        self.free = threading.Event()
        self.texts = []

    def write(self, text):
        self.begun.set()
        self.free.wait(10)
        self.texts.append(text)
        return len(text)


def test_a_reader_that_stands_still_blocks_nobody():
    stream = _Blocked()
    output = logs._Output(stream)
    output.write("first\n")
    assert stream.begun.wait(10)
    for _ in range(logs.MAX_WAITING_LINES + 7):
        output.write("line\n")
    stream.free.set()
    while not any("dropped" in text for text in stream.texts):
        time.sleep(0.01)
    assert "log_lines_dropped lines=7\n" in "".join(stream.texts)
