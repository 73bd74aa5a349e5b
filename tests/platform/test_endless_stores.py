"""Tests of stores that send bytes without end, or stall."""

import contextlib
import json
import tracemalloc

import gevent
from gevent import server as servers
import pytest

from papayalink.adapters import connection
from papayalink.coordination import upstream_client
from papayalink.platform import replicas
from papayalink.platform import stores
from papayalink.state import traffic
from papayalink.transport import upstream_channels
from tests import own_host

_STORES = 11


def _send_without_end(sock, address):
    sock.recv(65536)
    block = b"x" * 65536
    try:
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            sock.sendall(block)
            gevent.sleep(0)
    except OSError:
        pass


def _send_and_stall(sock, address):
    sock.recv(65536)
    with contextlib.suppress(OSError):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        sock.sendall(bytes(connection.MAX_REPLY_BYTES - 65536))
        sock.recv(1)


def _make_sender(body):
    def send(sock, address):
        sock.recv(65536)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)

    return send


@pytest.fixture
def start():
    """Starts a server; returns its address."""
    started = []

    def start_server(handle):
        server = servers.StreamServer((own_host.HOST, 0), handle)
        server.start()
        started.append(server)
        return f"{own_host.HOST}:{server.server_port}"

    yield start_server
    for server in started:
        server.stop()


def _make_reader(address):
    return stores.make_store_reader(
        traffic.CacheStore(
            name=address,
            address=address,
            zone="z",
            capacity_tokens=1,
            link_mbps=1.0,
            first_ms=1.0,
            max_calls=1,
        )
    )


@pytest.fixture
def readers(start):
    return [_make_reader(start(_send_without_end)) for _ in range(_STORES)]


def _read(reader):
    with pytest.raises(upstream_client.UpstreamClientError):
        reader.read()


# Guards against a member that ends because several stores send without end.
def test_replies_of_all_stores_together_have_a_limit(readers):
    tracemalloc.start()
    try:
        tasks = [gevent.spawn(_read, reader) for reader in readers]
        gevent.joinall(tasks, raise_error=True)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= upstream_channels.MAX_HELD_BYTES


def _read_on(reader):
    while True:
        _read(reader)


@pytest.fixture
def busy(start):
    """Endless stores and one that stalls, which are read all the time."""
    handlers = [_send_without_end] * (_STORES - 1) + [_send_and_stall]
    tasks = [
        gevent.spawn(_read_on, _make_reader(start(handle)))
        for handle in handlers
    ]
    yield
    gevent.killall(tasks)


_PARTS = 20_000
_ENTRIES = 4_000


# Guards against a sound store that counts as lost beside endless ones.
@pytest.mark.usefixtures("busy")
def test_sound_store_is_read_beside_endless_ones(start):
    held = [["salt", f"part-{n:064}", 1024, "m"] for n in range(_PARTS)]
    body = json.dumps({"epoch": 1, "nextToken": 0, "held": held}).encode()
    address = start(_make_sender(body))
    for _ in range(5):
        assert len(_make_reader(address).read()) == 1 + _PARTS


# Guards against a list of replicas that fails beside endless stores.
@pytest.mark.usefixtures("busy")
def test_sound_list_is_read_beside_endless_stores(start):
    entries = [
        {
            "id": f"i-{number}",
            "service": "desk",
            "address": "127.0.0.1:8080",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "models": [{"name": "m", "version": 1}],
        }
        for number in range(_ENTRIES)
    ]
    body = json.dumps({"instances": entries, "nextToken": None}).encode()
    platform = replicas.make_platform(start(_make_sender(body)))
    for _ in range(5):
        assert len(platform.list_replicas()) == _ENTRIES
