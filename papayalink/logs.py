"""Logs: one line of key=value pairs for each event."""

from collections.abc import Callable
import logging
import queue
import sys
import threading
import time
from typing import TextIO

import structlog

# Lines that wait for a slow reader of standard output; beyond these, lines
# are dropped and counted.
MAX_WAITING_LINES = 5_000
# Lines a second on single calls, successes and failures apart. Failures come
# first when a reader follows one call.
PASSED_LINES_PER_S = 40
FAILED_LINES_PER_S = 200


class _Output:
    """Writes lines in a thread, so that no task waits for the reader."""

    __slots__ = ("_lines", "_dropped", "_stream", "__weakref__")

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_WAITING_LINES)
        self._dropped = 0
        threading.Thread(target=self._run, name="log", daemon=True).start()

    def write(self, text: str) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Lines are flushed by the thread."""

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            while not self._lines.empty():
                lines.append(self._lines.get())
            if self._dropped:
                lines.append(
                    f"event=log_lines_dropped lines={self._dropped}\n"
                )
                self._dropped = 0
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except OSError:
                # Nobody reads any more, and there is no other place to tell.
                return


def configure(process: str, role: str, stream: TextIO | None = None) -> None:
    """Set up logging for this process.

    Args:
        process: name of the process, on every line.
        role: role of the process, on every line.
        stream: written to in a thread; standard error, without a thread,
            when it is not given.
    """
    output = sys.stderr if stream is None else _Output(stream)

    # Context variables would not reach the greenlets started later.
    def add_identity(logger: object, method: str, event: dict) -> dict:
        return {"process": process, "role": role, **event}

    structlog.configure(
        processors=[
            add_identity,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                sort_keys=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )


def get_logger(**fields: object) -> structlog.BoundLogger:
    """Returns: a logger whose lines carry the given fields."""
    return structlog.get_logger().bind(**fields)


class DecisionLog:
    """Lines on single calls, bounded in number.

    A line that was written carries in `unwritten` how many of its kind were
    left out before it.

    Args:
        now: monotonic seconds.
    """

    __slots__ = ("_log", "_now", "_kinds")

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._log = get_logger()
        self._now = now
        # Second, lines written in it, and lines left out, by kind.
        self._kinds = {True: [0, 0, 0], False: [0, 0, 0]}

    def passed(self, event: str, **fields: object) -> None:
        """Log a call that went well."""
        self._write(True, PASSED_LINES_PER_S, event, fields)

    def failed(self, event: str, **fields: object) -> None:
        """Log a failure, a refusal or what led to it."""
        self._write(False, FAILED_LINES_PER_S, event, fields)

    def _write(self, good: bool, limit: int, event: str, fields: dict) -> None:
        state = self._kinds[good]
        second = int(self._now())
        if second != state[0]:
            state[0] = second
            state[1] = 0
        if state[1] >= limit:
            state[2] += 1
            return
        state[1] += 1
        if state[2]:
            fields["unwritten"] = state[2]
            state[2] = 0
        self._log.info(event, **fields)


def get_decision_log(
    now: Callable[[], float] = time.monotonic,
) -> DecisionLog:
    return DecisionLog(now)
