"""Tests of the log store on a disk that gets full and loses power."""

import itertools

import pytest

from papayalink.state import errors
from papayalink.state import log_store
from tests.state import full_disk
from tests.state import power_loss
from tests.state import test_log_store_full_disk as full_disk_tests


def _check(disk, folder, allowed):
    for left in disk.leave(folder):
        store = log_store.DiskLogStore(left)
        try:
            assert store.load() in allowed
        finally:
            store.close()


def _run(tmp_path, disk, first=None):
    """Run the life of a log; check what a power loss would leave of it.

    Args:
        first: first operation that a full disk refuses, counted from the
            first step; None to check after each operation instead.
    """
    left = tmp_path / "left"
    model = log_store.MemoryLogStore()
    allowed = [model.load()]

    def check():
        _check(disk, left, allowed)

    if first is None:
        disk.on_operation = check
    store = log_store.DiskLogStore(tmp_path / f"log-{first}", disk)
    store.load()
    disk.count = 0
    disk.first = first
    for step in full_disk_tests.STEPS:
        step(model)
        allowed.append(model.load())
        for attempt in itertools.count():
            try:
                step(store)
                break
            except errors.LogFull:
                check()
                if attempt:
                    disk.first = None
        del allowed[0]
        check()
    store.close()


def test_power_loss_after_any_operation(tmp_path):
    """Guards against synced entries that a power loss takes away."""
    _run(tmp_path, power_loss.PowerLoss())


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize(
    "refused",
    [
        pytest.param(full_disk.NEEDS_SPACE, id="needs-space"),
        pytest.param(full_disk.EVERYTHING, id="everything"),
    ],
)
def test_power_loss_after_a_refused_operation(tmp_path, refused, partial):
    """Guards against a log that a full disk and a power loss make unreadable.

    A file left over from a refused operation may be kept, and one that was
    removed may be back.
    """
    for first in itertools.count():
        disk = power_loss.PowerLoss(refused, partial=partial)
        _run(tmp_path, disk, first)
        if not disk.refusals:
            return


@pytest.mark.parametrize("torn", [b"", b"pLr1 torn"])
def test_power_loss_after_a_restart_with_a_torn_segment(tmp_path, torn):
    """Guards against a torn file that is removed, and back beside later ones.

    Its records have the numbers of those written after its removal.
    """
    folder = tmp_path / "log"
    store = log_store.DiskLogStore(folder)
    store.load()
    model = log_store.MemoryLogStore()
    steps = list(full_disk_tests.STEPS)
    for step in steps[:2]:
        step(store)
        step(model)
    store.close()
    (folder / f"{4:020}.log").write_bytes(torn)
    disk = power_loss.PowerLoss()
    disk.take_over(folder)
    allowed = [model.load()]
    disk.on_operation = lambda: _check(disk, tmp_path / "left", allowed)
    store = log_store.DiskLogStore(folder, disk)
    assert store.load() == allowed[0]
    # Entries are written before the log is compacted.
    steps[3], steps[4] = steps[4], steps[3]
    for step in steps[2:]:
        step(model)
        allowed.append(model.load())
        step(store)
        del allowed[0]
        disk.on_operation()
    store.close()


class _Killed(Exception):
    """The process was killed."""


def _kill_at(disk, number):
    """Kill the process after an operation, counted from the call."""
    operations = itertools.count(1)

    def count():
        if next(operations) == number:
            raise _Killed

    disk.on_operation = count


def test_power_loss_after_a_kill_and_a_restart(tmp_path):
    """Guards against entries and votes that were read and are not durable.

    What a killed process wrote and did not sync is read by the next one,
    which acknowledges it.
    """
    for number in itertools.count(1):
        folder = tmp_path / f"log-{number}"
        left = tmp_path / "left"
        disk = power_loss.PowerLoss()
        store = log_store.DiskLogStore(folder, disk)
        _kill_at(disk, number)
        allowed = _run_until_killed(store)
        store.close()
        disk.on_operation = lambda: _check(disk, left, allowed)
        store = log_store.DiskLogStore(folder, disk)
        loaded = store.load()
        assert loaded in allowed
        _check(disk, left, [loaded])
        store.close()
        if len(allowed) == 1:
            return


def _run_until_killed(store):
    """Returns: the states that may be found, one if nothing was killed."""
    model = log_store.MemoryLogStore()
    allowed = [model.load()]
    try:
        store.load()
        for step in full_disk_tests.STEPS:
            step(model)
            allowed.append(model.load())
            step(store)
            del allowed[0]
    except _Killed:
        # The kill may have come before the first step.
        return [*allowed, allowed[-1]]
    return allowed
