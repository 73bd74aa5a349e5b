"""Ordered, grouped writes of a replica, outside the event loop."""

import gevent
from gevent import queue
import msgspec

from papayalink.coordination.raft import messages
from papayalink.state import errors as state_errors
from papayalink.state import log_entries
from papayalink.state import log_store


class Job(msgspec.Struct):
    """One write.

    Attributes:
        write_id: number that the node gave to the write, None for a snapshot
            that the replica took itself.
        snapshot: snapshot to store first; the log is then compacted up to
            its index.
        hard_state: hard state to store, None when it has not changed.
        entries: entries to store.
    """

    write_id: int | None = None
    snapshot: messages.Snapshot | None = None
    hard_state: log_entries.HardState | None = None
    entries: list[log_entries.Entry] = []


class Written(msgspec.Struct, frozen=True):
    """Result of a group of jobs, delivered to the replica's queue.

    Attributes:
        write_id: last write number of the group, None when no job had one.
        compacted: last snapshot of the group that the replica took itself.
        error: failure of the group, None when all jobs are durable.
    """

    write_id: int | None
    compacted: messages.Snapshot | None
    error: state_errors.StateError | None


class LogWriter:
    """Writes jobs to the log store, one group at a time.

    Args:
        store: log store; if it blocks, it is called from a thread of gevent's
            pool, one call at a time.
        inbox: queue of the replica, which receives Written.

    Jobs that arrive while a group is being written form the next group. Jobs
    without a snapshot between them share one sync.
    """

    __slots__ = ("_store", "_inbox", "_waiting", "_write_task", "_suspended")

    def __init__(
        self, store: log_store.LogStore, inbox: queue.SimpleQueue
    ) -> None:
        self._store = store
        self._inbox = inbox
        self._waiting: list[Job] = []
        self._write_task: gevent.Greenlet | None = None
        self._suspended = False

    @property
    def suspended(self) -> bool:
        """Whether the last group failed; it is kept until retry()."""
        return self._suspended

    def submit(self, job: Job) -> None:
        """Write a job after all earlier ones."""
        self._waiting.append(job)
        if not self._suspended:
            self._start()

    def on_finished(self, written: Written) -> None:
        """Handle the end of a group; the replica calls it for each Written."""
        self._write_task = None
        self._suspended = written.error is not None
        if not self._suspended:
            self._start()

    def retry(self) -> None:
        """Retry the group that failed."""
        self._start()

    def join(self) -> None:
        """Wait for the group that is being written."""
        if self._write_task is not None:
            self._write_task.join()

    def _start(self) -> None:
        if self._write_task is None and self._waiting:
            group = self._waiting
            self._waiting = []
            self._write_task = gevent.spawn(self._write, group)

    def _write(self, group: list[Job]) -> None:
        if self._store.blocking:
            pool = gevent.get_hub().threadpool
            error = pool.apply(_write_group, (self._store, group))
        else:
            error = _write_group(self._store, group)
        if error is not None:
            # retry() repeats what the jobs still hold.
            self._waiting = group + self._waiting
        write_ids = [job.write_id for job in group if job.write_id is not None]
        replica_snapshots = [
            job.snapshot
            for job in group
            if job.write_id is None and job.snapshot is not None
        ]
        self._inbox.put(
            Written(
                write_ids[-1] if write_ids else None,
                replica_snapshots[-1] if replica_snapshots else None,
                error,
            )
        )


def _write_group(
    store: log_store.LogStore, group: list[Job]
) -> state_errors.StateError | None:
    """Write a group of jobs.

    Returns: the error, which is not raised because gevent's thread pool
        would print it.
    """
    try:
        _store_group(store, group)
    except state_errors.StateError as error:
        return error
    except Exception as error:
        # Without a result, the replica would wait for this write forever.
        return state_errors.LogFailed(repr(error))
    return None


def _store_group(store: log_store.LogStore, group: list[Job]) -> None:
    """Write a group of jobs, and remove from them what is durable.

    A repeated group must not append its entries again: a snapshot of the
    group may have replaced them meanwhile.
    """
    unsynced: list[Job] = []
    for job in group:
        if job.snapshot is not None:
            _append(store, unsynced)
            unsynced = []
            index = job.snapshot.index
            parts = messages.encode_snapshot(job.snapshot)
            store.save_snapshot(index, job.snapshot.term, parts)
            store.compact(index)
        unsynced.append(job)
    _append(store, unsynced)


def _append(store: log_store.LogStore, jobs: list[Job]) -> None:
    """Append what the jobs hold in one sync."""
    entries = [entry for job in jobs for entry in job.entries]
    hard_states = [
        job.hard_state for job in jobs if job.hard_state is not None
    ]
    if entries or hard_states:
        store.append(entries, hard_states[-1] if hard_states else None)
    for job in jobs:
        job.entries = []
        job.hard_state = None


def make_log_writer(
    store: log_store.LogStore, inbox: queue.SimpleQueue
) -> LogWriter:
    """Returns: a writer without jobs."""
    return LogWriter(store, inbox)
