"""Tests of authorities whose disks fail or are full for a while."""

import errno
import pathlib

import pytest

from papayalink import tasks
from papayalink.roles.authority import process
from papayalink.state import log_entries
from papayalink.state import log_store
from papayalink.state import segments
from tests.roles.authority import members
from tests.roles.authority import ports
from tests.roles.authority import test_authorities as authorities
from tests.state import faulty_files
from tests.state import full_disk

_HOSTS = (1, 2, 3)
_COMMAND = log_entries.EntryKind.COMMAND


class Group:
    """Three authorities whose file operations a test can make fail.

    Attributes:
        files: file operations of the log of each member, by host.
        members: running members, by host.
        exit_codes: exit codes of processes that ended by themselves.
    """

    def __init__(self, folder, monkeypatch):
        self.files = {host: faulty_files.FaultyFiles() for host in _HOSTS}
        self.members = {}
        self.exit_codes = []
        self._folder = folder
        self._ports = [ports.choose("127.0.9.1") for _ in range(2)]
        self._client = authorities._Replicas()
        make_store = log_store.DiskLogStore
        monkeypatch.setattr(
            process.log_store,
            "DiskLogStore",
            lambda path: make_store(path, self._files_of(path)),
        )
        monkeypatch.setattr(tasks.os, "_exit", self.exit_codes.append)
        monkeypatch.setattr(tasks.logs, "close", lambda: None)

    def start(self, host, first_start=False):
        self.members[host] = members.Member(
            f"127.0.9.{host}",
            *self._ports,
            self._folder / str(host),
            self._client,
            first_start,
        )

    def replica(self, host):
        return self.members[host].process._replica

    def put(self, number):
        """Store a document through any member, as operators do."""
        body = authorities._document(number)
        members.wait_until(
            lambda: any(
                member.put(body) == 200 for member in self.members.values()
            )
        )

    def wait_until_all_take_part(self):
        """Wait until the disk of each member holds the newest change."""
        self.wait_until(self._all_take_part)

    wait_until = staticmethod(members.wait_until)

    def _all_take_part(self):
        replicas = [self.replica(host) for host in self.members]
        if None in replicas:
            return False
        states = [replica.status() for replica in replicas]
        newest = max(state["commit"] for state in states)
        return newest > 0 and all(
            state["persisted"] >= newest
            and not state["disk_full"]
            and state["failure"] is None
            for state in states
        )

    def _files_of(self, path):
        return self.files[int(pathlib.Path(path).parent.name)]


@pytest.fixture
def group(tmp_path, monkeypatch):
    new_group = Group(tmp_path, monkeypatch)
    for host in _HOSTS:
        new_group.start(host, first_start=True)
    new_group.put(2)
    new_group.wait_until_all_take_part()
    yield new_group
    for member in new_group.members.values():
        member.stop()


@pytest.mark.parametrize("host", _HOSTS)
@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({"error": errno.EIO}, id="write"),
        pytest.param({"sync_error": errno.EIO}, id="sync"),
        pytest.param({"error": errno.EROFS}, id="read-only"),
    ],
)
def test_failed_log_ends_the_process(group, host, fault):
    """Guards against a process that runs on without its replica.

    Nobody restarts such a process, and two of them leave a group of three
    without a quorum.
    """
    for name, value in fault.items():
        setattr(group.files[host], name, value)
    group.put(3)
    group.wait_until(lambda: group.exit_codes == [tasks.EXIT_TASK_FAILED])
    group.put(4)


def test_failed_command_ends_the_process(group, monkeypatch):
    """Guards against a process that runs on without its replica."""

    monkeypatch.setattr(group.replica(2), "_machine", None)
    group.put(3)
    group.wait_until(lambda: group.exit_codes == [tasks.EXIT_TASK_FAILED])


def test_disks_full_in_turn_cost_no_member(group):
    """Guards against changes that stay refused after disks have room again."""
    number = 2
    for host in 2 * _HOSTS:
        group.files[host].error = errno.ENOSPC
        for _ in range(3):
            number += 1
            group.put(number)
        group.wait_until(lambda: group.replica(host).status()["disk_full"])
        group.files[host].error = None
        group.wait_until_all_take_part()
    group.put(number + 1)
    group.wait_until_all_take_part()
    assert not group.exit_codes


