"""Tests of replicas as a group."""

import pytest

from papayalink.coordination import errors
from tests.coordination import replica_group

_IDS = ("a", "b", "c")


@pytest.fixture
def group():
    made = replica_group.Group(snapshot_entries=50)
    for member_id in _IDS:
        made.start(member_id, _IDS)
    yield made
    made.stop()


def test_command_is_applied_everywhere(group):
    leader = group.leader()
    assert leader.propose(b"x", 5) == b"1:x"
    group.wait_for(
        lambda: all(m.commands == [b"x"] for m in group.machines.values())
    )
    for follower in group.replicas.values():
        if follower is not leader:
            with pytest.raises(errors.NotLeader) as refusal:
                follower.propose(b"y", 5)
            assert refusal.value.leader_id == leader.leader_id
