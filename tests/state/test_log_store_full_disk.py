"""Tests of the log store on a disk that is full at any file operation."""

import itertools
import shutil

import pytest

from papayalink.state import errors
from papayalink.state import log_entries
from papayalink.state import log_store
from tests.state import full_disk

_COMMAND = log_entries.EntryKind.COMMAND
_TRIES_WHILE_FULL = 2


def _entries(first, count, term=1):
    return [
        log_entries.Entry(index, term, _COMMAND, b"data %d" % index)
        for index in range(first, first + count)
    ]


# A life of a log: entries, own snapshots, and a received one that replaces
# entries of another history.
STEPS = (
    lambda store: store.append(_entries(1, 4), log_entries.HardState(1, "a")),
    lambda store: store.append(_entries(5, 4), None),
    lambda store: store.save_snapshot(6, 1, (b"st", b"ate")),
    lambda store: store.compact(6),
    lambda store: store.append(
        _entries(9, 2, term=2), log_entries.HardState(2, "b")
    ),
    lambda store: store.save_snapshot(10, 2, (b"later",)),
    lambda store: store.compact(10),
    lambda store: store.append(_entries(11, 3, term=2), None),
    lambda store: store.save_snapshot(20, 3, (b"received",)),
    lambda store: store.compact(20),
    lambda store: store.append(
        _entries(21, 2, term=3), log_entries.HardState(3, "c")
    ),
)


def _load(folder):
    store = log_store.DiskLogStore(folder)
    try:
        return store.load()
    finally:
        store.close()


def _load_copy(folder, copy):
    """Returns: what a process finds that starts after a kill."""
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    return _load(copy)


def _run_step(step, store, disk, check_kill):
    """Repeat a step as a replica does, until the disk has room."""
    for attempt in itertools.count():
        try:
            step(store)
            return
        except errors.LogFull:
            check_kill()
            if attempt + 1 == _TRIES_WHILE_FULL:
                disk.first = None


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize(
    "refused",
    [
        pytest.param(full_disk.NEEDS_SPACE, id="needs-space"),
        pytest.param(full_disk.EVERYTHING, id="everything"),
        pytest.param(("write", "truncate"), id="file-content"),
        *(
            pytest.param((operation,), id=operation)
            for operation in full_disk.EVERYTHING
        ),
    ],
)
def test_disk_is_full_from_any_operation_on(tmp_path, refused, partial):
    """Guards against a full disk that counts as a failed store.

    Also against a log that can't be read when the process is killed while
    the disk is full, and against entries lost on the way.
    """
    for first in itertools.count():
        folder = tmp_path / str(first)
        disk = full_disk.FullDisk(refused, partial=partial)
        store = log_store.DiskLogStore(folder, disk)
        store.load()
        disk.count = 0
        disk.first = first
        model = log_store.MemoryLogStore()
        for step in STEPS:
            before = model.load()
            step(model)
            after = model.load()
            _run_step(
                step,
                store,
                disk,
                lambda: _check_kill(folder, tmp_path, before, after),
            )
            assert _load_copy(folder, tmp_path / "copy") == after
        store.close()
        assert _load(folder) == model.load()
        if not disk.refusals:
            return


def _check_kill(folder, tmp_path, before, after):
    assert _load_copy(folder, tmp_path / "copy") in (before, after)


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize(
    "refused",
    [
        pytest.param(full_disk.NEEDS_SPACE, id="needs-space"),
        pytest.param(full_disk.EVERYTHING, id="everything"),
    ],
)
def test_writes_go_on_after_a_refused_compaction(tmp_path, refused, partial):
    """Guards against a file left over from a refused compaction.

    Its records have the numbers of those written next to the older file, and
    the log could not be read at the next start.
    """
    for first in itertools.count():
        folder = tmp_path / str(first)
        disk = full_disk.FullDisk(refused, partial=partial)
        store = log_store.DiskLogStore(folder, disk)
        store.load()
        store.append(_entries(1, 4), log_entries.HardState(1, "a"))
        store.save_snapshot(2, 1, (b"state",))
        disk.count = 0
        disk.first = first
        try:
            store.compact(2)
        except errors.LogFull:
            pass
        disk.first = None
        store.append(_entries(5, 2), None)
        loaded = _load_copy(folder, tmp_path / "copy")
        assert loaded.entries == _entries(3, 4)
        store.compact(2)
        store.append(_entries(7, 2), None)
        store.close()
        assert _load(folder).entries == _entries(3, 6)
        if not disk.refusals:
            return
