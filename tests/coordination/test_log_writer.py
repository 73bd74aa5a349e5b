"""Tests of the writer of a replica's log on a disk that gets full."""

import itertools

from gevent import queue
import pytest

from papayalink.coordination import log_writer
from papayalink.coordination.raft import membership
from papayalink.coordination.raft import messages
from papayalink.state import errors
from papayalink.state import log_entries
from papayalink.state import log_store
from tests.state import full_disk

_COMMAND = log_entries.EntryKind.COMMAND
_TRIES_WHILE_FULL = 2


def _entries(first, count, term):
    return [
        log_entries.Entry(index, term, _COMMAND, b"data %d" % index)
        for index in range(first, first + count)
    ]


def _snapshot(index, term):
    return messages.Snapshot(
        index, term, membership.make_membership("a"), (b"state",)
    )


def _jobs():
    """Returns: jobs of a member whose entries a snapshot replaces."""
    return [
        log_writer.Job(1, hard_state=log_entries.HardState(1, "a")),
        log_writer.Job(2, entries=_entries(1, 12, term=1)),
        log_writer.Job(snapshot=_snapshot(4, 1)),
        log_writer.Job(3, entries=_entries(13, 3, term=1)),
        log_writer.Job(4, hard_state=log_entries.HardState(3, "b")),
        log_writer.Job(5, snapshot=_snapshot(10, 3)),
        log_writer.Job(6, entries=_entries(11, 2, term=3)),
        log_writer.Job(7, entries=_entries(13, 1, term=3)),
    ]


def _write_all(writer, inbox, disk, jobs):
    """Submit jobs and retry as a replica does, until all are written."""
    for job in jobs:
        writer.submit(job)
    failures = 0
    while True:
        written = inbox.get(timeout=20)
        writer.on_finished(written)
        if written.error is None:
            if written.write_id == jobs[-1].write_id:
                return
            continue
        assert isinstance(written.error, errors.LogFull)
        failures += 1
        if failures == _TRIES_WHILE_FULL:
            disk.first = None
        writer.retry()


def _load(folder):
    store = log_store.DiskLogStore(folder)
    try:
        return store.load()
    finally:
        store.close()


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize(
    "refused",
    [
        pytest.param(full_disk.NEEDS_SPACE, id="needs-space"),
        pytest.param(full_disk.EVERYTHING, id="everything"),
    ],
)
def test_group_is_repeated_after_any_refusal(tmp_path, refused, partial):
    """Guards against synced entries that a restart drops.

    A repeated group wrote entries of another history again, behind the
    snapshot that had replaced them.
    """
    for first in itertools.count():
        disk = full_disk.FullDisk(refused, partial=partial)
        store = log_store.DiskLogStore(tmp_path / str(first), disk)
        store.load()
        inbox = queue.SimpleQueue()
        disk.count = 0
        disk.first = first
        _write_all(
            log_writer.make_log_writer(store, inbox), inbox, disk, _jobs()
        )
        store.close()
        loaded = _load(tmp_path / str(first))
        assert loaded.hard_state == log_entries.HardState(3, "b")
        assert loaded.snapshot.index == 10
        assert loaded.entries == _entries(11, 3, term=3), first
        if not disk.refusals:
            return
