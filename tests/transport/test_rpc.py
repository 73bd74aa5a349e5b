"""Tests of calls between processes."""

import time

import gevent
from gevent import event
import pytest

from papayalink import clock as clocks
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import rpc

_KEY = b"k" * 32


@pytest.fixture
def client():
    made = rpc.make_client(auth.make_signer(_KEY, clocks.make_clock()))
    yield made
    made.close()


@pytest.fixture
def serve():
    """Start a server with one method, return its address."""
    started = []

    def start(handler, **limits):
        signer = auth.make_signer(_KEY, clocks.make_clock())
        server = rpc.make_server(
            ("127.0.0.1", 0), {"Poll": handler}, signer, limits
        )
        server.start()
        started.append(server)
        return "{}:{}".format(*server.address)

    yield start
    for server in started:
        server.stop()


def _poll(client, address, timeout_s=10.0):
    poll = messages.Poll("entry-1", "entry", "i")
    return client.call(address, "Poll", poll, timeout_s)


def test_calls_beyond_the_limit_are_refused_and_not_run(client, serve):
    """Without a limit, calls and their memory pile up in an overload."""
    release = event.Event()
    ran = []

    def handle(poll):
        ran.append(poll)
        release.wait()
        return messages.Acknowledge()

    address = serve(handle, Poll=2)
    taken = [gevent.spawn(_poll, client, address) for _ in range(2)]
    while len(ran) < 2:
        gevent.sleep(0.001)
    with pytest.raises(errors.Overloaded):
        _poll(client, address)
    release.set()
    gevent.joinall(taken, raise_error=True)
    _poll(client, address)
    assert len(ran) == 3


def test_connections_without_calls_are_closed(serve):
    """Pollers that turn to other members left a connection at each."""
    signer = auth.make_signer(_KEY, clocks.make_clock())
    client = rpc.make_client(signer, idle_timeout_s=0.0)
    release = event.Event()
    slow = serve(lambda poll: release.wait() and messages.Acknowledge())
    others = [serve(lambda poll: messages.Acknowledge()) for _ in range(2)]
    waiting = gevent.spawn(_poll, client, slow)
    for address in others:
        _poll(client, address)
        assert sorted(client.connected_addresses) == sorted([slow, address])
    release.set()
    waiting.get()
    _poll(client, others[0])
    assert client.connected_addresses == [others[0]]
    client.close()


def test_call_that_was_given_up_is_not_run(client, serve):
    """A process that works for callers that are gone never catches up."""
    ran = []

    def handle(poll):
        ran.append(poll)
        return messages.Acknowledge()

    address = serve(handle)
    _poll(client, address)
    call = gevent.spawn(_poll, client, address, 0.1)
    gevent.sleep(0)
    # The hub is busy beyond the time-out; the event loop's thread is not.
    time.sleep(0.5)
    with pytest.raises(errors.Timeout):
        call.get()
    gevent.sleep(0.05)
    assert len(ran) == 1
