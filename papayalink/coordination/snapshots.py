"""Decides when to snapshot a replica's machine, and encodes it in parts."""

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

# Encoding or restoring a part takes about 1 ms, so this pause leaves other
# greenlets about half of the processor time.
_PART_PAUSE_S = 0.001


class Encoded(msgspec.Struct, frozen=True):
    """Delivered to the replica's queue once a snapshot is encoded.

    Attributes:
        attempt: number of the attempt to take a snapshot.
        index: last index that the snapshot covers.
        parts: parts as returned by the machine.
        error: exception raised by the machine, None on success.
    """

    attempt: int
    index: int
    parts: tuple[bytes, ...]
    error: Exception | None = None


class Snapshotter:
    """Schedules and encodes the snapshots of one replica.

    Args:
        settings: see replica_loading.Settings.
        machine: state machine; later commands do not change the view that
            its snapshot() returns.
        inbox: queue of the replica, which receives Encoded.
        stored: snapshot that the machine was restored from, if any.

    Only one snapshot at a time is encoded or stored.
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
        "_pending_attempt",
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
        # Attempt being encoded, or encoded and still in the inbox.
        self._pending_attempt: int | None = None
        self._storing = False
        self._encoder_task: gevent.Greenlet | None = None
        self._view: Iterator[bytes] | None = None
        self._applied_index = 0 if stored is None else stored.index
        self._reset_counters(() if stored is None else stored.parts)
        self._stored_index = self._applied_index
        _exempt_from_gc()

    @property
    def index(self) -> int:
        """Last index covered by the newest stored or received snapshot."""
        return self._stored_index

    def on_applied(self, entry: log_entries.Entry) -> None:
        """Count an entry that the machine applied."""
        self._applied_index = entry.index
        self._applied_bytes += len(entry.data)

    def start_if_due(self) -> None:
        """Encode a view of the machine in the background if one is due."""
        if self._pending_attempt or self._storing or not self._is_due():
            return
        self._attempts += 1
        self._pending_attempt = self._attempts
        self._reset_counters(())
        self._view = self._machine.snapshot()
        self._encoder_task = gevent.spawn(
            self._encode,
            self._pending_attempt,
            self._covered_index,
            self._view,
        )

    def take(self, encoded: Encoded) -> tuple[bytes, ...] | None:
        """Accept an encoded snapshot.

        Returns: the parts to store, None when the attempt was cancelled.
        Raises:
            Exception: the exception that the machine raised.
        """
        if encoded.attempt != self._pending_attempt:
            return None
        if encoded.error is not None:
            raise encoded.error
        self._pending_attempt = None
        self._storing = True
        self._snapshot_bytes = _total_bytes(encoded.parts)
        return encoded.parts

    def on_stored(self, snapshot: messages.Snapshot) -> None:
        """Record that the log store holds the snapshot."""
        self._storing = False
        self._stored_index = max(self._stored_index, snapshot.index)

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replace the machine's state with a received snapshot.

        Other greenlets run between the parts and see the previous state.
        A snapshot that is being encoded is cancelled, because the log no
        longer holds the entries that follow it.
        """
        self.cancel()
        self._machine.restore(_with_pauses(snapshot.parts))
        self._applied_index = snapshot.index
        self._reset_counters(snapshot.parts)
        self._stored_index = snapshot.index
        _exempt_from_gc()

    def cancel(self) -> None:
        """Cancel the snapshot that is being encoded, if any."""
        if self._encoder_task is not None:
            self._encoder_task.kill()
            # A greenlet killed before it started does not close the view.
            self._view.close()
        self._pending_attempt = None

    def _reset_counters(self, parts: tuple[bytes, ...]) -> None:
        self._covered_index = self._applied_index
        self._snapshot_bytes = _total_bytes(parts)
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
    """Yields: the parts, pausing after each to let other greenlets run."""
    for part in parts:
        yield part
        gevent.sleep(_PART_PAUSE_S)


def _exempt_from_gc() -> None:
    """Exempt the machine's tables and the log from garbage collection.

    A full collection visits every record of a table, which takes 62 ms for a
    ledger of 600,000 records. A table that is exempted while empty remains
    exempt as it grows.
    """
    gc.freeze()


def _total_bytes(parts: tuple[bytes, ...]) -> int:
    return sum(len(part) for part in parts)


def make_snapshotter(
    settings: replica_loading.Settings,
    machine: replica_loading.StateMachine,
    inbox: queue.SimpleQueue,
    stored: messages.Snapshot | None,
) -> Snapshotter:
    return Snapshotter(settings, machine, inbox, stored)
