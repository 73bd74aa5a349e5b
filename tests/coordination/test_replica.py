"""Tests of a group of replicas."""

import contextlib
import errno

import gevent
import pytest

from papayalink import clock as clocks
from papayalink.coordination import errors
from papayalink.coordination import replica as replicas
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.state import errors as state_errors
from papayalink.state import log_store
from tests.coordination import replica_group
from tests.state import faulty_files

_IDS = ("a", "b", "c")


def _start(make_store=None, clock=None, **settings):
    group = replica_group.Group(make_store, clock, **settings)
    for member_id in _IDS:
        group.start(member_id, _IDS)
    return group


@pytest.fixture
def group():
    new_group = _start(snapshot_entries=50)
    yield new_group
    new_group.stop()


@pytest.fixture
def disk_group(tmp_path):
    files = {member_id: faulty_files.FaultyFiles() for member_id in _IDS}
    new_group = _start(
        lambda member_id: log_store.DiskLogStore(
            tmp_path / member_id, files[member_id]
        ),
        snapshot_entries=50,
    )
    new_group.files = files
    yield new_group
    new_group.stop()


def _member_id(group, replica):
    return replica.status()["member_id"]


def _wait_for_commands(group, expected):
    group.wait_for(
        lambda: all(
            group.machines[member_id].commands == expected
            for member_id in group.replicas
        )
    )


def _propose(group, data):
    """Returns: whether the leader committed the command."""
    try:
        group.leader().propose(data, 5)
    except errors.NotLeader:
        return False
    return True


def test_command_is_applied_everywhere(group):
    leader = group.leader()
    assert leader.propose(b"x", 5) == b"1:x"
    _wait_for_commands(group, [b"x"])
    for follower in group.others(leader):
        with pytest.raises(errors.NotLeader) as refusal:
            follower.propose(b"y", 5)
        assert refusal.value.leader_id == leader.leader_id


def test_concurrent_reads_share_rounds(group):
    """Guards against a round of messages for each waiting read."""
    leader = group.leader()
    leader.propose(b"x", 5)
    for reader in (leader, group.others(leader)[0]):
        group.sent.clear()
        tasks = [gevent.spawn(reader.confirm_read, 5) for _ in range(200)]
        gevent.joinall(tasks, raise_error=True)
        sent = [
            each
            for each in group.sent
            if isinstance(each, (messages.Heartbeat, messages.ReadRequest))
        ]
        assert len(sent) < 40


def test_read_rounds_are_bounded_for_many_readers():
    """Guards against read rounds without a pause.

    Such rounds use a whole core of the leader.
    """
    clock = clocks.ManualClock()
    group = _start(clock=clock)

    def pass_ms(count):
        for _ in range(count):
            clock.advance(0.001)
            group.timers.deliver_due()
            for _ in range(20):
                gevent.sleep(0)

    while not any(each.is_leader for each in group.replicas.values()):
        pass_ms(1)
    group.leader()
    pass_ms(100)
    group.sent.clear()
    readers = []
    for _ in range(400):
        for replica in group.replicas.values():
            readers.append(gevent.spawn(replica.confirm_read, 60))
        pass_ms(1)
    pass_ms(100)
    assert all(each.successful() for each in readers)
    group.stop()
    periods = 0.5 / replicas.READ_PERIOD_S
    rounds = set()
    requests = []
    for message in group.sent:
        match message:
            case messages.Heartbeat():
                rounds.add(message.read_round)
            case messages.ReadRequest():
                requests.append(message)
    assert 1 < len(rounds) <= periods + 2
    assert len(requests) <= 2 * (periods + 1)


def test_confirmed_read_sees_acknowledged_commands(group):
    leader = group.leader()
    for number in range(20):
        leader.propose(b"%d" % number, 5)
        for reader in group.replicas.values():
            index = reader.confirm_read(5)
            assert reader.status()["applied"] >= index
            machine = group.machines[_member_id(group, reader)]
            assert len(machine.commands) == number + 1


