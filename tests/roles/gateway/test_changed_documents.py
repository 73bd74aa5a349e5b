"""Tests that calls are answered whichever field of the document changes."""

import gevent
import msgspec
import pytest

from tests.roles.gateway import changed_documents
from tests.roles.gateway import document_plays
from tests.roles.gateway import stubs

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
    script = [[document_plays.RUN_S, stubs.BUSY]]
    if gateway.path in ("safe", "resumed"):
        script = [[document_plays.RUN_S, "reset"]]
    for upstream in gateway.upstreams:
        # Whichever is called takes the next one.
        upstream.script = script
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    change()
    return calling


def _change_before_it_goes_on_elsewhere(gateway, change):
    """Let the first replica break off within its stream."""
    script = [[stubs.STREAM, stubs.event(1), document_plays.RUN_S, "reset"]]
    for upstream in gateway.upstreams:
        upstream.script = script
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    change()
    return calling


def _change_while_it_waits_to_go_on(gateway, change):
    """Let a stream break off while no other replica is usable."""
    for upstream in gateway.upstreams:
        upstream.script = [
            [stubs.STREAM, stubs.event(1), document_plays.RUN_S, "reset"]
        ]
    gateway.use_only(1)
    gateway.upstreams[1].script = []
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gevent.sleep(document_plays.RUN_S)
    change()
    gevent.sleep(0.1)
    gateway.use_only(2)
    return calling


def _change_while_its_replica_is_silent(gateway, change):
    gateway.use_only(1)
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    pause = gevent.spawn(
        gateway.upstreams[0].stand_still_for, document_plays.SILENCE_S
    )
    gevent.sleep(0.1)
    change()
    pause.get()
    return calling


def _change_while_it_leaves_a_silent_replica(gateway, change):
    gateway.use_only(1)
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    gateway.use_only(2)
    pause = gevent.spawn(
        gateway.upstreams[0].stand_still_for, 2 * document_plays.SILENCE_S
    )
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
    pause = gevent.spawn(
        gateway.upstreams[0].stand_still_for, document_plays.SILENCE_S
    )
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
@pytest.mark.parametrize("path", document_plays.PATHS)
@pytest.mark.parametrize("state", _STATES)
def test_call_is_answered_whichever_field_changes(state, path):
    expected = (200, document_plays.make_body(path))
    answers = document_plays.play_all(state, path, document_plays.CHANGES)
    assert answers == dict.fromkeys(document_plays.CHANGES, expected)


# Guards against the same for a stream that is to go on at another replica.
@pytest.mark.parametrize(
    "state",
    [_change_before_it_goes_on_elsewhere, _change_while_it_waits_to_go_on],
)
def test_stream_goes_on_whichever_field_changes(state):
    expected = (200, document_plays.make_body("resumed"))
    answers = document_plays.play_all(state, "resumed", document_plays.CHANGES)
    assert answers == dict.fromkeys(document_plays.CHANGES, expected)


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
@pytest.mark.parametrize("path", document_plays.PATHS)
def test_upload_is_answered_whichever_field_changes(path):
    def change_while_it_uploads(gateway, change):
        calling = gateway.spawn_call(pauses=True)
        gateway.wait_until_it_is_half_read()
        change()
        gateway.send_rest()
        return calling

    documents = {
        name: document
        for name, document in document_plays.CHANGES.items()
        if name not in _NOT_JUDGED
    }
    answers = document_plays.play_all(change_while_it_uploads, path, documents)
    statuses = {name: _STATUS_AFTER.get(name, 200) for name in documents}
    assert answers == {
        name: (
            status,
            document_plays.make_body(path) if status == 200 else b"",
        )
        for name, status in statuses.items()
    }


# Guards against calls that outlast a change by itself, and not its withdrawal
# right after it.
@pytest.mark.parametrize("path", document_plays.PATHS)
@pytest.mark.parametrize(
    "state", [_change_while_it_runs, _change_before_it_is_sent_again]
)
def test_call_is_answered_when_a_change_is_withdrawn(state, path):
    def change_and_withdraw(gateway, change):
        def put_both():
            change()
            gevent.sleep(0.02)
            gateway.put_in_force(document_plays.DOCUMENT)

        return state(gateway, put_both)

    answers = document_plays.play_all(
        change_and_withdraw, path, document_plays.CHANGES
    )
    assert answers == dict.fromkeys(
        document_plays.CHANGES, (200, document_plays.make_body(path))
    )
