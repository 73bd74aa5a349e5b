"""Tests of open connections that fall silent while new ones work."""

from types import SimpleNamespace

import gevent
import pytest

from papayalink import clock as clocks
from papayalink.adapters import connection
from papayalink.adapters import errors as adapter_errors
from papayalink.protocol import messages
from papayalink.state import traffic
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import rpc
from papayalink.transport import rpc_connection
from soak import proxy
from tests import own_host
from tests.roles.gateway import stubs

_KEY = b"k" * 32
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nPapayalink-Server-Stamp: s\r\n"
    b"Papayalink-Request-Id: c1\r\nContent-Length: 2\r\n\r\nok"
)


def _make_signer():
    return auth.make_signer(_KEY, clocks.make_clock())


@pytest.fixture
def client():
    rpc_client = rpc.make_client(_make_signer())
    yield rpc_client
    rpc_client.close()


@pytest.fixture
def links():
    """Returns: function that starts servers behind links that fall silent."""
    started = []

    def start(count, handler=lambda poll: messages.Acknowledge()):
        found = []
        for _ in range(count):
            server = rpc.make_server(
                (own_host.HOST, 0), {"Poll": handler}, _make_signer()
            )
            server.start()
            link = proxy.make_proxy(server.address)
            started.extend([link, server])
            found.append(link)
        return found

    yield start
    for each in started:
        each.stop()


def _call(client, link, timeout_s):
    poll = messages.Poll("entry-1", "entry", "i")
    return client.call(link.address, "Poll", poll, timeout_s)


# Includes time-outs shorter than the wait for the first sign of silence.
@pytest.mark.parametrize("timeout_s", [0.2, 0.8, 5.0])
def test_call_after_a_silent_connection_uses_a_new_one(
    client, links, timeout_s
):
    """Guards against calls that go to a silent connection for ever."""
    (link,) = links(1)
    _call(client, link, timeout_s)
    assert link.silence_open() == 1
    with pytest.raises((errors.Timeout, errors.ConnectionLost)):
        _call(client, link, timeout_s)
    gevent.sleep(rpc_connection.SILENCE_S + rpc_connection.PING_TIMEOUT_S)
    _call(client, link, timeout_s)


def test_waiting_calls_end_with_the_silent_connection(client, links):
    """Guards against calls that wait for their time-out in vain."""
    (link,) = links(1, lambda poll: gevent.sleep(30.0))
    calls = [gevent.spawn(_call, client, link, 30.0) for _ in range(3)]
    while not link.silence_open():
        gevent.sleep(0.01)
    for call in calls:
        with pytest.raises(errors.ConnectionLost):
            call.get()


def test_connection_is_kept_while_the_peer_only_works_long(client, links):
    """Guards against a slow answer that is taken for silence."""

    def work(poll):
        gevent.sleep(2.5 * rpc_connection.SILENCE_S)
        return messages.Acknowledge()

    (link,) = links(1, work)
    _call(client, link, 10.0)
    _call(client, link, 10.0)
    assert link.silence_open() == 1


def test_idle_connections_are_not_used_after_another_fell_silent(
    client, links
):
    """Guards against one lost call for each connection that was open."""
    first, second = links(2)
    _call(client, second, 5.0)
    _call(client, first, 5.0)
    first.silence_open()
    second.silence_open()
    with pytest.raises(errors.ConnectionLost):
        _call(client, first, 5.0)
    _call(client, second, 5.0)


@pytest.fixture
def keeps_alive():
    """Returns: a link to a server that answers one call after the other."""
    upstream = stubs.Upstream("desk0", *[[_ANSWER]] * 9)
    link = proxy.make_proxy((stubs.HOST, upstream.server.server_port))
    yield link
    link.stop()
    upstream.server.stop()


def test_idle_connections_to_an_outside_system_are_not_used_after_silence(
    keeps_alive,
):
    """Guards against one lost reading for each idle connection."""
    connector = connection.Connector(keeps_alive.address, 1.0)
    readings = [
        gevent.spawn(connector.call_idempotent, "GET", "/x", 5.0)
        for _ in range(3)
    ]
    gevent.joinall(readings, raise_error=True)
    assert keeps_alive.silence_open() == 3
    with pytest.raises(adapter_errors.Interrupted):
        connector.call_idempotent("GET", "/x", 0.1)
    assert connector.call_idempotent("GET", "/x", 5.0).body == b"ok"


def test_idle_connections_to_a_replica_are_not_used_after_silence(keeps_alive):
    """Guards against one lost call for each idle connection to a replica."""
    route = stubs.make_route("once", traffic.RepeatPolicy.ONCE, timeout_s=0.3)
    replica = SimpleNamespace(name="desk0", address=keeps_alive.address)
    gateway = stubs.Gateway([replica], [route])
    calls = [gevent.spawn(gateway.call, b"/once/x") for _ in range(3)]
    assert [call.get()[0] for call in calls] == [200] * 3
    assert keeps_alive.silence_open() == 3
    assert gateway.call(b"/once/x")[0] == 504
    assert gateway.call(b"/once/x")[0] == 200
    gateway.stop_serving()
