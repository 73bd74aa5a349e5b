"""Snapshots of a replica's machine: when, and in parts."""

from collections.abc import Iterable
from collections.abc import Iterator
import gc

import gevent
from gevent import queue
import msgspec

from papayalink import logs
from papayalink.coordination import replica_loading
from papayalink.coordination.raft import messages
from papayalink.state import log_entries

# Encoding or restoring a part takes about 1 ms, so other greenlets get at
# least half of the processor meanwhile.
_PAUSE_S = 0.001


class Encoded(msgspec.Struct, frozen=True):
    """Delivered to the replica's queue once a snapshot is encoded.

    Attributes:
        attempt: number of the snapshot.
        index: last entry it covers.
        parts: as the machine gave them.
        error: what the machine raised instead.
    """

    attempt: int
    index: int
    parts: tuple[bytes, ...]
    error: Exception | None = None


class Snapshotter:
    """Decides on and encodes the snapshots of one replica.

    Args:
        settings: see replica_loading.Settings.
        machine: its snapshot is a view that later commands do not change.
        inbox: queue of the replica, which receives Encoded.
        stored: snapshot that the machine was restored from, if any.

    One snapshot at a time is encoded or stored.
    """

    __slots__ = (
        "_settings",
        "_machine",
        "_inbox",
        "_covered_index",
        "_stored_index",
        "_snapshot_bytes",
        "_applied_index",
        "_applied_bytes",
        "_attempts",
        "_encoding",
        "_storing",
        "_encoder_task",
        "_view",
    )

    def __init__(
        self,
        settings: replica_loading.Settings,
        machine: replica_loading.StateMachine,
        inbox: queue.SimpleQueue,
        stored: messages.Snapshot | None,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._inbox = inbox
        self._attempts = 0
        # Attempt that is being encoded, or waits in the queue.
        self._encoding: int | None = None
        self._storing = False
        self._encoder_task: gevent.Greenlet | None = None
        self._view: Iterator[bytes] | None = None
        self._applied_index = 0 if stored is None else stored.index
        self._reset_counters(() if stored is None else stored.parts)
        self._stored_index = self._applied_index
        _exempt_from_gc()

    @property
    def index(self) -> int:
        """Last entry covered by the newest snapshot stored or received."""
        return self._stored_index

    def on_applied(self, entry: log_entries.Entry) -> None:
        """Note an entry that the machine applied."""
        self._applied_index = entry.index
        self._applied_bytes += len(entry.data)

    def start_if_due(self) -> None:
        """Take a view of the machine and encode it in the background."""
        if self._encoding or self._storing or not self._is_due():
            return
        self._attempts += 1
        self._encoding = self._attempts
        self._reset_counters(())
        self._view = self._machine.snapshot()
        self._encoder_task = gevent.spawn(
            self._encode, self._encoding, self._covered_index, self._view
        )

    def take(self, encoded: Encoded) -> tuple[bytes, ...] | None:
        """Returns: the parts to store, None when they are out of date.

        Raises:
            Exception: what the machine raised.
        """
        if encoded.attempt != self._encoding:
            return None
        if encoded.error is not None:
            raise encoded.error
        self._encoding = None
        self._storing = True
        self._snapshot_bytes = _size(encoded.parts)
        return encoded.parts

    def on_stored(self, snapshot: messages.Snapshot) -> None:
        """Note that the log store holds the snapshot."""
        self._storing = False
        self._stored_index = max(self._stored_index, snapshot.index)

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replace the machine's state by a received snapshot.

        Other greenlets run between the parts and see the state before it.
        A snapshot that is being encoded is given up, as the log no longer
        holds the entries that follow it.
        """
        self.cancel()
        self._machine.restore(_with_pauses(snapshot.parts))
        self._applied_index = snapshot.index
        self._reset_counters(snapshot.parts)
        self._stored_index = snapshot.index
        _exempt_from_gc()

    def cancel(self) -> None:
        """Give up the snapshot that is being encoded, if there is one."""
        if self._encoder_task is not None:
            self._encoder_task.kill()
            # A greenlet that has not begun does not close it.
            self._view.close()
        self._encoding = None

    def _reset_counters(self, parts: tuple[bytes, ...]) -> None:
        self._covered_index = self._applied_index
        self._snapshot_bytes = _size(parts)
        self._applied_bytes = 0

    def _is_due(self) -> bool:
        entries = self._applied_index - self._covered_index
        return self._applied_bytes >= self._snapshot_bytes and (
            entries >= self._settings.snapshot_entries
            or self._applied_bytes >= self._settings.snapshot_bytes
        )

    def _encode(self, attempt: int, index: int, view: Iterator[bytes]) -> None:
        try:
            parts = tuple(_with_pauses(view))
            self._inbox.put(Encoded(attempt, index, parts))
        except Exception as error:
            logs.get_logger().exception("snapshot_failed", index=index)
            self._inbox.put(Encoded(attempt, index, (), error))
        finally:
            view.close()


def _with_pauses(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yields: the parts, with other greenlets running between them."""
    for part in parts:
        yield part
        gevent.sleep(_PAUSE_S)


def _exempt_from_gc() -> None:
    """Exempt the machine's tables and the log from garbage collection.

    A full collection visits every record of a table, which took 62 ms for a
    ledger of 600,000. A table that is exempt when it is empty stays so.
    """
    gc.freeze()


def _size(parts: tuple[bytes, ...]) -> int:
    return sum(len(part) for part in parts)


def make_snapshotter(
    settings: replica_loading.Settings,
    machine: replica_loading.StateMachine,
    inbox: queue.SimpleQueue,
    stored: messages.Snapshot | None,
) -> Snapshotter:
    return Snapshotter(settings, machine, inbox, stored)
