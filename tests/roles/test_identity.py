"""Tests of the identity of control members."""

import errno
import shutil

import pytest

from papayalink.roles.control import identity as identities
from papayalink.transport import errors


class Group:
    """Members that answer introductions unless their name is in `down`."""

    def __init__(self, folder, names):
        self.folder = folder
        self.members = {name: self.open(name) for name in names}
        self.down = set()

    def open(self, name):
        return identities.make_identity(str(self.folder / name), name)

    def introduce(self, name, rounds=1):
        others = [other for other in self.members if other != name]
        stops = iter([False] * rounds)
        identities.introduce(
            self.members[name],
            name,
            others,
            self,
            lambda: next(stops, True),
        )

    def call(self, address, method, message):
        if address in self.down:
            raise errors.NotConnected(address)
        if not self.members[address].register_token(
            message.name, message.token
        ):
            raise errors.RpcRefused("refused")

    def wipe(self, name):
        shutil.rmtree(self.folder / name)
        self.members[name] = self.open(name)


@pytest.fixture
def group(tmp_path, monkeypatch):
    monkeypatch.setattr(identities.gevent, "sleep", lambda seconds: None)
    return Group(tmp_path, ["c1", "c2", "c3"])


def test_first_start_keeps_the_name_as_id(group):
    for name in group.members:
        group.introduce(name)
    assert [member.member_id for member in group.members.values()] == [
        "c1",
        "c2",
        "c3",
    ]
    assert all(member.admitted for member in group.members.values())


def test_restart_keeps_the_identity(group):
    group.introduce("c1")
    token = group.members["c1"].token
    assert group.open("c1").token == token
    assert group.open("c1").admitted


def test_wiped_member_gets_a_new_id(group):
    """Guards against a member that votes again under its old id."""
    for name in group.members:
        group.introduce(name)
    group.wipe("c2")
    group.introduce("c2")
    assert group.members["c2"].member_id.startswith("c2.")
    assert not group.members["c2"].has_first_id


def test_wiped_member_waits_for_every_other_member(group):
    """Guards against a wiped member that asks only other wiped members."""
    for name in group.members:
        group.introduce(name)
    group.wipe("c1")
    group.introduce("c1")
    group.wipe("c2")
    group.down = {"c3"}
    group.introduce("c2", rounds=3)
    # c1 joined again under a new id, so its record of first tokens does not
    # count.
    assert not group.members["c2"].has_first_id


def test_unreachable_member_delays_the_first_start(group):
    group.down = {"c3"}
    group.introduce("c1", rounds=3)
    assert not group.members["c1"].admitted


def test_token_that_was_not_written_is_not_known(group, monkeypatch):
    """Guards against a first token that a restart forgets.

    The member would then take the token of an emptied folder for the first.
    """
    member = group.members["c1"]

    def refuse(*_):
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as full_disk:
        full_disk.setattr(identities.os, "fsync", refuse)
        for _ in range(2):
            with pytest.raises(OSError):
                member.register_token("c2", "first")
    assert member.register_token("c2", "first")
    assert not group.open("c1").register_token("c2", "other")
