"""Links of one agent to the stores: order of transfers, measured rates."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import itertools
import typing

from gevent import event

from papayalink.coordination import links

# Rate of a link before its first transfer. An optimistic one, so that the
# first restores are tried and measure the link.
ASSUMED_BYTES_PER_S = 100 * 2**20
# Length of a piece before the first one was moved; depends on the model.
ASSUMED_PIECE_BYTES = 2**20

_Result = typing.TypeVar("_Result")


class StoreLink:
    """Link to one store; carries one transfer at a time."""

    __slots__ = ("_estimate", "_queue", "_turns", "_names", "_restores")

    def __init__(self) -> None:
        self._estimate = links.RateEstimate(ASSUMED_BYTES_PER_S)
        self._queue = links.LinkQueue()
        self._turns: dict[str, event.Event] = {}
        self._names = itertools.count()
        self._restores = 0

    @property
    def estimate(self) -> links.RateEstimate:
        """Rate at which pieces are read."""
        return self._estimate

    def queued_bytes(self, priority: links.Priority) -> int:
        """Returns: bytes that go before a new transfer of this class."""
        return self._queue.queued_bytes(priority)

    @contextlib.contextmanager
    def restoring(self) -> Iterator[None]:
        """Start no copy, also not between the pieces of a restore."""
        self._restores += 1
        try:
            yield
        finally:
            self._restores -= 1
            self._start_next()

    def carry(
        self,
        workspace: str,
        priority: links.Priority,
        size_bytes: int,
        move: Callable[[], _Result],
    ) -> _Result:
        """Wait for the link, then run a transfer of one piece.

        A caller that is killed gives up its turn.

        Args:
            workspace: workspace of the piece.
            priority: class of the transfer.
            size_bytes: expected length of the encoded piece.
            move: does the transfer.
        Returns: what move returned.
        """
        name = str(next(self._names))
        turn = self._turns[name] = event.Event()
        self._queue.add(links.Transfer(name, workspace, priority, size_bytes))
        self._start_next()
        try:
            turn.wait()
            return move()
        finally:
            del self._turns[name]
            if not self._queue.remove(name):
                self._queue.finish()
            self._start_next()

    def _start_next(self) -> None:
        if self._restores and not self._queue.queued_bytes(
            links.Priority.OTHER_RESTORE
        ):
            return
        transfer = self._queue.next_transfer(0.0)
        if transfer is not None:
            self._turns[transfer.name].set()


class StoreLinks:
    """Links to all stores, by name.

    Attributes:
        piece_bytes: length of the last encoded piece that was moved.
    """

    __slots__ = ("piece_bytes", "_links")

    def __init__(self) -> None:
        self.piece_bytes = ASSUMED_PIECE_BYTES
        self._links: dict[str, StoreLink] = {}

    def link(self, store: str) -> StoreLink:
        """Returns: the link to a store."""
        return self._links.setdefault(store, StoreLink())

    def choose(
        self, copies: Iterable[str], priority: links.Priority
    ) -> str | None:
        """Choose the store that delivers a piece first.

        Args:
            copies: stores that hold the piece, the preferred one first.
            priority: class of the transfer.
        Returns: its name, None when there is no copy.
        """
        names = list(copies)
        return links.choose_store(
            names,
            {name: self.link(name).estimate for name in names},
            {name: self.link(name).queued_bytes(priority) for name in names},
            self.piece_bytes,
        )

    def dump(self) -> dict[str, float]:
        """Returns: rate of each link in bytes a second."""
        return {
            name: link.estimate.bytes_per_s
            for name, link in self._links.items()
        }
