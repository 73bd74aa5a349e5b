"""Tests that calls are answered whichever field of the document changes."""

import time
import zlib

import gevent
from gevent import socket
import msgspec
import pytest

from papayalink import node_settings
from papayalink.protocol import messages
from papayalink.roles.gateway import budgets
from papayalink.state import traffic
from tests.roles.gateway import changed_documents
from tests.roles.gateway import standing_still
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_GRACE_S = 6.0
_ROUTES = tuple(
    stubs.make_route(
        name, repeat, timeout_s=6.0, max_attempts=3, stream=stream
    )
    for name, repeat, stream in (
        ("once", traffic.RepeatPolicy.ONCE, False),
        ("safe", traffic.RepeatPolicy.IDEMPOTENT, False),
        ("stream", traffic.RepeatPolicy.ONCE, True),
        ("resumed", traffic.RepeatPolicy.RESUMABLE, True),
    )
)
_DOCUMENT = changed_documents.make_document(_ROUTES)
_CHANGES = changed_documents.make_changes(_DOCUMENT)
_PATHS = ("once", "safe", "stream", "resumed")
_STREAMS = ("stream", "resumed")
_KEY = b"Authorization: Bearer key1"
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 300,10",
    b"Papayalink-Prefix-Hash: shared:200,own:100",
)
_EVENTS = 4
_RUN_S = 0.3
_SILENCE_S = 1.2


def _make_body(path):
    if path not in _STREAMS:
        return b"ok"
    return b"".join(
        b"id: %d\ndata: p%d\n\n" % (number, number)
        for number in range(1, _EVENTS + 1)
    )


class _Upstream(standing_still.Upstream):
    """Answers in 0.3 s, and streams from the event that a call names.

    A script may come before that.
    """

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        if not self.name.startswith("models"):
            return [_RUN_S, stubs.OK]
        _, _, rest = request.partition(b"Last-Event-Id: ")
        first = int(rest.split(b"\r\n")[0] or 0) + 1
        steps = [stubs.STREAM]
        for number in range(first, _EVENTS + 1):
            steps += [stubs.event(number), _RUN_S / 4]
        return [*steps, stubs.END]


class _Gateway(stopped.Gateway):
    """A gateway process with two replicas, whose document changes."""

    def __init__(self, path):
        kind = "models" if path in _STREAMS else "desk"
        self.path = path
        super().__init__(
            _GRACE_S, [_Upstream(f"{kind}{n}") for n in range(2)], ()
        )
        self.fleet = self.process._fleet
        # Streams go on at replicas of the same version only.
        self.fleet.update(
            msgspec.structs.replace(member.replica, software="v1")
            for member in list(self.fleet.all_members())
        )
        # The share of a gateway that has run for a while, and alone.
        handler = self.server._handler.__self__
        handler._shared.budgets = budgets.make_budgets(
            node_settings.Bounds(), lambda: 1.0, float("-inf")
        )
        self._number = 0
        self.put_in_force(_DOCUMENT)

    def put_in_force(self, document):
        self._document = document
        self._number += 1
        self.process._watcher._apply_reply(
            messages.WatchReply(self._number, zlib.compress(b"{}")),
            "",
            time.monotonic(),
        )
        assert self.process._watcher.number == self._number

    def use_only(self, count):
        """Let this many replicas be reached, and the others be lost."""
        for number, member in enumerate(self.fleet.all_members()):
            member.set_reachable(number < count)
            if number >= count:
                member.lost_at = time.monotonic()
        self.fleet.changed.notify()

    def spawn_call(self, pause_s=None):
        """Args: pause_s: pause within the body."""
        return gevent.spawn(self._send, pause_s)

    def _send(self, pause_s):
        headers = [_KEY, *(_PROMPT if self.path in _STREAMS else ())]
        path = b"/%s/x" % self.path.encode()
        if pause_s is None:
            return self.call(path, headers, timeout_s=15)
        head = b"\r\n".join(
            [
                b"POST %s HTTP/1.1" % path,
                b"Host: a.example",
                b"Connection: close",
                b"Content-Length: 6",
                b"Papayalink-Request-Id: c1",
                *headers,
            ]
        )
        with socket.create_connection(self.server.address, 15) as sock:
            sock.sendall(head + b"\r\n\r\nabc")
            gevent.sleep(pause_s)
            sock.sendall(b"def")
            return stubs._read(sock, False)

    def wait_until_it_is_read(self):
        with gevent.Timeout(10):
            while not self.server.in_flight:
                gevent.sleep(0.005)
        gevent.sleep(0.05)

    def wait_until_it_runs(self):
        with gevent.Timeout(10):
            while not any(each.received for each in self.upstreams):
                gevent.sleep(0.005)
        gevent.sleep(0.1)

    def end(self):
        for upstream in self.upstreams:
            upstream.go_on()
        super().end()


