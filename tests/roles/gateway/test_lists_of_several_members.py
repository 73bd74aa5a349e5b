"""Tests of an entry that gets lists from several control members.

Each member numbers the lists that it has read by itself.
"""

from types import SimpleNamespace

import pytest

from papayalink.protocol import messages
from papayalink.roles.authority import service as services
from papayalink.state import part_directory
from tests.roles.gateway import stubs
from tests.roles.gateway import test_listing


class _Relay:
    """Lists of one member, read as the test says."""

    software = {}

    def __init__(self, *lists):
        self._lists = lists
        self.number = 1

    @property
    def listed(self):
        names = self._lists[self.number - 1]
        return tuple(test_listing._replica(name) for name in names)

    def age_ms(self):
        return 0

    def note_demand(self):
        pass


class _Member:
    """A control member, which may not have read its stores yet."""

    def __init__(self, relay, complete):
        self.relay = relay
        self.stores = SimpleNamespace(
            complete=complete,
            directory=part_directory.make_part_directory(),
            note_demand=lambda: None,
        )
        self.service = services.make_service(
            stubs.NOT_LEADING,
            None,
            None,
            True,
            None,
            self.stores,
            relay,
        )


def _make_entry(replies, **members):
    entry = test_listing._Entry(test_listing._Client())

    def call(address, method, message, timeout_s):
        message = messages.decode(messages.encode(message))
        reply = members[address].service.parts(message)
        replies.append(reply)
        return messages.decode(messages.encode(reply))

    entry.follower._node = SimpleNamespace(
        settings=SimpleNamespace(name="e"),
        rpc_client=SimpleNamespace(call=call),
    )
    return entry


@pytest.mark.parametrize("complete", [False, True])
@pytest.mark.parametrize("newest", [("r2",), ("r2", "r3"), ("r1", "r2", "r3")])
def test_list_of_another_member_does_not_stand_for_a_newer_one(
    skip_time, complete, newest
):
    """Guards against replicas that leave or come and are not noticed.

    An entry asks a new member for a moment, and then the first one again,
    whose newest list has the number that the new member gave to an older one.
    """
    first = _Member(_Relay(("r1",), newest), True)
    other = _Member(_Relay((), ("r1", "r2")), complete)
    other.relay.number = 2
    entry = _make_entry([], first=first, other=other)
    assert entry.follower._exchange("first")
    assert entry.names == ["r1"]
    skip_time(0.3)
    assert entry.follower._exchange("other")
    assert entry.names == ["r1", "r2"]
    first.relay.number = 2
    skip_time(0.3)
    assert entry.follower._exchange("first")
    assert entry.names == list(newest)


def test_unchanged_list_is_sent_once(skip_time):
    """Guards against a list that each exchange carries again."""
    member = _Member(_Relay(("r1",)), True)
    replies = []
    entry = _make_entry(replies, first=member)
    for _ in range(4):
        skip_time(0.2)
        assert entry.follower._exchange("first")
        assert entry.listing.age_s() < 0.2
    assert [len(reply.listed) for reply in replies] == [1, 0, 0, 0]
