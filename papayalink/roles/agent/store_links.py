"""Links from one agent to the stores: transfer order, measured rates."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import itertools
import typing

from gevent import event

from papayalink.coordination import links

# Rate of a link before its first transfer. Optimistic, so that the first
# restores use the link and thereby measure it.
ASSUMED_BYTES_PER_S = 100 * 2**20
# Length of a piece before the first transfer; depends on the model.
ASSUMED_PIECE_BYTES = 2**20

_Result = typing.TypeVar("_Result")


class StoreLink:
    """Link to one store, which runs one transfer at a time."""

    __slots__ = (
        "_estimate",
        "_queue",
        "_turns",
        "_transfer_names",
        "_hold_count",
    )

    def __init__(self) -> None:
        self._estimate = links.RateEstimate(ASSUMED_BYTES_PER_S)
        self._queue = links.LinkQueue()
        self._turns: dict[str, event.Event] = {}
        self._transfer_names = itertools.count()
        self._hold_count = 0

    @property
    def estimate(self) -> links.RateEstimate:
        """Estimated rate at which pieces are read."""
        return self._estimate

    def queued_bytes(self, priority: links.Priority) -> int:
        """Returns: bytes queued ahead of a new transfer of this class."""
        return self._queue.queued_bytes(priority)

    @contextlib.contextmanager
    def hold_copies(self) -> Iterator[None]:
        """Hold back copies, also between the pieces of a restore."""
        self._hold_count += 1
        try:
            yield
        finally:
            self._hold_count -= 1
            self._start_next()

    def run_transfer(
        self,
        workspace: str,
        priority: links.Priority,
        size_bytes: int,
        transfer_piece: Callable[[], _Result],
    ) -> _Result:
        """Wait for the link, then run a transfer of one piece.

        A calling greenlet that is killed leaves the queue or frees the link.

        Args:
            workspace: workspace of the piece.
            priority: class of the transfer.
            size_bytes: expected length of the encoded piece.
            transfer_piece: function that transfers the piece.
        Returns: the result of transfer_piece.
        """
        name = str(next(self._transfer_names))
        turn = self._turns[name] = event.Event()
        self._queue.add(links.Transfer(name, workspace, priority, size_bytes))
        self._start_next()
        try:
            turn.wait()
            return transfer_piece()
        finally:
            del self._turns[name]
            if not self._queue.remove(name):
                self._queue.finish()
            self._start_next()

    def _start_next(self) -> None:
        if self._hold_count and not self._queue.queued_bytes(
            links.Priority.OTHER_RESTORE
        ):
            return
        transfer = self._queue.next_transfer(0.0)
        if transfer is not None:
            self._turns[transfer.name].set()


class StoreLinks:
    """Links to all stores, by name.

    Attributes:
        piece_bytes: length of the encoded piece transferred last.
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
        """Choose the store that is expected to deliver a piece first.

        Args:
            copies: stores that hold the piece, the preferred one first.
            priority: class of the transfer.
        Returns: name of the store, None if no store holds the piece.
        """
        names = list(copies)
        return links.choose_store(
            names,
            {name: self.link(name).estimate for name in names},
            {name: self.link(name).queued_bytes(priority) for name in names},
            self.piece_bytes,
        )

    def dump(self) -> dict[str, float]:
        """Returns: rate of each link in bytes per second."""
        return {
            name: link.estimate.bytes_per_s
            for name, link in self._links.items()
        }