def test_isolated_leader_confirms_and_commits_nothing(group):
    """A leader cut off from the quorum must not answer reads or writes."""
    old = group.leader()
    old.propose(b"x", 5)
    group.isolated.add(_member_id(group, old))
    waiting = gevent.spawn(old.propose, b"lost", 0.5)
    with pytest.raises(errors.Unavailable):
        old.confirm_read(0.5)
    with pytest.raises((errors.Unknown, errors.NotLeader)):
        waiting.get()
    new = group.leader()
    assert new.propose(b"y", 5) == b"2:y"
    term = new.status()["term"]
    group.isolated.clear()
    _wait_for_commands(group, [b"x", b"y"])
    # Because of pre-votes, its return must not force another election.
    assert group.leader().status()["term"] == term


def test_replaced_proposal_is_reported_as_not_run(group):
    """A command whose entry another leader replaced is known not to run."""
    old = group.leader()
    old.propose(b"x", 5)
    group.isolated.add(_member_id(group, old))
    waiting = gevent.spawn(old.propose, b"lost", 10)
    group.leader().propose(b"y", 5)
    group.isolated.clear()
    with pytest.raises(errors.NotLeader):
        waiting.get()


def test_restart_from_snapshot_and_tail(disk_group):
    leader = disk_group.leader()
    follower = _member_id(disk_group, disk_group.others(leader)[0])
    expected = [b"%d" % number for number in range(600)]
    for start in range(0, 600, 100):
        if start == 300:
            stopping = disk_group.replicas[follower]
            disk_group.wait_for(
                lambda: stopping.status()["snapshot_index"] > 120
            )
            disk_group.stop(follower)
        tasks = [
            gevent.spawn(leader.propose, data, 5)
            for data in expected[start : start + 100]
        ]
        gevent.joinall(tasks, raise_error=True)
    restarted = disk_group.start(follower)
    status = restarted.status()
    # A snapshot of 120 commands has 480 bytes, so the next one is due after
    # at most 160 commands of 3 bytes.
    assert status["snapshot_index"] > 120
    assert status["last_index"] - status["snapshot_index"] < 200
    applied = disk_group.machines[_member_id(disk_group, leader)].commands
    assert sorted(applied) == sorted(expected)
    _wait_for_commands(disk_group, list(applied))
    # All members stop, so that only the disks hold the commands.
    disk_group.stop(*_IDS)
    for member_id in _IDS:
        disk_group.start(member_id)
    disk_group.leader().propose(b"end", 5)
    _wait_for_commands(disk_group, [*applied, b"end"])


def test_lost_disk_rejoins_under_a_new_id(group):
    leader = group.leader()
    for number in range(120):
        leader.propose(b"%d" % number, 5)
    lost = _member_id(group, group.others(leader)[0])
    group.stop(lost)
    leader.change_members(memberships.RemoveMember(lost))
    with pytest.raises(errors.ChangeRefused):
        leader.change_members(memberships.AddLearner(lost))
    group.start("d")
    leader.change_members(memberships.AddLearner("d", "host:1"))

    def promoted():
        try:
            leader.change_members(memberships.PromoteLearner("d"))
        except errors.ChangeRefused:
            return False
        return True

    group.wait_for(promoted)
    leader.propose(b"end", 5)
    _wait_for_commands(
        group, [*(b"%d" % number for number in range(120)), b"end"]
    )
    assert leader.membership.find("d").address == "host:1"


def test_removed_member_stops(group):
    leader = group.leader()
    removed = group.others(leader)[0]
    leader.change_members(memberships.RemoveMember(_member_id(group, removed)))
    group.wait_for(lambda: removed.status()["removed"])
    with pytest.raises(errors.Unavailable):
        removed.confirm_read(5)
    leader.propose(b"x", 5)


