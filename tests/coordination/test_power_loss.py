"""Tests of acknowledged commands when disks and the power are lost at once."""

import itertools
import shutil

import gevent
import pytest

from papayalink.coordination import errors
from papayalink.coordination.raft import membership as memberships
from papayalink.state import log_store
from tests.coordination import replica_group
from tests.state import power_loss


class _Killed(Exception):
    """The process was killed."""


class _Cluster:
    """A group whose members have disks that can lose power.

    Args:
        folder: folder for the data folders of all members.
        losses: number of disks that may be lost at once.
    """

    def __init__(self, folder, losses):
        self.folder = folder
        self.losses = losses
        self.disks = {}
        self.members = "abcde"[: 2 * losses + 1]
        self.group = replica_group.Group(self._make_store, snapshot_entries=5)
        for member_id in self.members:
            self.group.start(member_id, self.members)
        self.leader = self.group.leader()
        self.acknowledged = []

    def _make_store(self, member_id):
        disk = self.disks.setdefault(member_id, power_loss.PowerLoss())
        return log_store.DiskLogStore(self.folder / member_id / "log", disk)

    @property
    def leader_id(self):
        return self.leader.status()["member_id"]

    def followers(self):
        return sorted(self.group.replicas.keys() - {self.leader_id})

    def propose(self, data):
        self.leader.propose(data, 20)
        self.acknowledged.append(data)

    def change(self, change):
        def changed():
            try:
                self.leader.change_members(change)
            except errors.ChangeRefused:
                return False
            return True

        self.group.wait_for(changed)

    def restart(self):
        members = list(self.group.replicas)
        self.group.stop(*members)
        for member_id in members:
            self.group.start(member_id)
        self.leader = self.group.leader()

    def cut_power(self, folder):
        """Write what all disks hold without what was not synced."""
        for member_id in self.group.replicas:
            self.disks[member_id].leave_synced(folder / member_id / "log")


def _check_restart(folder, members, expected):
    """Check that members have all commands after a restart."""
    group = replica_group.Group(
        lambda member_id: log_store.DiskLogStore(folder / member_id / "log")
    )
    try:
        for member_id in members:
            group.start(member_id)
        leader = group.leader()
        leader.confirm_read(20)
        machine = group.machines[leader.status()["member_id"]]
        assert machine.commands[: len(expected)] == expected
    finally:
        group.stop()


def _acknowledge(cluster):
    cluster.propose(b"last")


def _isolate_one(cluster):
    """The quorum is as small as it may be."""
    cluster.group.isolated.update(cluster.followers()[: cluster.losses])
    cluster.propose(b"last")


def _fill_disk(cluster):
    for follower in cluster.followers()[: cluster.losses]:
        cluster.disks[follower].first = 0
    cluster.propose(b"last")


def _compact(cluster):
    for number in range(23):
        cluster.propose(b"%d" % number)


def _kill_before_the_sync(cluster):
    """A follower writes the command, is killed, and returns with it."""
    followers = cluster.followers()
    cluster.group.isolated.update(followers[: cluster.losses])
    killed = followers[-1]
    disk = cluster.disks[killed]

    def kill():
        raise _Killed

    disk.on_operation = kill
    proposal = gevent.spawn(cluster.propose, b"last")
    replica = cluster.group.replicas[killed]
    cluster.group.wait_for(lambda: replica.status()["failure"])
    cluster.group.stop(killed)
    disk.on_operation = lambda: None
    cluster.group.start(killed)
    proposal.get()


def _replace(cluster):
    """A member whose disk was lost is replaced, and needed for a quorum."""
    for number in range(12):
        cluster.propose(b"%d" % number)
    lost = cluster.followers()[0]
    cluster.group.stop(lost)
    new = f"{lost}.new"
    cluster.group.start(new)
    cluster.change(memberships.AddLearner(new))
    cluster.change(memberships.PromoteLearner(new))
    cluster.change(memberships.RemoveMember(lost))
    others = [each for each in cluster.followers() if each != new]
    cluster.group.isolated.update(others[: cluster.losses])
    cluster.propose(b"last")


def _replace_by_snapshot(cluster):
    """As before, but the log starts with a snapshot."""
    for number in range(12):
        cluster.propose(b"%d" % number)
    cluster.restart()
    _replace(cluster)


_CASES = [
    _acknowledge,
    _isolate_one,
    _fill_disk,
    _compact,
    _kill_before_the_sync,
    _replace,
    _replace_by_snapshot,
]


@pytest.mark.parametrize("losses", [1, 2])
@pytest.mark.parametrize("case", _CASES, ids=lambda case: case.__name__[1:])
def test_acknowledged_commands_outlast_disks_and_power(tmp_path, case, losses):
    """Guards against an acknowledgement that too few synced disks back.

    The power of all members is cut right after it, and up to as many disks
    are lost as the group is meant to bear.
    """
    cluster = _Cluster(tmp_path / "before", losses)
    try:
        case(cluster)
        cluster.cut_power(tmp_path / "cut")
        members = sorted(cluster.group.replicas)
    finally:
        cluster.group.stop()
    for number, lost in enumerate(itertools.combinations(members, losses)):
        folder = tmp_path / f"restart-{number}"
        shutil.copytree(tmp_path / "cut", folder)
        rest = [each for each in members if each not in lost]
        _check_restart(folder, rest, cluster.acknowledged)
