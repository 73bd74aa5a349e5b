"""Blocking work in threads beside the event loop."""

from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent import threadpool
import result

Value = TypeVar("Value")


class BlockingPool:
    """Runs functions that block, so that other greenlets go on.

    Args:
        threads: most that run at once; further ones wait for their turn.
    """

    __slots__ = ("_pool",)

    def __init__(self, threads: int) -> None:
        self._pool = threadpool.ThreadPool(threads, gevent.get_hub())

    def run(
        self,
        function: Callable[..., Value],
        *arguments: object,
        **named: object,
    ) -> Value:
        """Run a function in a thread and wait for it in this greenlet.

        Returns: what it returns; raises what it raises.
        """
        outcome = self._pool.apply(_attempt, (function, arguments, named))
        if isinstance(outcome, result.Err):
            raise outcome.err_value
        return outcome.ok_value


def _attempt(
    function: Callable[..., Value], arguments: tuple, named: dict
) -> result.Result[Value, Exception]:
    # The pool prints the traceback of whatever is raised in a thread.
    try:
        return result.Ok(function(*arguments, **named))
    except Exception as error:
        return result.Err(error)


def make_pool(threads: int) -> BlockingPool:
    return BlockingPool(threads)
