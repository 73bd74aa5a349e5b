"""Tests that errors of what a gateway follows end no calls."""

import time
import zlib

import gevent
import pytest

from papayalink import tasks
from papayalink.coordination import upstream_client
from papayalink.protocol import messages
from papayalink.state import traffic
from papayalink.transport import errors
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=9.0),
    stubs.make_route(
        "stream", traffic.RepeatPolicy.ONCE, timeout_s=9.0, stream=True
    ),
)
_PROMPT = (b"Papayalink-Model: m", b"Papayalink-Token-Usage: 100,10")
_ANSWERS = {
    b"/once/": ("desk1", [1.5, stubs.OK]),
    b"/stream/": (
        "models1",
        [stubs.STREAM, stubs.event(1), 1.5, stubs.event(2), stubs.END],
    ),
}


class _Members:
    """Control members whose replies can't be used for a while.

    Attributes:
        fault: what a call returns, or raises if it is an error.
    """

    def __init__(self, fault):
        self.fault = fault
        self.failures = 0
        self.asked = 0
        self.listed = []

    def call(self, address, method, message, timeout_s):
        self.asked += 1
        gevent.sleep(0.02)
        if self.failures < 3:
            self.failures += 1
            if isinstance(self.fault, errors.TransportError) and not method:
                raise upstream_client.UpstreamClientError(str(self.fault))
            if isinstance(self.fault, Exception):
                # One that is raised again keeps all its former tracebacks.
                raise type(self.fault)(*self.fault.args)
            return self.fault
        match message:
            case messages.Watch():
                return messages.WatchReply(7, zlib.compress(b"{}"))
            case messages.Parts():
                return messages.PartsReply("source", 1, True, ())
        return self.listed

    def list_replicas(self):
        return self.call("", "", None, 0.0)


@pytest.fixture
def exits(monkeypatch):
    """Tasks whose failure would have ended the process."""
    failed = []
    started = []
    spawn = tasks.spawn

    def spawn_noted(function, *arguments):
        started.append(spawn(function, *arguments))
        return started[-1]

    monkeypatch.setattr(tasks, "spawn", spawn_noted)
    monkeypatch.setattr(tasks, "_end_process", failed.append)
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.05)
    yield failed
    gevent.killall(started)


def _follow_document(gateway):
    gateway.process._watcher.start()


def _follow_parts(gateway):
    gateway.process._parts.start()


def _follow_list(gateway):
    gateway.process._listing.start()


def _read_settings(gateway):
    gateway.process._reloading.start(gateway._node.timers)
    gateway._node.timers.start()


# Guards against a process that ends with all its calls, since it meets what
# no one has foreseen in a reply.
@pytest.mark.parametrize("path", _ANSWERS)
@pytest.mark.parametrize(
    "follow", [_follow_document, _follow_parts, _follow_list]
)
@pytest.mark.parametrize(
    "fault",
    [
        KeyError("x"),
        MemoryError("x"),
        RecursionError("x"),
        errors.NotConnected("x"),
        errors.Timeout("x"),
        None,
        7,
    ],
    ids=repr,
)
def test_calls_outlast_replies_that_cannot_be_used(exits, follow, fault, path):
    name, steps = _ANSWERS[path]
    gateway = stopped.Gateway(4.0, [stubs.Upstream(name, steps)], _ROUTES)
    members = _Members(fault)
    members.listed = [
        member.replica for member in gateway.process._fleet.all_members()
    ]
    try:
        headers = _PROMPT if path == b"/stream/" else ()
        calling = gevent.spawn(gateway.call, path, headers)
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
        gateway._node.rpc_client = members
        gateway.process._listing._client = members
        follow(gateway)
        status, _, body = calling.get(timeout=10)
        with gevent.Timeout(10):
            while members.asked < 4:
                gevent.sleep(0.01)
    finally:
        gateway.end()
    assert not exits
    assert status == 200 and body is not None
    if follow is _follow_document:
        assert gateway.process._watcher.number == 7


# Guards against the same by what comes into force with a document.
def test_calls_outlast_a_document_that_cannot_be_applied(exits, monkeypatch):
    name, steps = _ANSWERS[b"/once/"]
    gateway = stopped.Gateway(4.0, [stubs.Upstream(name, steps)], _ROUTES)
    failures = [KeyError("x")]

    def set_stores(stores):
        if failures:
            raise failures.pop()

    monkeypatch.setattr(
        type(gateway.process._placement),
        "set_stores",
        lambda _, s: set_stores(s),
    )
    members = _Members(None)
    members.failures = 3
    try:
        calling = gevent.spawn(gateway.call, b"/once/")
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
        gateway._node.rpc_client = members
        _follow_document(gateway)
        assert calling.get(timeout=10)[0] == 200
    finally:
        gateway.end()
    assert not exits and not failures


# Guards against the same by settings that are read beside calls.
def test_calls_outlast_settings_that_cannot_be_read(exits, monkeypatch):
    name, steps = _ANSWERS[b"/once/"]
    gateway = stopped.Gateway(4.0, [stubs.Upstream(name, steps)], _ROUTES)
    reloading = gateway.process._reloading
    checks = []

    def check(_):
        checks.append(time.monotonic())
        raise RecursionError("settings")

    monkeypatch.setattr(type(reloading), "check", check)
    stamps = iter(range(100))
    monkeypatch.setattr(
        type(reloading), "_read_stamp", lambda _: (next(stamps), 0)
    )
    try:
        calling = gevent.spawn(gateway.call, b"/once/")
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
        _read_settings(gateway)
        for _ in range(3):
            reloading._inbox.put(None)
            gevent.sleep(0.1)
        assert calling.get(timeout=10)[0] == 200
    finally:
        gateway.end()
    assert not exits
    assert len(checks) >= 3


# Guards against the same when the process stops meanwhile.
@pytest.mark.parametrize("path", _ANSWERS)
@pytest.mark.parametrize(
    "fault", [KeyError("x"), errors.Timeout("x")], ids=repr
)
def test_calls_outlast_lost_members_within_a_stop(exits, fault, path):
    name, steps = _ANSWERS[path]
    gateway = stopped.Gateway(4.0, [stubs.Upstream(name, steps)], _ROUTES)
    members = _Members(fault)
    members.failures = float("-inf")
    try:
        headers = _PROMPT if path == b"/stream/" else ()
        calling = gevent.spawn(gateway.call, path, headers)
        while not gateway.upstreams[0].received:
            gevent.sleep(0.005)
        gateway._node.rpc_client = members
        gateway.process._listing._client = members
        for follow in (_follow_document, _follow_parts, _follow_list):
            follow(gateway)
        stopping = gateway.begin_stop()
        status, _, body = calling.get(timeout=10)
        stopping.get(timeout=10)
    finally:
        gateway.end()
    assert not exits and members.asked
    assert status == 200 and body is not None