# Each of these lets a call be in some state, changes the document, and returns
# the task of the call.


def _change_while_it_runs(gateway, change):
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    change()
    return calling


def _change_while_it_waits(gateway, change):
    gateway.use_only(0)
    calling = gateway.spawn_call()
    gateway.wait_until_it_is_read()
    change()
    gevent.sleep(0.1)
    gateway.use_only(2)
    return calling


def _change_before_it_is_sent_again(gateway, change):
    """Let the first replica break off or refuse, and another one follow."""
    script = [[_RUN_S, stubs.BUSY]]
    if gateway.path in ("safe", "resumed"):
        script = [[_RUN_S, "reset"]]
    for upstream in gateway.upstreams:
        # Whichever is called takes the next one.
        upstream.script = script
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    change()
    return calling


def _change_before_it_goes_on_elsewhere(gateway, change):
    """Let the first replica break off within its stream."""
    script = [[stubs.STREAM, stubs.event(1), _RUN_S, "reset"]]
    for upstream in gateway.upstreams:
        upstream.script = script
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    change()
    return calling


def _change_while_it_waits_to_go_on(gateway, change):
    """Let a stream break off while no other replica is usable."""
    for upstream in gateway.upstreams:
        upstream.script = [[stubs.STREAM, stubs.event(1), _RUN_S, "reset"]]
    gateway.use_only(1)
    gateway.upstreams[1].script = []
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gevent.sleep(_RUN_S)
    change()
    gevent.sleep(0.1)
    gateway.use_only(2)
    return calling


def _change_while_its_replica_is_silent(gateway, change):
    gateway.use_only(1)
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    pause = gevent.spawn(gateway.upstreams[0].stand_still_for, _SILENCE_S)
    gevent.sleep(0.1)
    change()
    pause.get()
    return calling


def _change_while_it_leaves_a_silent_replica(gateway, change):
    gateway.use_only(1)
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gateway.use_only(2)
    pause = gevent.spawn(gateway.upstreams[0].stand_still_for, 2 * _SILENCE_S)
    gevent.sleep(0.1)
    change()
    pause.get()
    return calling


def _change_while_it_is_turned_away(gateway, change):
    """Let the replica refuse that follows a silent one."""
    gateway.use_only(1)
    gateway.upstreams[1].script = [[stubs.BUSY]]
    return _change_while_it_leaves_a_silent_replica(gateway, change)


def _change_beside_a_silence_and_a_stop(gateway, change):
    gateway.use_only(1)
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gateway.begin_stop()
    pause = gevent.spawn(gateway.upstreams[0].stand_still_for, _SILENCE_S)
    gevent.sleep(0.1)
    change()
    pause.get()
    return calling


def _change_beside_a_stop(gateway, change):
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gateway.begin_stop()
    change()
    return calling


def _change_beside_a_reload(gateway, change):
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gateway.process._apply_settings(
        msgspec.structs.replace(gateway._node.settings, seeds=("127.0.0.1:2",))
    )
    change()
    return calling


