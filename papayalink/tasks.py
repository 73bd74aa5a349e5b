"""Long-running tasks of a process."""

from collections.abc import Callable
import os
import sys
import traceback

import gevent

from papayalink import logs

EXIT_TASK_FAILED = 70


def spawn(function: Callable, *arguments: object) -> gevent.Greenlet:
    """Start a task that the process cannot do without.

    The process ends when the task fails: a process that runs on without one
    of its tasks looks healthy and does not do its work.
    """
    task = gevent.spawn(function, *arguments)
    task.link_exception(_end_process)
    return task


def _end_process(task: gevent.Greenlet) -> None:
    lines = traceback.format_exception(*task.exc_info)
    logs.get_logger().error("task_failed", traceback="".join(lines)[-2000:])
    sys.stderr.flush()
    # Other tasks must not go on with half of the process gone.
    os._exit(EXIT_TASK_FAILED)