def test_full_disk_refuses_writes_and_serves_reads(disk_group):
    old = disk_group.leader()
    old.propose(b"x", 5)
    full_member_id = _member_id(disk_group, old)
    disk_group.files[full_member_id].error = errno.ENOSPC
    # The followers may commit this command before the leader's write fails.
    gevent.spawn(old.propose, b"first", 5).join()
    disk_group.wait_for(lambda: old.status()["disk_full"])
    with pytest.raises(errors.NotLeader):
        old.propose(b"second", 5)
    new = disk_group.leader()
    new.propose(b"y", 5)
    old.confirm_read(5)
    assert disk_group.machines[full_member_id].commands[-1] == b"y"
    disk_group.files[full_member_id].error = None
    disk_group.wait_for(lambda: not old.status()["disk_full"])
    new.propose(b"z", 5)
    disk_group.wait_for(
        lambda: old.status()["persisted"] == new.status()["commit"]
    )


def test_failed_store_stops_the_replica(disk_group):
    """After a failed sync, reports of the store are not reliable."""
    leader = disk_group.leader()
    failing = disk_group.others(leader)[0]
    disk_group.files[_member_id(disk_group, failing)].error = errno.EIO
    leader.propose(b"x", 5)
    disk_group.wait_for(lambda: failing.status()["failure"])
    with pytest.raises(errors.Unavailable):
        failing.confirm_read(5)


def test_damaged_store_does_not_start(tmp_path):
    group = replica_group.Group(lambda _: log_store.DiskLogStore(tmp_path))
    (tmp_path / f"{0:020}.snapshot").write_bytes(b"damaged")
    with pytest.raises(errors.StorageFailed) as failure:
        group.start("a", _IDS)
    assert isinstance(failure.value.__cause__, state_errors.LogCorrupt)
    group.stop()


def test_single_member_group():
    group = replica_group.Group()
    only = group.start("a", ("a",))
    group.leader().propose(b"x", 5)
    assert only.confirm_read(5) >= 2
    group.stop()


def test_members_that_fail_in_turn_return_from_their_disks(disk_group):
    """Guards against members that are lost for good after a failed write."""
    expected = [b"0"]
    disk_group.leader().propose(b"0", 5)
    for member_id in _IDS:
        failing = disk_group.replicas[member_id]
        disk_group.files[member_id].error = errno.EIO
        # A leader that fails may not know the outcome of its own command.
        with contextlib.suppress(errors.CoordinationError):
            disk_group.leader().propose(member_id.encode(), 5)
        with pytest.raises(errors.StorageFailed):
            failing.join()
        disk_group.files[member_id].error = None
        disk_group.stop(member_id)
        disk_group.start(member_id)
        expected.append(b"after " + member_id.encode())
        disk_group.wait_for(lambda: _propose(disk_group, expected[-1]))
    disk_group.wait_for(
        lambda: all(
            [each for each in machine.commands if each in expected] == expected
            for machine in disk_group.machines.values()
        )
    )


class _FullStore(log_store.MemoryLogStore):
    """Store in memory that refuses entries while its disk is full."""

    __slots__ = ("is_full",)

    def __init__(self):
        super().__init__()
        self.is_full = False

    def append(self, entries, hard_state):
        if self.is_full:
            raise state_errors.LogFull("no space left")
        super().append(entries, hard_state)


def test_disks_full_right_after_each_other_leave_a_quorum():
    """Guards against two members out of three that wait to write at once.

    A member whose disk has room again must be back before operators repeat a
    change that was refused, which they do after a second.
    """
    clock = clocks.ManualClock()
    stores = {member_id: _FullStore() for member_id in _IDS}
    group = _start(stores.get, clock=clock)

    def pass_ms(count):
        for _ in range(count):
            clock.advance(0.001)
            group.timers.deliver_due()
            for _ in range(20):
                gevent.sleep(0)

    def committed(data):
        for replica in group.replicas.values():
            if replica.is_leader:
                task = gevent.spawn(replica.propose, data, 60)
                pass_ms(50)
                return task.successful()
        return False

    pass_ms(500)
    for member_id in (*_IDS, *_IDS):
        stores[member_id].is_full = True
        # Some member notices only when there is something to write.
        committed(b"while full")
        pass_ms(500)
        stores[member_id].is_full = False
        pass_ms(300)
        assert not group.replicas[member_id].status()["disk_full"]
    assert committed(b"at last")
    group.stop()
