"""Tests that requests that were read whole are answered, whatever changes."""

import errno
import time
from types import SimpleNamespace
import zlib

import gevent
from gevent import socket
import msgspec
import pytest

from papayalink.protocol import messages
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests import turns
from tests.roles.gateway import standing_still
from tests.roles.gateway import stopped
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=6.0),
    stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT, timeout_s=6.0),
    stubs.make_route(
        "stream", traffic.RepeatPolicy.ONCE, timeout_s=6.0, stream=True
    ),
    stubs.make_route(
        "resumed", traffic.RepeatPolicy.RESUMABLE, timeout_s=6.0, stream=True
    ),
)
_PATHS = tuple(f"/{route.name}/".encode() for route in _ROUTES)
_STREAMS = (b"/stream/", b"/resumed/")
_WORKSPACE = traffic.Workspace(name="w1", keys=("key1",))
_KEY = b"Authorization: Bearer key1"
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)
_EVENTS = 4


class _Upstream(standing_still.Upstream):
    """Answers in 0.3 s, and streams from the event that a call names."""

    def next_steps(self, request):
        if self.script:
            return self.script.pop(0)
        if not self.name.startswith("models"):
            return [0.3, stubs.OK]
        _, _, rest = request.partition(b"Last-Event-Id: ")
        first = int(rest.split(b"\r\n")[0] or 0) + 1
        steps = [stubs.STREAM]
        for number in range(first, _EVENTS + 1):
            steps += [stubs.event(number), 0.07]
        return [*steps, stubs.END]


def _make_body(path):
    if path not in _STREAMS:
        return b"ok"
    return b"".join(
        b"id: %d\ndata: p%d\n\n" % (number, number)
        for number in range(1, _EVENTS + 1)
    )


@pytest.fixture
def start():
    """Function that starts a gateway before upstreams that can stand still."""
    started = []

    def make(path, count):
        kind = "models" if path in _STREAMS else "desk"
        upstreams = [_Upstream(f"{kind}{each}") for each in range(count)]
        started.append(stubs.Gateway(upstreams, _ROUTES, [_WORKSPACE]))
        return started[-1]

    yield make
    for gateway in started:
        for upstream in gateway.upstreams:
            upstream.go_on()
        gateway.stop()


def _spawn_call(gateway, path):
    headers = [_KEY, *(_PROMPT if path in _STREAMS else ())]
    return gevent.spawn(gateway.call, path, headers, timeout_s=10)


def _wait_until_they_run(gateway, count):
    while sum(len(each.received) for each in gateway.upstreams) < count:
        gevent.sleep(0.005)
    # Streams have begun.
    gevent.sleep(0.1)


def _wait_until_they_are_read(gateway, count):
    while gateway.server.in_flight < count:
        gevent.sleep(0.005)
    gevent.sleep(0.1)


def _put_in_force(gateway, **fields):
    """Let a document with these fields come into force."""
    watcher = gateway.shared.watcher
    document = msgspec.structs.replace(watcher.directory.traffic, **fields)
    watcher.number += 1
    watcher.directory = traffic.make_directory(document)


def _replace_routes(gateway, change):
    routes = gateway.shared.watcher.directory.traffic.routes
    changed = tuple(msgspec.structs.replace(r, **change(r)) for r in routes)
    _put_in_force(gateway, routes=changed)


def _remove_routes(gateway):
    _put_in_force(gateway, routes=())


def _rename_routes(gateway):
    _replace_routes(gateway, lambda route: {"name": f"{route.name}-new"})


def _move_routes(gateway):
    target = traffic.Target("elsewhere", 1)
    _replace_routes(gateway, lambda route: {"targets": (target,)})


def _shorten_timeouts(gateway):
    _replace_routes(gateway, lambda route: {"timeout_s": 0.05})


def _remove_workspaces(gateway):
    _put_in_force(gateway, workspaces=())


def _rename_workspaces(gateway):
    renamed = msgspec.structs.replace(_WORKSPACE, name="w2", rank=7)
    _put_in_force(gateway, workspaces=(renamed,))


def _move_keys(gateway):
    other = traffic.Workspace(name="w1", keys=("key2",), isolated=True)
    _put_in_force(gateway, workspaces=(other,))


def _shrink_limits(gateway):
    limits = traffic.CallerLimits(
        header_bytes=16,
        body_bytes=1,
        header_timeout_s=0.01,
        idle_timeout_s=0.01,
    )
    _put_in_force(gateway, limits=limits)


_DOCUMENT_CHANGES = (
    _remove_routes,
    _rename_routes,
    _move_routes,
    _shorten_timeouts,
    _remove_workspaces,
    _rename_workspaces,
    _move_keys,
    _shrink_limits,
)


def _list(gateway, **fields):
    """Let the platform list the first replica with other fields."""
    listed = [member.replica for member in gateway.fleet.all_members()]
    listed[0] = msgspec.structs.replace(listed[0], **fields)
    gateway.fleet.update(listed)


