"""Tests of the log stores."""

import errno
import os

import pytest

from papayalink.state import log_entries
from papayalink.state import log_store
from papayalink.state import segments

_COMMAND = log_entries.EntryKind.COMMAND


class _Files(segments.Files):
    """File calls with a limited number of bytes, or a failing sync."""

    __slots__ = ("room", "sync_error")

    def __init__(self):
        self.room = None
        self.sync_error = None

    def write(self, descriptor, data):
        if self.room is not None and len(data) > self.room:
            # A full disk takes the first part of a write.
            super().write(descriptor, data[: self.room])
            raise OSError(errno.ENOSPC, "no space left")
        super().write(descriptor, data)

    def sync(self, descriptor):
        if self.sync_error is not None:
            raise OSError(self.sync_error, os.strerror(self.sync_error))
        super().sync(descriptor)


def _entries(first, count, term=1):
    return [
        log_entries.Entry(index, term, _COMMAND, b"data %d" % index)
        for index in range(first, first + count)
    ]


@pytest.fixture(params=["memory", "disk"])
def reopen(request, tmp_path):
    """Opens the same store again and loads it."""
    opened = []

    def open_store():
        if request.param == "memory":
            opened[:] = opened or [log_store.MemoryLogStore()]
        else:
            for store in opened:
                store.close()
            opened[:] = [log_store.DiskLogStore(tmp_path)]
        return opened[0], opened[0].load()

    yield open_store
    opened[0].close()


def _disk(folder, files=None):
    store = log_store.DiskLogStore(folder, files)
    return store, store.load()


def test_empty_store(reopen):
    _, loaded = reopen()
    assert loaded == log_entries.StoredLog(log_entries.HardState(), None, [])


def test_entries_and_hard_state_survive_a_restart(reopen):
    store, _ = reopen()
    store.append(_entries(1, 3), log_entries.HardState(1, "a"))
    store.append([], log_entries.HardState(2, "b"))
    store.append(_entries(4, 1), None)
    _, loaded = reopen()
    assert loaded.entries == _entries(1, 4)
    assert loaded.hard_state == log_entries.HardState(2, "b")


def test_replaced_suffix_stays_replaced(reopen):
    """An entry of an older leader must not come back behind a newer one."""
    store, _ = reopen()
    store.append(_entries(1, 5), None)
    store.append(_entries(3, 1, term=2), None)
    _, loaded = reopen()
    assert loaded.entries == _entries(1, 2) + _entries(3, 1, term=2)
