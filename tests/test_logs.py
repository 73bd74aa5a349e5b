"""Tests of the limits of logging."""

import errno
import io
import subprocess
import sys
import threading
import time

from papayalink import logs
from papayalink import tasks


class _FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class _FakeLogger:
    """Logger that records its lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))


def _log():
    clock = _FakeClock()
    log = logs.get_call_log(clock)
    log._log = _FakeLogger()
    return log, log._log.lines, clock


def test_lines_a_second_are_bounded_and_the_rest_is_counted():
    log, lines, clock = _log()
    for _ in range(logs.MAX_PASSED_LINES_PER_S + 10):
        log.passed("call_answered", call="c")
    assert len(lines) == logs.MAX_PASSED_LINES_PER_S
    clock.now = 1.0
    log.passed("call_answered", call="c")
    assert lines[-1][1]["unwritten"] == 10
    log.passed("call_answered", call="c")
    assert "unwritten" not in lines[-1][1]


def test_failures_have_a_bound_of_their_own():
    # Guards against a flood of successful calls that hides a failed one.
    log, lines, _ = _log()
    for _ in range(logs.MAX_PASSED_LINES_PER_S * 3):
        log.passed("call_answered")
    log.failed("call_not_answered", call="c")
    assert lines[-1] == ("call_not_answered", {"call": "c"})


class _BlockedStream(io.StringIO):
    """Stream whose reader takes nothing until `may_write` is set."""

    def __init__(self):
        super().__init__()
        self.write_started = threading.Event()
        self.may_write = threading.Event()
        self.texts = []

    def write(self, text):
        self.write_started.set()
        self.may_write.wait(10)
        self.texts.append(text)
        return len(text)


def test_blocked_reader_does_not_block_the_writers():
    stream = _BlockedStream()
    writer = logs._ThreadedWriter(stream)
    writer.write("first\n")
    assert stream.write_started.wait(10)
    for _ in range(logs.MAX_QUEUED_LINES + 7):
        writer.write("line\n")
    stream.may_write.set()
    while not any("dropped" in text for text in stream.texts):
        time.sleep(0.01)
    assert "log_lines_dropped lines=7\n" in "".join(stream.texts)


def test_lines_written_right_before_the_end_are_not_lost():
    """Guards against a stop whose last lines, and its reason, are missing."""
    stream = io.StringIO()
    writer = logs._ThreadedWriter(stream)
    for number in range(100):
        writer.write(f"{number}\n")
    writer.close()
    assert stream.getvalue().splitlines() == [str(n) for n in range(100)]


def test_close_does_not_wait_for_a_reader_that_takes_nothing():
    stream = _BlockedStream()
    writer = logs._ThreadedWriter(stream)
    writer.write("first\n")
    assert stream.write_started.wait(10)
    writer.close()
    assert not stream.texts
    stream.may_write.set()


def test_logged_error_has_its_traceback_in_one_line():
    """Guards against failed calls and stops whose cause is in no log."""
    program = (
        "from papayalink import logs\n"
        "logs.configure('entry-1', 'entry')\n"
        "try:\n"
        "    raise ValueError('x' * 5_000 + ' at the end')\n"
        "except ValueError:\n"
        "    logs.get_logger().exception('call_failed')\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True
    )
    (line,) = result.stderr.decode().splitlines()
    assert "event=call_failed" in line
    assert "at the end" in line
    assert len(line) < logs.MAX_TRACEBACK_CHARS + 500


class _FullStream(io.StringIO):
    """Stream whose disk is full at the first write."""

    def __init__(self):
        super().__init__()
        self.refused = threading.Event()

    def write(self, text):
        if not self.refused.is_set():
            self.refused.set()
            raise OSError(errno.ENOSPC, "no space left")
        return super().write(text)


def test_lines_are_written_again_after_a_full_disk():
    """Guards against a log that ends with the first refused line."""
    stream = _FullStream()
    writer = logs._ThreadedWriter(stream)
    writer.write("refused\n")
    assert stream.refused.wait(20)
    writer.write("written\n")
    writer.close()
    assert stream.getvalue().endswith("written\n")


def _run_with_a_full_log(tmp_path, program):
    """Run a program whose standard error refuses writes until full(False)."""
    path = tmp_path / "log"
    head = (
        "import resource, sys\n"
        "from papayalink import logs, tasks\n"
        "hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]\n"
        "def full(is_full):\n"
        "    limit = 0 if is_full else hard\n"
        "    resource.setrlimit(resource.RLIMIT_FSIZE, (limit, hard))\n"
        "logs.configure('entry-1', 'entry')\n"
        "full(True)\n"
    )
    with open(path, "wb") as log:
        ended = subprocess.run(
            [sys.executable, "-c", head + program], stderr=log, timeout=60
        )
    return ended.returncode, path.read_text()


def test_refused_line_does_not_fail_its_writer(tmp_path):
    """Guards against tasks that end because a line could not be written."""
    code, text = _run_with_a_full_log(
        tmp_path,
        "logs.get_logger().info('refused')\n"
        "full(False)\n"
        "logs.get_logger().info('written')\n",
    )
    assert code == 0
    assert "event=written" in text


def test_failed_task_ends_the_process_without_a_log(tmp_path):
    """Guards against a process that runs on because it could not log."""
    code, _ = _run_with_a_full_log(
        tmp_path,
        "import gevent\n"
        "def fail(): raise ValueError('failed')\n"
        "tasks.spawn(fail)\n"
        "gevent.sleep(1)\n",
    )
    assert code == tasks.EXIT_TASK_FAILED
