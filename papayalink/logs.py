"""Logging: each event is one line of key=value pairs (logfmt)."""

import atexit
from collections.abc import Callable
import contextlib
import logging
import queue
import sys
import threading
import time
from typing import TextIO

import structlog

# Lines queued while the reader of the log stream is slow; further lines are
# dropped and counted.
MAX_QUEUED_LINES = 5_000
# Lines per second on single calls. Failures have a limit of their own, and a
# higher one, since a reader who follows one call needs these lines most.
MAX_PASSED_LINES_PER_S = 40
MAX_FAILED_LINES_PER_S = 200
# Longest traceback in a line.
MAX_TRACEBACK_CHARS = 2_000
# Time that the end of a process waits for a slow reader of the last lines.
CLOSE_TIMEOUT_S = 0.2


class _ThreadedWriter:
    """Writes lines in a thread, so that a slow reader blocks no greenlet."""

    __slots__ = ("_lines", "_dropped", "_stream", "_thread", "__weakref__")

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        # None ends the thread.
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a line, or drop and count it if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing: the thread flushes the stream."""

    def close(self) -> None:
        """Write the queued lines, within CLOSE_TIMEOUT_S."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            # The reader takes nothing.
            return
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        is_open = True
        while is_open:
            lines = [self._lines.get()]
            while not self._lines.empty():
                lines.append(self._lines.get())
            if None in lines:
                is_open = False
                lines = [line for line in lines if line is not None]
            if self._dropped:
                lines.append(
                    f"event=log_lines_dropped lines={self._dropped}\n"
                )
                self._dropped = 0
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except BrokenPipeError:
                # The reader of the stream is gone, so this cannot be logged
                # either.
                return
            except OSError:
                # The disk may have room again for later lines.
                continue


class _DirectWriter:
    """Writes lines at once, and omits those that the stream refuses."""

    __slots__ = ("_stream", "__weakref__")

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError):
            self._stream.write(text)

    def flush(self) -> None:
        with contextlib.suppress(OSError):
            self._stream.flush()


_threaded_writers: list[_ThreadedWriter] = []


def configure(process: str, role: str, stream: TextIO | None = None) -> None:
    """Set up logging for this process.

    Args:
        process: name of the process, added to every line.
        role: role of the process, added to every line.
        stream: stream to which a thread writes the lines; None for standard
            error, which is written to without a thread.
    """
    writer: _DirectWriter | _ThreadedWriter = _DirectWriter(sys.stderr)
    if stream is not None:
        writer = _ThreadedWriter(stream)
        _threaded_writers.append(writer)
        atexit.register(close)

    # A processor adds the identity, since context variables would not be
    # inherited by greenlets that start later.
    def add_identity(logger: object, method: str, event: dict) -> dict:
        return {"process": process, "role": role, **event}

    structlog.configure(
        processors=[
            add_identity,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            _shorten_exception,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                sort_keys=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(writer),
        cache_logger_on_first_use=True,
    )


def _shorten_exception(logger: object, method: str, event: dict) -> dict:
    """Keep the end of a traceback, where the error is."""
    if "exception" in event:
        event["exception"] = event["exception"][-MAX_TRACEBACK_CHARS:]
    return event


def close() -> None:
    """Write what is queued; called before the process ends."""
    while _threaded_writers:
        _threaded_writers.pop().close()


def get_logger(**fields: object) -> structlog.BoundLogger:
    """Returns: a logger that adds the given fields to every line."""
    return structlog.get_logger().bind(**fields)


class CallLog:
    """Rate-limited log of single calls.

    The first line after an omission has the field `unwritten`, the number of
    lines omitted before it. Successes and failures are counted separately.

    Args:
        now: returns monotonic seconds.
    """

    __slots__ = ("_log", "_now", "_counts_by_success")

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._log = get_logger()
        self._now = now
        # By success or failure: the current second, lines written in it, and
        # lines omitted since the last one written.
        self._counts_by_success = {True: [0, 0, 0], False: [0, 0, 0]}

    def passed(self, event: str, **fields: object) -> None:
        """Log a successful call."""
        self._write(True, MAX_PASSED_LINES_PER_S, event, fields)

    def failed(self, event: str, **fields: object) -> None:
        """Log a failure, a refusal or an event that led to it."""
        self._write(False, MAX_FAILED_LINES_PER_S, event, fields)

    def _write(
        self, is_success: bool, limit: int, event: str, fields: dict
    ) -> None:
        counts = self._counts_by_success[is_success]
        second = int(self._now())
        if second != counts[0]:
            counts[0] = second
            counts[1] = 0
        if counts[1] >= limit:
            counts[2] += 1
            return
        counts[1] += 1
        if counts[2]:
            fields["unwritten"] = counts[2]
            counts[2] = 0
        self._log.info(event, **fields)


def get_call_log(
    now: Callable[[], float] = time.monotonic,
) -> CallLog:
    return CallLog(now)
