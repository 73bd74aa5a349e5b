"""Timer service that delivers messages to the queues of tasks."""

import heapq
import itertools
from typing import Any

import gevent
from gevent import event
from gevent import queue

from papayalink import clock as clocks
from papayalink import tasks


class Subscription:
    """One timer of a task.

    Attributes:
        inbox: queue of the task.
        message: put into the queue at each delivery.
        period_s: seconds between deliveries, None for a single delivery.
    """

    __slots__ = ("inbox", "message", "period_s", "_cancelled")

    def __init__(
        self, inbox: queue.Queue, message: Any, period_s: float | None
    ) -> None:
        self.inbox = inbox
        self.message = message
        self.period_s = period_s
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        return self._cancelled

    def cancel(self) -> None:
        """Stop deliveries; a message that is already queued stays there."""
        self._cancelled = True


class TimerService:
    """Delivers messages to queues when they are due.

    Args:
        clock: source of the current time.
    """

    __slots__ = ("_clock", "_heap", "_sequence", "_wake", "_task")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._wake = event.Event()
        self._task: gevent.Greenlet | None = None

    def every(
        self, period_s: float, inbox: queue.Queue, message: Any
    ) -> Subscription:
        """Deliver a message once every period.

        Args:
            period_s: seconds between deliveries.
            inbox: queue of the subscribing task.
            message: put into the queue at each delivery.
        Returns: the subscription.
        """
        subscription = Subscription(inbox, message, period_s)
        self._push(self._clock.now() + period_s, subscription)
        return subscription

    def after(
        self, delay_s: float, inbox: queue.Queue, message: Any
    ) -> Subscription:
        """Deliver a message once, after a delay in seconds."""
        subscription = Subscription(inbox, message, None)
        self._push(self._clock.now() + delay_s, subscription)
        return subscription

    def start(self) -> None:
        """Start the task that delivers due messages."""
        if self._task is None:
            self._task = tasks.spawn(self._run)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
            self._task = None

    def deliver_due(self) -> float | None:
        """Deliver all messages that are due.

        A periodic message is delivered once even if several periods passed.

        Returns: seconds until the next delivery, None if there is none.
        """
        now = self._clock.now()
        while self._heap and self._heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self._heap)
            if subscription.cancelled:
                continue
            subscription.inbox.put(subscription.message)
            if subscription.period_s is not None:
                self._push(now + subscription.period_s, subscription)
        if not self._heap:
            return None
        return self._heap[0][0] - now

    def _push(self, due_at_s: float, subscription: Subscription) -> None:
        heapq.heappush(
            self._heap, (due_at_s, next(self._sequence), subscription)
        )
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.clear()
            self._wake.wait(self.deliver_due())


def make_timer_service(clock: clocks.Clock) -> TimerService:
    """Returns: a started timer service."""
    service = TimerService(clock)
    service.start()
    return service
