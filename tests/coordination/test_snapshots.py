"""Tests of when a replica takes snapshots, and of their encoding."""

import gc

import gevent
from gevent import queue
import pytest

from papayalink.coordination import replica_loading
from papayalink.coordination import snapshots
from papayalink.coordination.raft import membership
from papayalink.coordination.raft import messages
from papayalink.state import log_entries
from tests.coordination import replica_group

_COMMAND = log_entries.EntryKind.COMMAND


def _snapshot(index, *parts):
    return messages.Snapshot(index, 1, membership.Membership(), parts)


def _apply(snapshotter, machine, first, count, size=1):
    for index in range(first, first + count):
        data = b"x" * size
        machine.apply(index, data)
        snapshotter.on_applied(log_entries.Entry(index, 1, _COMMAND, data))
    snapshotter.start_if_due()


def _make(stored=None, machine=None):
    settings = replica_loading.Settings(
        member_id="a", snapshot_entries=10, snapshot_bytes=1000
    )
    inbox = queue.SimpleQueue()
    machine = machine or replica_group.ListMachine()
    snapshotter = snapshots.make_snapshotter(settings, machine, inbox, stored)
    return snapshotter, machine, inbox


@pytest.mark.parametrize(
    "stored, entries, size, due",
    [
        pytest.param(None, 9, 1, False, id="few-entries"),
        pytest.param(None, 10, 1, True, id="enough-entries"),
        pytest.param(None, 2, 500, True, id="enough-bytes"),
        pytest.param(b"s" * 200, 199, 1, False, id="log-below-snapshot"),
        pytest.param(b"s" * 200, 200, 1, True, id="log-as-snapshot"),
        pytest.param(b"s" * 2000, 3, 500, False, id="bytes-below-snapshot"),
    ],
)
def test_snapshot_is_due_when_the_log_is_as_large(stored, entries, size, due):
    """Guards against snapshots that cost more writes than the log."""
    stored = None if stored is None else _snapshot(5, stored)
    snapshotter, machine, inbox = _make(stored)
    _apply(snapshotter, machine, 6 if stored else 1, entries, size)
    if due:
        assert inbox.get(timeout=20).index == len(machine.commands) + (
            5 if stored else 0
        )
    else:
        gevent.sleep(0.02)
        assert inbox.empty()


def test_encoded_snapshot_holds_its_entries_only():
    """Guards against entries applied twice after a restart."""
    snapshotter, machine, inbox = _make()
    _apply(snapshotter, machine, 1, 120)
    _apply(snapshotter, machine, 121, 30)
    encoded = inbox.get(timeout=20)
    assert encoded.index == 120
    restored = replica_group.ListMachine()
    restored.restore(snapshotter.take(encoded))
    assert len(restored.commands) == 120
    # The next snapshot waits until this one is stored.
    _apply(snapshotter, machine, 151, 300)
    gevent.sleep(0.02)
    assert inbox.empty()
    snapshotter.on_stored(_snapshot(120, *encoded.parts))
    snapshotter.start_if_due()
    assert inbox.get(timeout=20).index == 450


@pytest.mark.parametrize("moment", ["not begun", "under way", "in the queue"])
def test_received_snapshot_ends_the_one_under_way(moment):
    """Guards against storing a snapshot that a received one overtook."""
    snapshotter, machine, inbox = _make()
    _apply(snapshotter, machine, 1, 200)
    if moment != "not begun":
        gevent.sleep(0)
    if moment == "in the queue":
        gevent.sleep(0.05)
    snapshotter.restore(_snapshot(500, b"a\nb"))
    gevent.sleep(0.05)
    while not inbox.empty():
        assert snapshotter.take(inbox.get_nowait()) is None
    assert machine.commands == [b"a", b"b"]
    assert snapshotter.index == 500
    _apply(snapshotter, machine, 501, 10)
    encoded = inbox.get(timeout=20)
    assert encoded.index == 510
    assert snapshotter.take(encoded) is not None


def test_tables_are_exempt_from_garbage_collection():
    """Guards against garbage collections that visit every ledger record."""
    snapshotter, machine, _ = _make()
    assert not any(each is machine.commands for each in gc.get_objects())
    snapshotter.restore(_snapshot(5, b"a\nb"))
    assert not any(each is machine.commands for each in gc.get_objects())


def test_failed_snapshot_is_raised():
    """Guards against a member that silently takes no more snapshots."""

    class Failing(replica_group.ListMachine):
        def snapshot(self):
            yield b"part"
            raise ValueError("cannot be encoded")

    snapshotter, machine, inbox = _make(machine=Failing())
    _apply(snapshotter, machine, 1, 10)
    with pytest.raises(ValueError):
        snapshotter.take(inbox.get(timeout=20))


class _SlowMachine(replica_group.ListMachine):
    """Finishes only the first snapshot, of the empty machine."""

    def snapshot(self):
        yield from super().snapshot()
        while self.commands:
            yield b""


def test_end_during_a_snapshot_leaves_the_earlier_one(monkeypatch):
    """A stop while a snapshot is encoded must lose no command."""
    monkeypatch.setattr(replica_group, "ListMachine", _SlowMachine)
    group = replica_group.Group(snapshot_entries=20)
    only = group.start("a", ("a",))
    leader = group.leader()
    expected = [b"%d" % number for number in range(60)]
    for data in expected:
        leader.propose(data, 5)
    assert only.status()["snapshot_index"] == 0
    group.stop("a")
    group.start("a")
    group.leader().propose(b"end", 5)
    assert group.machines["a"].commands == [*expected, b"end"]
    group.stop()
