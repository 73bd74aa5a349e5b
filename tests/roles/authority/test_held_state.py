"""Tests of what a member gives to entries while nobody confirms it."""

import types

import pytest

from papayalink.coordination import errors
from papayalink.protocol import messages
from papayalink.roles.authority import numbered_state
from papayalink.roles.authority import service as services


class _Replica:
    """Confirms what is applied while the group has a leader."""

    def __init__(self):
        self.has_leader = False

    def confirm_read(self, timeout_s):
        if not self.has_leader:
            raise errors.Unavailable("of the test")


def test_member_gives_what_it_has_confirmed_once_since_its_start():
    """Guards against documents of an old snapshot, with keys taken away since.

    A member that starts applies its snapshot, and learns what was committed
    after it from a leader only.
    """
    replica = _Replica()
    machine = types.SimpleNamespace(
        numbered=types.SimpleNamespace(
            number=3, content=b"{}", weights={"m": 2}
        )
    )
    state = numbered_state.make_numbered_state(machine, None, None, None)
    state.attach(replica)
    service = services.make_service(
        state, machine, None, True, None, None, None
    )
    with pytest.raises(errors.Unavailable):
        service.observe_weights()
    assert service.read_held(messages.ReadHeld()) == messages.WatchReply(0)
    replica.has_leader = True
    service.observe_weights()
    replica.has_leader = False
    held = service.read_held(messages.ReadHeld())
    assert (held.number, held.content, held.weights) == (3, b"{}", {"m": 2})
