"""Tests of documents that change while something else fails a gateway."""

import errno
import time

import gevent
import pytest

from papayalink.transport import errors
from papayalink.transport import upstream_channels
from tests.roles.gateway import document_plays
from tests.roles.gateway import stubs

_ASKING_S = 0.3


def _begin_silence(gateway, seconds):
    """Let the one usable replica run a call, and fall silent.

    Returns: the task of the call, and that of the silence.
    """
    gateway.use_only(1)
    calling = gateway.spawn_call()
    gateway.wait_until_it_runs()
    silent = gateway.upstreams[0]
    return calling, gevent.spawn(silent.stand_still_for, seconds)


# Guards against a call that is turned away behind a silence, and that a stop
# and a document then end.
@pytest.mark.parametrize("path", document_plays.PATHS)
def test_call_that_is_turned_away_within_a_stop(path):
    def state(gateway, change):
        gateway.upstreams[1].script = [[stubs.BUSY]]
        calling, pause = _begin_silence(
            gateway, 1.5 * document_plays.SILENCE_S
        )
        gateway.use_only(2)
        gateway.begin_stop()
        change()
        pause.get()
        return calling

    expected = (200, document_plays.make_body(path))
    answers = document_plays.play_all(state, path, document_plays.CHANGES)
    assert answers == dict.fromkeys(document_plays.CHANGES, expected)


# Guards against a call that ends because its silent replica can't be checked
# without a descriptor, while the document changes or the process stops.
@pytest.mark.parametrize("path", document_plays.PATHS)
@pytest.mark.parametrize("stops", [False, True])
def test_call_whose_gateway_lacks_descriptors(path, stops, monkeypatch):
    lacking = set()
    connect = upstream_channels.Channels._connect

    def connect_if_possible(channels, address, timeout_s):
        if channels in lacking:
            reason = errno.errorcode[errno.EMFILE]
            raise errors.NotConnected(f"{address}: {reason}")
        return connect(channels, address, timeout_s)

    monkeypatch.setattr(
        upstream_channels.Channels, "_connect", connect_if_possible
    )

    def state(gateway, change):
        calling, pause = _begin_silence(gateway, document_plays.SILENCE_S)
        lacking.add(gateway.process._channels)
        if stops:
            gateway.begin_stop()
        change()
        pause.get()
        return calling

    expected = (200, document_plays.make_body(path))
    answers = document_plays.play_all(state, path, document_plays.CHANGES)
    assert answers == dict.fromkeys(document_plays.CHANGES, expected)


class _Members:
    """Members that tell after a while where a stream was begun."""

    def __init__(self, gateway):
        self.asked = 0
        handler = gateway.server._handler.__self__
        self._tables = handler._shared.take_ups._tables

    def call(self, address, method, message, timeout_s):
        self.asked += 1
        gevent.sleep(_ASKING_S)
        self._tables.origins.note(
            message.stream, "models", "v1", time.monotonic()
        )
        raise errors.NotConnected("no more")


# Guards against a stream that its caller takes up, and that ends because the
# document changes while members are asked where it was begun.
def test_take_up_that_asks_members():
    def state(gateway, change):
        members = _Members(gateway)
        gateway._node.rpc_client = members
        gateway.process._watcher._members[:] = ["member"]
        calling = gevent.spawn(
            gateway.call,
            b"/resumed/x",
            [
                *document_plays.HEADERS["resumed"],
                b"Last-Event-Id: 2",
                b"Resumes: c0",
            ],
            timeout_s=15,
        )
        with gevent.Timeout(10):
            while not members.asked:
                gevent.sleep(0.005)
        change()
        return calling

    rest = b"id: 3\ndata: p3\n\nid: 4\ndata: p4\n\n"
    answers = document_plays.play_all(state, "resumed", document_plays.CHANGES)
    assert answers == dict.fromkeys(document_plays.CHANGES, (200, rest))