def _let_go(gateway):
    _list(gateway, condition=replicas.Condition.LEAVING)


def _say_it_leaves(gateway):
    member = next(iter(gateway.fleet.all_members()))
    answer = SimpleNamespace(leaving=True)
    gateway.departures.note_answer(member, answer)


def _remove_from_list(gateway):
    listed = [member.replica for member in gateway.fleet.all_members()]
    gateway.fleet.update(listed[1:])


def _replace_under_its_id(gateway):
    _list(gateway, born_ms=7, address=gateway.upstreams[-1].address)


def _replace_under_its_address(gateway):
    _list(gateway, replica_id=f"{gateway.upstreams[0].name}-next", born_ms=7)


def _take_its_limit(gateway):
    for member in gateway.fleet.all_members():
        member.limit_per_s = 0.5


_REPLICA_CHANGES = (
    _let_go,
    _say_it_leaves,
    _remove_from_list,
    _replace_under_its_id,
    _replace_under_its_address,
    _take_its_limit,
)


# Guards against calls that a replica runs and that end without their answer
# because the document or the list of replicas changes meanwhile.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("change", _DOCUMENT_CHANGES + _REPLICA_CHANGES)
def test_running_calls_outlast_changes(start, path, change):
    gateway = start(path, 2)
    calling = [_spawn_call(gateway, path) for _ in range(4)]
    _wait_until_they_run(gateway, 4)
    change(gateway)
    answers = [each.get(timeout=10) for each in calling]
    assert [(status, body) for status, _, body in answers] == [
        (200, _make_body(path))
    ] * 4


# Guards against the same for calls whose replica stands still during the
# change, so that it is checked whether it can still be reached.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("change", _DOCUMENT_CHANGES + _REPLICA_CHANGES)
def test_calls_outlast_changes_while_their_replica_is_silent(
    start, path, change
):
    gateway = start(path, 1)
    calling = [_spawn_call(gateway, path) for _ in range(2)]
    _wait_until_they_run(gateway, 2)
    pause = gevent.spawn(gateway.upstreams[0].stand_still_for, 1.2)
    gevent.sleep(0.1)
    change(gateway)
    pause.get()
    answers = [each.get(timeout=10) for each in calling]
    assert [(status, body) for status, _, body in answers] == [
        (200, _make_body(path))
    ] * 2


# Guards against calls that wait for a replica and end without an answer
# because the document changes: they are sent as the document of their arrival
# allows.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("change", _DOCUMENT_CHANGES)
def test_waiting_calls_outlast_new_documents(start, path, change):
    gateway = start(path, 1)
    member = gateway.fleet.find(gateway.upstreams[0].name)
    member.set_reachable(False)
    member.lost_at = time.monotonic()
    calling = [_spawn_call(gateway, path) for _ in range(2)]
    _wait_until_they_are_read(gateway, 2)
    change(gateway)
    gevent.sleep(0.1)
    assert not gateway.upstreams[0].received
    member.set_reachable(True)
    gateway.fleet.changed.notify()
    answers = [each.get(timeout=10) for each in calling]
    assert [(status, body) for status, _, body in answers] == [
        (200, _make_body(path))
    ] * 2


# Guards against calls that wait for a replica and end without an answer
# because that replica goes: they are refused, or sent to what took its place.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("change", _REPLICA_CHANGES)
def test_waiting_calls_are_answered_when_their_replica_goes(
    start, path, change
):
    gateway = start(path, 1)
    member = gateway.fleet.find(gateway.upstreams[0].name)
    member.set_reachable(False)
    member.lost_at = time.monotonic()
    calling = [_spawn_call(gateway, path) for _ in range(2)]
    _wait_until_they_are_read(gateway, 2)
    change(gateway)
    member.set_reachable(True)
    gateway.fleet.changed.notify()
    answers = [each.get(timeout=10) for each in calling]
    ends = {(status, body) for status, _, body in answers}
    assert ends <= {(200, _make_body(path)), (503, b"")}


class _NoDescriptors:
    """The socket module of a process that has no descriptor left."""

    def __getattr__(self, name):
        return getattr(socket, name)

    def socket(self, *_):
        raise OSError(errno.EMFILE, "Too many open files")


def _make_silence(path, silence_s):
    """Returns: steps of a whole answer that makes a pause."""
    if path not in _STREAMS:
        return [silence_s, stubs.OK]
    events = [stubs.event(number) for number in range(1, _EVENTS + 1)]
    return [stubs.STREAM, events[0], silence_s, *events[1:], stubs.END]


# Guards against streams that are cut, and calls that end with 500, because
# their silent replica can't be checked without a free descriptor.
@pytest.mark.parametrize("path", _PATHS)
def test_calls_outlast_a_lack_of_descriptors(start, path, monkeypatch):
    gateway = start(path, 2)
    for upstream in gateway.upstreams:
        upstream.script = [_make_silence(path, 1.0)]
    calling = _spawn_call(gateway, path)
    _wait_until_they_run(gateway, 1)
    monkeypatch.setattr(upstream_channels, "socket", _NoDescriptors())
    status, _, body = calling.get(timeout=10)
    assert (status, body) == (200, _make_body(path))


