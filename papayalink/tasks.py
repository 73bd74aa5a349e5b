"""Long-running tasks whose failure ends the process."""

from collections.abc import Callable
import os
import sys
import traceback

import gevent

from papayalink import logs

EXIT_TASK_FAILED = 70
# Time after which a task begins again.
RESTART_DELAY_S = 0.5


def spawn(function: Callable, *arguments: object) -> gevent.Greenlet:
    """Start a task that is essential to the process.

    The process exits when the task fails: if it ran on without one of its
    tasks, it would look healthy without doing its work.
    """
    task = gevent.spawn(function, *arguments)
    task.link_exception(_end_process)
    return task


def spawn_again(function: Callable, *arguments: object) -> gevent.Greenlet:
    """Start an essential task that begins again when it fails.

    For tasks that follow files and other processes. What these say must not
    end the calls of this process, which goes on with what it has.
    """

    def run() -> None:
        while True:
            try:
                function(*arguments)
                return
            except Exception:
                logs.get_logger().exception(
                    "task_begins_again", task=function.__qualname__
                )
                gevent.sleep(RESTART_DELAY_S)

    return spawn(run)


def _end_process(task: gevent.Greenlet) -> None:
    try:
        lines = traceback.format_exception(*task.exc_info)
        text = "".join(lines)[-2000:]
        logs.get_logger().error("task_failed", traceback=text)
        sys.stderr.flush()
        logs.close()
    finally:
        # Exit at once, without clean-up: other tasks must not run on without
        # the failed one.
        os._exit(EXIT_TASK_FAILED)
