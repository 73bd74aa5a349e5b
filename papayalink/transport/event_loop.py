"""An asyncio loop in a native thread beside the gevent hub."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import sys
import threading
from typing import Any

import gevent
from gevent import event

# Each call passes between the two threads four times, and after each system
# call a thread waits up to this long for the other one. With the default of
# 5 ms, a call to a process whose hub is busy for 40% of the time took a third
# longer.
SWITCH_INTERVAL_S = 0.0005


class EventLoopThread:
    """Runs coroutines for greenlets and callbacks for coroutines."""

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

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> event.AsyncResult:
        """Run a coroutine in the loop; called in a greenlet.

        Returns: an AsyncResult that takes its result or error.
        """
        result = event.AsyncResult()
        self._loop.call_soon_threadsafe(self._spawn, coroutine, result)
        return result

    def post(self, callback: Callable[[], None]) -> None:
        """Run a callback in the hub; called in the loop's thread."""
        self._callbacks.append(callback)
        self._watcher.send()

    async def run_in_greenlet(
        self, function: Callable[[Any], Any], argument: Any
    ) -> Any:
        """Await a function that runs in a greenlet.

        It does not run when its caller has given up before the hub gets to
        it: a process that works for such callers never catches up.
        """
        future = self._loop.create_future()

        def finish(call: Callable[[Any], None], value: Any) -> None:
            def settle() -> None:
                if not future.done():
                    call(value)

            self._loop.call_soon_threadsafe(settle)

        def run() -> None:
            if future.cancelled():
                return
            try:
                value = function(argument)
            except Exception as error:
                finish(future.set_exception, error)
            else:
                finish(future.set_result, value)

        self.post(lambda: gevent.spawn(run))
        return await future

    def _spawn(
        self, coroutine: Coroutine[Any, Any, Any], result: event.AsyncResult
    ) -> None:
        task = self._loop.create_task(coroutine)

        def settle(done: asyncio.Task) -> None:
            if done.cancelled():
                error: BaseException | None = TimeoutError("cancelled")
            else:
                error = done.exception()
            if error is not None:
                self.post(lambda: result.set_exception(error))
            else:
                value = done.result()
                self.post(lambda: result.set(value))

        task.add_done_callback(settle)

    def _run_callbacks(self) -> None:
        while self._callbacks:
            self._callbacks.popleft()()


_shared: EventLoopThread | None = None


def get_event_loop_thread() -> EventLoopThread:
    """Returns: the loop thread of this process, started on first use."""
    global _shared
    if _shared is None:
        _shared = EventLoopThread()
    return _shared
