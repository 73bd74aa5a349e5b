"""Tests of RPC calls between processes."""

import time

import gevent
from gevent import event
from gevent import server as servers
import grpclib.client
import pytest

from papayalink import clock as clocks
from papayalink.protocol import messages
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import rpc
from tests import own_host
from tests.adapters import silent_server
from tests.transport import sockets

_KEY = b"k" * 32


@pytest.fixture
def client():
    rpc_client = rpc.make_client(auth.make_signer(_KEY, clocks.make_clock()))
    yield rpc_client
    rpc_client.close()


@pytest.fixture
def serve():
    """Start a server whose only method is Poll; returns its address."""
    started = []

    def start(handler, **limits):
        signer = auth.make_signer(_KEY, clocks.make_clock())
        server = rpc.make_server(
            (own_host.HOST, 0), {"Poll": handler}, signer, limits
        )
        server.start()
        started.append(server)
        return "{}:{}".format(*server.address)

    yield start
    for server in started:
        server.stop()


def _send_poll(client, address, timeout_s=10.0):
    poll = messages.Poll("entry-1", "entry", "i")
    return client.call(address, "Poll", poll, timeout_s)


def test_calls_beyond_the_limit_are_refused_and_not_run(client, serve):
    """Guards against calls that pile up in memory under overload."""
    release = event.Event()
    handled_polls = []

    def handle(poll):
        handled_polls.append(poll)
        release.wait()
        return messages.Acknowledge()

    address = serve(handle, Poll=2)
    accepted_calls = [
        gevent.spawn(_send_poll, client, address) for _ in range(2)
    ]
    while len(handled_polls) < 2:
        gevent.sleep(0.001)
    with pytest.raises(errors.Overloaded):
        _send_poll(client, address)
    release.set()
    gevent.joinall(accepted_calls, raise_error=True)
    _send_poll(client, address)
    assert len(handled_polls) == 3


def test_idle_connections_are_closed(serve):
    """Guards against a connection left at each member that a poller tried."""
    signer = auth.make_signer(_KEY, clocks.make_clock())
    client = rpc.make_client(signer, idle_timeout_s=0.0)
    release = event.Event()
    slow_address = serve(
        lambda poll: release.wait() and messages.Acknowledge()
    )
    other_addresses = [
        serve(lambda poll: messages.Acknowledge()) for _ in range(2)
    ]
    slow_call = gevent.spawn(_send_poll, client, slow_address)
    for address in other_addresses:
        _send_poll(client, address)
        assert sorted(client.connected_addresses) == sorted(
            [slow_address, address]
        )
    release.set()
    slow_call.get()
    _send_poll(client, other_addresses[0])
    assert client.connected_addresses == [other_addresses[0]]
    client.close()


def test_abandoned_call_is_not_run(client, serve):
    """Guards against work for callers that have given up.

    An overloaded process that does such work never catches up.
    """
    handled_polls = []

    def handle(poll):
        handled_polls.append(poll)
        return messages.Acknowledge()

    address = serve(handle)
    _send_poll(client, address)
    call = gevent.spawn(_send_poll, client, address, 0.1)
    gevent.sleep(0)
    # Blocks the hub for longer than the time-out; the thread of the event
    # loop keeps running.
    time.sleep(0.5)
    with pytest.raises(errors.Timeout):
        call.get()
    gevent.sleep(0.05)
    assert len(handled_polls) == 1


_SETTINGS_FRAME = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
_GOAWAY_FRAME = b"\x00\x00\x08\x07" + bytes(13)


@pytest.mark.parametrize(
    "begin",
    [b"", _SETTINGS_FRAME, _SETTINGS_FRAME + _GOAWAY_FRAME, b"HTTP/1.1 400"],
    ids=["nothing", "settings", "goaway", "other-protocol"],
)
@pytest.mark.parametrize("reads", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.001])
@pytest.mark.parametrize("end", ["reset", "close"])
def test_connection_that_ends_while_it_is_made_fails_the_call_only(
    client, begin, reads, delay_s, end
):
    """Guards against processes that end because a peer drops a connection.

    The task that called failed with an error of the library, and with it the
    process.
    """

    def drop(sock, address):
        if reads:
            sock.recv(65536)
        sock.sendall(begin)
        gevent.sleep(delay_s)
        if end == "reset":
            sockets.reset(sock)
        else:
            sock.close()

    server = servers.StreamServer((own_host.HOST, 0), drop)
    server.start()
    address = f"{own_host.HOST}:{server.server_port}"

    def call():
        try:
            _send_poll(client, address, 5.0)
        except errors.TransportError as error:
            return type(error)

    calls = [gevent.spawn(call) for _ in range(8)]
    for _ in range(10):
        calls += [gevent.spawn(call) for _ in range(4)]
        gevent.sleep(0.002)
    gevent.joinall(calls, raise_error=True)
    server.stop()
    assert None not in {each.get() for each in calls}


def test_connection_that_is_lost_before_its_first_use_fails_the_call_only(
    client, serve, monkeypatch
):
    """Guards against the same where the loss comes before the request."""
    create = grpclib.client.Channel._create_connection

    async def create_and_lose(channel):
        protocol = await create(channel)
        protocol.connection_lost(ConnectionResetError("peer ended"))
        return protocol

    address = serve(lambda poll: messages.Acknowledge())
    with monkeypatch.context() as patch:
        patch.setattr(
            grpclib.client.Channel, "_create_connection", create_and_lose
        )
        for _ in range(2):
            with pytest.raises(errors.TransportError):
                _send_poll(client, address)
    _send_poll(client, address)


@pytest.mark.parametrize("listens", [True, False])
def test_ended_peer_is_told_from_one_that_takes_no_connections(
    client, listens
):
    """Guards against a peer that stands still and counts as ended."""
    peer = silent_server.SilentServer(b"")
    if not listens:
        peer.stop()
    with pytest.raises(errors.NotConnected) as raised:
        _send_poll(client, peer.address, 0.2)
    peer.stop()
    refused = isinstance(raised.value, errors.ConnectionRefused)
    assert refused is not listens
