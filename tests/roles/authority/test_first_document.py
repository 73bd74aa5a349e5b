"""Tests of the first document of a group that is still joining."""

from types import SimpleNamespace

import pytest

from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.roles.authority import numbered_state
from papayalink.state import machine as machines


class _Replica:
    """Applies commands at once, in a group with some voters."""

    is_leader = True
    leader_id = "a1"

    def __init__(self, machine, voters):
        self._machine = machine
        self._index = 0
        self.membership = SimpleNamespace(voters=tuple(range(voters)))

    def propose(self, command, timeout_s):
        self._index += 1
        return self._machine.apply(self._index, command)


@pytest.fixture
def now(monkeypatch):
    """Time that a test sets."""
    current = [100.0]
    monkeypatch.setattr(numbered_state.time, "monotonic", lambda: current[0])
    return current


@pytest.fixture
def start():
    """Returns: function that makes the state of a leader."""

    def make(voters):
        machine = machines.make_machine()
        state = numbered_state.make_numbered_state(
            machine, None, None, metrics_module.make_metrics()
        )
        replica = _Replica(machine, voters)
        state.attach(replica, 3)
        return state, replica

    return make


@pytest.mark.parametrize("voters", [1, 2])
def test_first_document_waits_for_the_members(start, now, voters):
    """Guards against a document that one lost disk takes along."""
    state, replica = start(voters)
    with pytest.raises(errors.Unavailable):
        state.put(7, b"{}")
    with pytest.raises(errors.Unavailable):
        state.name_weights("m", 2)
    now[0] += numbered_state.FOUNDING_TIMEOUT_S - 0.1
    with pytest.raises(errors.Unavailable):
        state.put(7, b"{}")
    replica.membership.voters = (1, 2, 3)
    assert state.put(7, b"{}") == 7


def test_group_with_fewer_disks_takes_documents_after_a_while(start, now):
    state, _ = start(1)
    with pytest.raises(errors.Unavailable):
        state.put(7, b"{}")
    now[0] += numbered_state.FOUNDING_TIMEOUT_S
    assert state.put(7, b"{}") == 7


def test_group_that_has_lost_voters_takes_documents(start, now):
    """Guards against changes that wait whenever a voter is replaced."""
    state, replica = start(3)
    assert state.put(7, b"{}") == 7
    replica.membership.voters = (1, 2)
    assert state.put(8, b"{}") == 8