def _play_all(state, path, documents):
    """Returns: by change, status and body of the answer."""

    def play(name):
        gateway = _Gateway(path)
        try:
            calling = state(
                gateway, lambda: gateway.put_in_force(documents[name])
            )
            status, _, body = calling.get(timeout=15)
            return status, body
        finally:
            gateway.end()

    playing = {name: gevent.spawn(play, name) for name in documents}
    gevent.joinall(playing.values(), raise_error=True)
    return {name: task.value for name, task in playing.items()}


_STATES = (
    _change_while_it_runs,
    _change_while_it_waits,
    _change_before_it_is_sent_again,
    _change_while_its_replica_is_silent,
    _change_while_it_leaves_a_silent_replica,
    _change_while_it_is_turned_away,
    _change_beside_a_stop,
    _change_beside_a_silence_and_a_stop,
    _change_beside_a_reload,
)


# Guards against fields that are added to the document and not changed here.
@pytest.mark.parametrize("kind, table", changed_documents.TABLES)
def test_each_field_changes(kind, table):
    assert set(table) == {field.name for field in msgspec.structs.fields(kind)}


# Guards against a call that ends without the answer of its sound replica
# because it looks at a document that came after it.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("state", _STATES)
def test_call_is_answered_whichever_field_changes(state, path):
    expected = (200, _make_body(path))
    answers = _play_all(state, path, _CHANGES)
    assert answers == dict.fromkeys(_CHANGES, expected)


# Guards against the same for a stream that is to go on at another replica.
@pytest.mark.parametrize(
    "state",
    [_change_before_it_goes_on_elsewhere, _change_while_it_waits_to_go_on],
)
def test_stream_goes_on_whichever_field_changes(state):
    expected = (200, _make_body("resumed"))
    answers = _play_all(state, "resumed", _CHANGES)
    assert answers == dict.fromkeys(_CHANGES, expected)


# What a call gets whose body ends after the change: the document that is in
# force by then handles it, under the limits of the arrival of its head.
_STATUS_AFTER = {
    "no routes": 404,
    "longer routes": 503,
    "no workspaces": 200,
    "route host=b.example": 404,
    "route prefix=/other/": 404,
    "route targets=(Target(service='elsewhere', weight=1),)": 503,
    "workspace keys=('key2',)": 401,
}
# With these a replica's whole answer may be cut: its route says that it is no
# stream, that it has to end in 0.05 s, or may go to a service without replica.
_NOT_JUDGED = (
    "route stream=True",
    "route timeout_s=0.05",
    "routes split",
)


# Guards against a request that ends without an answer because the document
# changes while its body is sent.
@pytest.mark.parametrize("path", _PATHS)
def test_upload_is_answered_whichever_field_changes(path):
    def change_while_it_uploads(gateway, change):
        calling = gateway.spawn_call(pause_s=0.6)
        gevent.sleep(0.3)
        assert not gateway.server.in_flight
        change()
        return calling

    documents = {
        name: document
        for name, document in _CHANGES.items()
        if name not in _NOT_JUDGED
    }
    answers = _play_all(change_while_it_uploads, path, documents)
    statuses = {name: _STATUS_AFTER.get(name, 200) for name in documents}
    assert answers == {
        name: (status, _make_body(path) if status == 200 else b"")
        for name, status in statuses.items()
    }


# Guards against calls that outlast a change by itself, and not its withdrawal
# right after it.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    "state", [_change_while_it_runs, _change_before_it_is_sent_again]
)
def test_call_is_answered_when_a_change_is_withdrawn(state, path):
    def change_and_withdraw(gateway, change):
        def put_both():
            change()
            gevent.sleep(0.02)
            gateway.put_in_force(_DOCUMENT)

        return state(gateway, put_both)

    answers = _play_all(change_and_withdraw, path, _CHANGES)
    assert answers == dict.fromkeys(_CHANGES, (200, _make_body(path)))