# Guards against calls that end with 500 because no connection can be opened
# for a moment.
@pytest.mark.parametrize("path", _PATHS)
def test_new_calls_wait_for_a_descriptor(start, path, monkeypatch):
    gateway = start(path, 1)
    with monkeypatch.context() as patch:
        patch.setattr(upstream_channels, "socket", _NoDescriptors())
        calling = _spawn_call(gateway, path)
        member = gateway.fleet.find(gateway.upstreams[0].name)
        while member.reachable and not calling.ready():
            gevent.sleep(0.005)
    status, _, body = calling.get(timeout=10)
    assert (status, body) == (200, _make_body(path))


def _fail(*_, **__):
    raise KeyError("fault in what is recorded")


# Guards against a call that ends with 500, or a stream that is cut, because
# what its answer shows of a replica can't be recorded.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    "component, method",
    [
        ("fleet", "note_first_token"),
        ("fleet", "note_memory_held"),
        ("limits", "note_answer"),
        ("departures", "note_answer"),
        ("crashes", "note_whole_answer"),
        ("run_times", "note"),
    ],
)
def test_call_outlasts_a_fault_in_what_is_recorded(
    start, path, component, method, monkeypatch
):
    gateway = start(path, 1)
    owner = type(getattr(gateway.shared, component))
    monkeypatch.setattr(owner, method, _fail)
    status, _, body = _spawn_call(gateway, path).get(timeout=10)
    assert (status, body) == (200, _make_body(path))


# Guards against a call that doesn't go on elsewhere because the loss of its
# replica can't be recorded.
@pytest.mark.parametrize("path", [b"/safe/", b"/resumed/"])
def test_call_outlasts_a_fault_when_its_replica_is_lost(
    start, path, monkeypatch
):
    gateway = start(path, 2)
    lost, other = gateway.upstreams
    begun = [stubs.STREAM, stubs.event(1)] if path in _STREAMS else [0.1]
    lost.script = [[*begun, "reset"]]
    gateway.fleet.find(other.name).set_reachable(False)
    monkeypatch.setattr(type(gateway.shared.crashes), "note_lost", _fail)
    calling = _spawn_call(gateway, path)
    while not lost.received:
        gevent.sleep(0.001)
    gateway.fleet.find(other.name).set_reachable(True)
    status, _, body = calling.get(timeout=10)
    assert (status, body) == (200, _make_body(path))


# Guards against a call that ends, or a stream that is cut, because the check
# of its silent replica fails.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("method", ["is_reachable", "_connect"])
def test_call_outlasts_a_fault_in_the_check_of_its_replica(
    start, path, method, monkeypatch
):
    gateway = start(path, 1)
    gateway.upstreams[0].script = [_make_silence(path, 1.0)]
    monkeypatch.setattr(type(gateway.liveness), method, _fail)
    status, _, body = _spawn_call(gateway, path).get(timeout=10)
    assert (status, body) == (200, _make_body(path))


class _StoppedGateway(stopped.Gateway):
    """A gateway process, with the parts that the changes above use."""

    def __init__(self, upstreams):
        super().__init__(4.0, upstreams, _ROUTES)
        self.fleet = self.process._fleet
        directory = self.process._watcher.directory
        self.shared = SimpleNamespace(
            watcher=SimpleNamespace(directory=directory, number=1)
        )

    def read_document(self):
        """Let the process follow the document that was put in force."""
        self._document = self.shared.watcher.directory.traffic
        self.process._watcher._apply_reply(
            messages.WatchReply(2, zlib.compress(b"{}")), "", time.monotonic()
        )
        assert self.process._watcher.number == 2


# Guards against calls that run when a planned stop and a change come together,
# and that end without their answer.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    "change",
    [
        _remove_routes,
        _move_routes,
        _shorten_timeouts,
        _shrink_limits,
        _let_go,
        _remove_from_list,
        _replace_under_its_address,
    ],
)
def test_running_calls_outlast_changes_beside_a_stop(path, change):
    kind = "models1" if path in _STREAMS else "desk1"

    def play():
        gateway = _StoppedGateway([_Upstream(kind)])
        try:
            calling = [_spawn_call(gateway, path) for _ in range(2)]
            _wait_until_they_run(gateway, 2)
            stopping = gateway.begin_stop()
            change(gateway)
            gateway.read_document()
            stopping.get(timeout=10)
            answers = [each.get(timeout=10) for each in calling]
        finally:
            gateway.end()
        assert [(status, body) for status, _, body in answers] == [
            (200, _make_body(path))
        ] * 2

    # The stop, and the time-outs of the calls, are not much longer.
    turns.play_undisturbed(play, 2.0)
