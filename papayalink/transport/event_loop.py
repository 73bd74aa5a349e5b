"""An asyncio event loop in a native thread beside the gevent hub."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import sys
import threading
from typing import Any

import gevent
from gevent import event

# Each RPC passes between the two threads four times, and after each system
# call a thread waits up to this long for the other one to release the GIL.
# With the default of 5 ms, a call to a process whose hub is busy for 40% of
# the time takes a third longer.
SWITCH_INTERVAL_S = 0.0005


class EventLoopThread:
    """Runs coroutines for greenlets, and callbacks in the hub."""

    __slots__ = ("_loop", "_thread", "_callbacks", "_watcher")

    def __init__(self) -> None:
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._loop = asyncio.new_event_loop()
        self._callbacks: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._run_callbacks)
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="rpc", daemon=True
        )
        self._thread.start()

    def run_coroutine(
        self, coroutine: Coroutine[Any, Any, Any]
    ) -> event.AsyncResult:
        """Start a coroutine in the event loop; called from a greenlet.

        Returns: an AsyncResult that receives its result or exception.
        """
        result = event.AsyncResult()
        self._loop.call_soon_threadsafe(self._create_task, coroutine, result)
        return result

    def call_in_hub(self, callback: Callable[[], None]) -> None:
        """Run a callback in the hub; called from the loop's thread."""
        self._callbacks.append(callback)
        self._watcher.send()

    async def run_in_greenlet(
        self, function: Callable[[Any], Any], argument: Any
    ) -> Any:
        """Run a function in a greenlet and await its result.

        The function does not run when the caller has given up before the hub
        starts it: an overloaded process that still worked for such callers
        would never catch up.
        """
        future = self._loop.create_future()

        def settle_future(setter: Callable[[Any], None], value: Any) -> None:
            def settle() -> None:
                if not future.done():
                    setter(value)

            self._loop.call_soon_threadsafe(settle)

        def run() -> None:
            if future.cancelled():
                return
            try:
                value = function(argument)
            except Exception as error:
                settle_future(future.set_exception, error)
            else:
                settle_future(future.set_result, value)

        self.call_in_hub(lambda: gevent.spawn(run))
        return await future

    def _create_task(
        self, coroutine: Coroutine[Any, Any, Any], result: event.AsyncResult
    ) -> None:
        task = self._loop.create_task(coroutine)

        def settle(finished_task: asyncio.Task) -> None:
            if finished_task.cancelled():
                error: BaseException | None = TimeoutError("cancelled")
            else:
                error = finished_task.exception()
            if error is not None:
                self.call_in_hub(lambda: result.set_exception(error))
            else:
                value = finished_task.result()
                self.call_in_hub(lambda: result.set(value))

        task.add_done_callback(settle)

    def _run_callbacks(self) -> None:
        while self._callbacks:
            self._callbacks.popleft()()


_shared_thread: EventLoopThread | None = None


def get_event_loop_thread() -> EventLoopThread:
    """Returns: the shared thread of this process, started on first use."""
    global _shared_thread
    if _shared_thread is None:
        _shared_thread = EventLoopThread()
    return _shared_thread
