"""Tests of gateways that get a document which their version can't use."""

import time
from types import SimpleNamespace
import zlib

import gevent
import pytest

from papayalink.coordination import weight_history
from papayalink.protocol import messages
from papayalink.roles.gateway import listing
from papayalink.roles.gateway import watching
from papayalink.state import traffic
from tests.roles.gateway import stopped

# Bounds the wait of a failing test; a passing test never waits that long.
_FAILURE_S = 10.0
_UNUSABLE = b"unusable"


class _Member:
    """Answers each watch with the newest document, as a member does."""

    def __init__(self):
        self.number = 0
        self.content = b""
        self.weights = {}
        self.asked = []

    def put(self, number, content=b"{}"):
        self.number = number
        self.content = content

    def call(self, address, method, watch, timeout_s):
        self.asked.append(watch.number)
        gevent.sleep(0.01)
        document = b""
        if self.number > watch.number:
            document = zlib.compress(self.content)
        return messages.WatchReply(
            number=self.number, document=document, weights=self.weights
        )


def _translate(content):
    if content == _UNUSABLE:
        raise ValueError("of a newer version")
    return traffic.TrafficDocument(
        number=0, routes=(), services=(), workspaces=()
    )


@pytest.fixture
def member():
    return _Member()


@pytest.fixture
def watcher(member):
    node = SimpleNamespace(
        settings=SimpleNamespace(name="g", seed_peers=("127.0.0.1:1",)),
        rpc_client=member,
    )
    started = watching.make_watcher(
        node, _translate, lambda: None, weight_history.make_weight_history()
    )
    task = gevent.spawn(started._run)
    yield started
    assert not task.ready()
    task.kill()


def _wait_for(condition):
    with gevent.Timeout(_FAILURE_S):
        while not condition():
            gevent.sleep(0.01)


def test_gateway_goes_on_with_the_document_that_it_holds(member, watcher):
    """Guards against gateways that end with all calls at a document."""
    member.put(3)
    _wait_for(lambda: watcher.number == 3)
    held = watcher.directory
    member.put(4, _UNUSABLE)
    member.weights = {"m": 7}
    _wait_for(lambda: watcher.unusable_number == 4)
    _wait_for(lambda: watcher.weights == {"m": 7})
    assert (watcher.number, watcher.directory) == (3, held)
    # It asks for what follows, and is not sent the document again.
    asked = len(member.asked)
    _wait_for(lambda: len(member.asked) > asked + 2)
    assert set(member.asked[asked + 1 :]) == {4}
    member.put(5)
    _wait_for(lambda: watcher.number == 5)
    assert watcher.unusable_number == 0
    assert watcher.directory is not held


def test_gateway_does_not_go_back_to_an_older_document(member, watcher):
    """Guards against an older document after one that can't be used."""
    member.put(3)
    _wait_for(lambda: watcher.number == 3)
    member.put(5, _UNUSABLE)
    _wait_for(lambda: watcher.unusable_number == 5)
    watcher._apply_reply(
        messages.WatchReply(number=4, document=zlib.compress(b"{}")),
        "127.0.0.1:1",
        time.monotonic(),
    )
    assert watcher.number == 3


def test_age_of_a_document_grows_while_the_newest_can_not_be_used(
    member, watcher
):
    """Guards against an overtaken document that is shown as confirmed."""
    member.put(3)
    _wait_for(lambda: watcher.number == 3)
    member.put(4, _UNUSABLE)
    _wait_for(lambda: watcher.unusable_number == 4)
    confirmed_at = watcher._confirmed_at
    asked = len(member.asked)
    _wait_for(lambda: len(member.asked) > asked + 2)
    assert watcher._confirmed_at == confirmed_at
    member.put(5)
    _wait_for(lambda: watcher.number == 5)
    assert watcher._confirmed_at > confirmed_at


def test_first_document_is_taken_after_one_that_can_not_be_used(
    member, watcher
):
    """Guards against a start that ends again and again."""
    member.put(3, _UNUSABLE)
    _wait_for(lambda: watcher.unusable_number == 3)
    assert watcher.directory is None
    assert watcher.age_s() == float("inf")
    member.put(4)
    _wait_for(lambda: watcher.number == 4)


@pytest.mark.parametrize("held", [True, False])
def test_gateway_shows_that_it_can_not_use_a_document(monkeypatch, held):
    """Guards against a gateway that hides it, or takes calls without one."""
    monkeypatch.setattr(listing.Listing, "age_s", lambda _: 0.0)
    gateway = stopped.Gateway(8.0, [], [])
    try:
        process = gateway.process
        process._watcher._translate = _translate
        contents = [b"{}", _UNUSABLE] if held else [_UNUSABLE]
        for number, content in enumerate(contents, start=2):
            process._watcher._apply_reply(
                messages.WatchReply(number, zlib.compress(content)),
                "",
                time.monotonic(),
            )
        assert process.accepting == held
        newest = 1 + len(contents)
        assert process.gauges()["unusable_document_number"]() == newest
        assert process.dump()["unusable_document"] == newest
        status, _, _ = gateway.call(b"/none/")
        assert status == (404 if held else 503)
    finally:
        gateway.end()
