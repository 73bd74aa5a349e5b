"""Thread pool for blocking calls outside the event loop."""

from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent import threadpool
import result

Value = TypeVar("Value")


class BlockingPool:
    """Runs blocking functions in threads, so that other greenlets run on.

    Args:
        max_threads: maximum number of calls that run at once; further calls
            wait for a free thread.
    """

    __slots__ = ("_pool",)

    def __init__(self, max_threads: int) -> None:
        self._pool = threadpool.ThreadPool(max_threads, gevent.get_hub())

    def run(
        self,
        function: Callable[..., Value],
        *arguments: object,
        **keywords: object,
    ) -> Value:
        """Call a function in a thread; this greenlet waits for the result.

        Returns: the return value of the function. An exception of the
            function is raised here.
        """
        outcome = self._pool.apply(
            _capture_outcome, (function, arguments, keywords)
        )
        if isinstance(outcome, result.Err):
            raise outcome.err_value
        return outcome.ok_value


def _capture_outcome(
    function: Callable[..., Value], arguments: tuple, keywords: dict
) -> result.Result[Value, Exception]:
    # An exception that leaves a thread would have its traceback printed by
    # the pool, so it is returned and raised in the calling greenlet.
    try:
        return result.Ok(function(*arguments, **keywords))
    except Exception as error:
        return result.Err(error)


def make_pool(max_threads: int) -> BlockingPool:
    return BlockingPool(max_threads)
