"""Starts an agent's queued requests on its upstream."""

from gevent import event
import msgspec

from papayalink import clock as clocks
from papayalink.coordination import work_queue


class Granted(msgspec.Struct, frozen=True):
    """The request may run; it holds a slot until `Dispatcher.finish`."""


class Declined(msgspec.Struct, frozen=True):
    """The request was not run."""

    reason: str
    retry_after_s: float = 1.0


Grant = Granted | Declined


class Dispatcher:
    """Manages the queue and the slots of one upstream.

    Args:
        work_queue: decides the order of requests.
        clock: time of pushes and pops.
        slots: number of requests that the upstream runs at once.
    """

    __slots__ = (
        "_queue",
        "_clock",
        "_slots",
        "_waiting",
        "_running",
        "_paused",
    )

    def __init__(
        self,
        work_queue: work_queue.WorkQueue,
        clock: clocks.Clock,
        slots: int,
    ) -> None:
        self._queue = work_queue
        self._clock = clock
        self._slots = slots
        self._waiting: dict[str, _Pending] = {}
        self._running: dict[str, work_queue.Item] = {}
        self._paused = False

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    @property
    def running(self) -> int:
        return len(self._running)

    @property
    def tokens(self) -> int:
        """Expected tokens of all queued and running requests."""
        queued = (pending.item for pending in self._waiting.values())
        return sum(item.tokens for item in (*queued, *self._running.values()))

    def set_slots(self, slots: int) -> None:
        self._slots = slots
        self._start_next()

    def pause(self) -> None:
        """Start no requests until resume(); running ones continue."""
        self._paused = True

    def resume(self) -> None:
        self._paused = False
        self._start_next()

    def submit(self, item: work_queue.Item) -> event.AsyncResult:
        """Queue a request.

        Returns: result that is set to a Grant when the request may run or is
            refused.
        """
        pending = _Pending(item)
        pushed = self._queue.push(item, self._clock.now())
        if pushed.accepted:
            self._waiting[item.request_id] = pending
        else:
            pending.set(Declined("queue is full"))
        self.decline(pushed.shed, "queue is full")
        self._start_next()
        return pending

    def finish(self, item: work_queue.Item, tokens: int) -> None:
        """Release the slot of a request.

        Args:
            tokens: tokens of service that it used.
        """
        if self._running.pop(item.request_id, None) is not None:
            self._queue.finish(item, tokens, self._clock.now())
        self._start_next()

    def cancel(self, item: work_queue.Item) -> None:
        """Remove from the queue a request whose caller is gone.

        If it was granted meanwhile, its slot is released.
        """
        if self._queue.remove(item.request_id) is not None:
            self._waiting.pop(item.request_id, None)
        else:
            self.finish(item, 0)

    def expire(self) -> None:
        """Refuse requests whose deadline has passed; called by a timer."""
        expired = self._queue.take_expired(self._clock.now())
        self.decline(expired, "deadline passed in the queue")

    def decline(self, items: list[work_queue.Item], reason: str) -> None:
        """Refuse requests that were removed from the queue."""
        for item in items:
            self._decline(item, reason)

    def _start_next(self) -> None:
        while not self._paused and len(self._running) < self._slots:
            item = self._queue.pop(self._clock.now())
            if item is None:
                break
            self._running[item.request_id] = item
            self._waiting.pop(item.request_id).set(Granted())
        self.expire()

    def _decline(self, item: work_queue.Item, reason: str) -> None:
        pending = self._waiting.pop(item.request_id, None)
        if pending is not None:
            pending.set(Declined(reason))


class _Pending(event.AsyncResult):
    """Result of a pending request, which is set to its Grant."""

    __slots__ = ("item",)

    def __init__(self, item: work_queue.Item) -> None:
        super().__init__()
        self.item = item


def make_dispatcher(
    work_queue: work_queue.WorkQueue, clock: clocks.Clock, slots: int
) -> Dispatcher:
    return Dispatcher(work_queue, clock, slots)
