"""Tests of stores that all send bytes without end."""

import tracemalloc

import gevent
from gevent import server as servers
import pytest

from papayalink.coordination import upstream_client
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


@pytest.fixture
def readers():
    started = [
        servers.StreamServer((own_host.HOST, 0), _send_without_end)
        for _ in range(_STORES)
    ]
    made = []
    for number, server in enumerate(started):
        server.start()
        store = traffic.CacheStore(
            name=f"s{number}",
            address=f"{own_host.HOST}:{server.server_port}",
            zone="z",
            capacity_tokens=1,
            link_mbps=1.0,
            first_ms=1.0,
            max_calls=1,
        )
        made.append(stores.make_store_reader(store))
    yield made
    for server in started:
        server.stop()


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