seeds = authorities.seeds


@pytest.mark.parametrize("first_start", [False, True])
@pytest.mark.parametrize("first_refused", range(12))
def test_founder_returns_from_a_disk_full_at_its_first_start(
    tmp_path, seeds, monkeypatch, first_start, first_refused
):
    """Guards against a founder that never knows the members of its group.

    It votes and is no candidate; nobody can lead once the group needs its
    log.
    """
    exit_codes = []
    monkeypatch.setattr(tasks.os, "_exit", exit_codes.append)
    monkeypatch.setattr(tasks.logs, "close", lambda: None)
    disk = full_disk.FullDisk(first=first_refused)
    make_store = log_store.DiskLogStore
    monkeypatch.setattr(
        process.log_store, "DiskLogStore", lambda path: make_store(path, disk)
    )
    port = seeds(s2=True, s3=True)

    def start(is_first):
        return members.Member(
            "127.0.9.1",
            port,
            ports.choose("127.0.9.1"),
            tmp_path,
            authorities._Replicas(),
            is_first,
        )

    def settled():
        return exit_codes or member.process._replica is not None

    member = start(True)
    members.wait_until(settled)
    member.stop()
    exit_codes.clear()
    disk.first = None
    member = start(first_start)
    members.wait_until(settled)
    try:
        assert not exit_codes
        assert member.process._identity.has_first_id
        assert member.process._replica.membership.voters == (
            "127-0-9-1",
            "127-0-9-2",
            "127-0-9-3",
        )
    finally:
        member.stop()


def test_log_is_discarded_at_once_or_not_at_all(tmp_path, seeds, monkeypatch):
    """Guards against a member that can't start with a part of its old log."""

    class Killed(BaseException):
        pass

    def remove_snapshots(folder, **_):
        for path in pathlib.Path(folder).glob("*.snapshot"):
            path.unlink()
            raise Killed

    port = seeds(s2=True, s3=True)
    member = members.Member(
        "127.0.9.1",
        port,
        ports.choose("127.0.9.1"),
        tmp_path,
        authorities._Replicas(),
    )
    members.wait_until(lambda: member.process._replica is not None)
    member.process._replica.stop()
    log_folder = tmp_path / "log"
    store = log_store.DiskLogStore(log_folder)
    store.load()
    store.append([log_entries.Entry(1, 1, _COMMAND, b"x")], None)
    store.save_snapshot(1, 1, (b"state",))
    store.compact(1)
    store.append([log_entries.Entry(2, 1, _COMMAND, b"y")], None)
    store.close()
    monkeypatch.setattr(process.shutil, "rmtree", remove_snapshots)
    with pytest.raises(Killed):
        member.process._exit_removed()
    member.stop()
    log_store.DiskLogStore(log_folder).load()


def test_log_is_removed_once_its_new_name_is_durable(tmp_path, monkeypatch):
    """Guards against a power loss that brings a part of the old log back."""
    steps = []
    rename, rmtree = process.os.rename, process.shutil.rmtree

    def record_rename(source, target):
        rename(source, target)
        steps.append("rename")

    def record_sync(descriptor):
        path = pathlib.Path(f"/proc/self/fd/{descriptor}").readlink()
        steps.append(("sync", path))

    def record_removal(folder, **keywords):
        if pathlib.Path(folder).exists():
            steps.append("remove")
        rmtree(folder, **keywords)

    log_folder = tmp_path / "log"
    store = log_store.DiskLogStore(log_folder)
    store.load()
    store.close()
    monkeypatch.setattr(process.os, "rename", record_rename)
    monkeypatch.setattr(segments.os, "fsync", record_sync)
    monkeypatch.setattr(process.shutil, "rmtree", record_removal)
    process._discard_log(str(log_folder))
    assert steps == ["rename", ("sync", tmp_path), "remove"]
    assert list(tmp_path.iterdir()) == []
