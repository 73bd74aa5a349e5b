"""Tests of gateways that start while no member can confirm a document."""

import zlib

import gevent
import pytest

from papayalink.coordination import weight_history
from papayalink.protocol import messages
from papayalink.roles.gateway import held_document
from papayalink.roles.gateway import watching
from papayalink.state import traffic
from papayalink.transport import errors

# Bounds the wait of a failing test; a passing test never waits that long.
_FAILURE_S = 20.0


class _Members:
    """Control members, by the number of the document that each one holds.

    Attributes:
        confirm: whether they can confirm it.
        asked: those that have told what they hold, once for each time.
    """

    def __init__(self, *held):
        self.confirm = False
        self.asked = []
        self._held = {f"m{each}": number for each, number in enumerate(held)}
        self.addresses = tuple(self._held)

    def call(self, address, method, message, timeout_s):
        gevent.sleep(0.001)
        number = self._held[address]
        if number is None:
            raise errors.ConnectionLost("of the test")
        if method == "Watch" and not self.confirm:
            raise errors.RpcRefused("unavailable", "of the test")
        if method == "ReadHeld":
            self.asked.append(address)
        known = getattr(message, "number", 0)
        return messages.WatchReply(
            number,
            zlib.compress(b"%d" % number) if number > known else b"",
            {"m": number},
        )


class _Node:
    def __init__(self, members):
        self.rpc_client = members
        self.settings = self
        self.name = "e1"
        self.seed_peers = members.addresses


def _translate(content):
    return traffic.TrafficDocument(
        number=int(content), routes=(), services=(), stores=()
    )


@pytest.fixture
def start():
    """Function that starts a watcher in front of members."""

    def start_watcher(members):
        node = _Node(members)
        watcher = watching.make_watcher(
            node,
            _translate,
            lambda: None,
            weight_history.make_weight_history(),
        )
        watcher.start()
        held_document.make_held_document(node, watcher).start()
        return watcher

    return start_watcher


def _wait_for(condition):
    with gevent.Timeout(_FAILURE_S):
        while not condition():
            gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("held", "number"),
    [((3,), 3), ((3, 5, 4), 5), ((None, 2, None), 2), ((0, 0, 1), 1)],
)
def test_gateway_begins_with_the_newest_document_that_is_held(
    start, held, number
):
    """Guards against refusals while no member leads."""
    watcher = start(_Members(*held))
    assert watcher.wait_directory(_FAILURE_S) is not None
    assert watcher.number == number
    assert watcher.weights == {"m": number}
    # Nobody has confirmed it.
    assert watcher.age_s() == float("inf")


def test_members_that_are_gone_right_after_the_start(start, monkeypatch):
    """Guards against refusals beside members that stop at that moment."""
    monkeypatch.setattr(held_document, "CONFIRM_WAIT_S", 1.0)
    members = _Members(3, 4)
    watcher = start(members)
    _wait_for(lambda: set(members.asked) == set(members.addresses))
    # One that is confirmed may still come.
    assert watcher.directory is None
    members._held = dict.fromkeys(members.addresses)
    _wait_for(lambda: watcher.number == 4)


def test_confirmed_document_replaces_the_held_one(start):
    members = _Members(3, 4)
    watcher = start(members)
    _wait_for(lambda: watcher.number == 4)
    members._held = dict.fromkeys(members.addresses, 6)
    members.confirm = True
    _wait_for(lambda: watcher.number == 6 and watcher.age_s() < 1.0)


def test_held_document_does_not_replace_one_in_force(start):
    """Guards against a document that goes back."""
    members = _Members(7, 7)
    members.confirm = True
    watcher = start(members)
    _wait_for(lambda: watcher.number == 7)
    members.confirm = False
    watcher.use_held(messages.WatchReply(9, zlib.compress(b"9"), {"m": 9}))
    assert watcher.number == 7
    assert watcher.weights == {"m": 7}


@pytest.mark.parametrize("held", [(0, 0), (None,)])
def test_gateway_without_any_document_has_none(start, held):
    """Guards against an empty document at the first start."""
    watcher = start(_Members(*held))
    assert watcher.wait_directory(_FAILURE_S) is None
    assert watcher.directory is None


def test_members_that_confirm_that_there_is_none_are_not_asked_again(start):
    """Guards against load by all gateways of a new deployment."""
    members = _Members(0, 0, 0)
    members.confirm = True
    watcher = start(members)
    _wait_for(lambda: watcher.connected)
    members.asked.clear()
    gevent.sleep(2 * held_document.CONFIRM_WAIT_S)
    assert not members.asked
