"""Tests of a store's HTTP interface, also with a slow disk."""

import threading

import gevent
import pytest

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.coordination import retention
from papayalink.protocol import messages
from papayalink.protocol import piece_paths
from papayalink.protocol import pieces
from papayalink.roles.store import pieces_service
from papayalink.state import disk_piece_store
from papayalink.state import piece_store
from papayalink.state import tiered_piece_store
from papayalink.transport import http_server

# Ends a test that would otherwise hang; a passing test does not wait for it.
SYNC_TIMEOUT_S = 20.0


class SlowFiles(disk_piece_store.Files):
    """Files whose syncs block until `allowed` is set."""

    __slots__ = ("allowed",)

    def __init__(self):
        self.allowed = threading.Event()
        self.allowed.set()

    def sync(self, descriptor):
        assert self.allowed.wait(SYNC_TIMEOUT_S)


def _key(number):
    return pieces.PieceKey("acme", "v1", f"{number:032x}")


@pytest.fixture
def files():
    return SlowFiles()


@pytest.fixture
def service(tmp_path, files):
    store = tiered_piece_store.TieredPieceStore(
        piece_store.MemoryPieceStore(1_000),
        disk_piece_store.DiskPieceStore(str(tmp_path), 1_000_000, files=files),
        retention.LruPolicy(),
        clocks.make_clock(),
    )
    return pieces_service.make_pieces_service(
        store, lambda: False, metrics_module.make_metrics()
    )


def _call(service, method, key, body=b""):
    path, _, query = piece_paths.make_path(key).partition("?")
    if method == "POST":
        path = piece_paths.LOOKUP_PATH
    statuses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        http_server.BODY_KEY: body,
    }
    parts = service(environ, lambda status, headers: statuses.append(status))
    return int(statuses[0][:3]), b"".join(parts)


def _put(service, number):
    key = _key(number)
    # Larger than the memory tier, so that the piece is read from disk.
    return _call(service, "PUT", key, pieces.encode_piece(key, b"x" * 9_000))


def test_slow_writes_stop_neither_lookups_nor_reads(service, files):
    """Guards against reads for urgent restores that wait for writes."""
    assert _put(service, 0)[0] == 201
    files.allowed.clear()
    count = pieces_service.WRITE_THREADS + 1
    writes = [
        gevent.spawn(_put, service, number + 1) for number in range(count)
    ]
    gevent.sleep(0.1)
    lookup = messages.Lookup(
        "acme", "v1", tuple(_key(n).digest for n in (0, 1))
    )
    status, body = _call(service, "POST", _key(0), messages.encode(lookup))
    # A piece is not published before it is synced.
    assert messages.decode(body).present == (True, False)
    assert _call(service, "GET", _key(0))[0] == 200
    assert not any(write.ready() for write in writes)
    files.allowed.set()
    assert [write.get()[0] for write in writes] == [201] * count
    assert _call(service, "GET", _key(count))[0] == 200


@pytest.mark.parametrize(
    "method, key, body, expected",
    [
        ("GET", _key(9), b"", 404),
        ("PUT", _key(9), b"not a piece", 400),
        ("PUT", _key(9), pieces.encode_piece(_key(8), b"x"), 400),
        ("POST", _key(9), b"not a lookup", 400),
        ("DELETE", _key(9), b"", 405),
        (
            "PUT",
            _key(9),
            pieces.encode_piece(_key(9), b"x" * 2_000_000),
            507,
        ),
    ],
)
def test_invalid_requests_are_refused(service, method, key, body, expected):
    """Guards against a store that accepts pieces without storing them."""
    assert _call(service, method, key, body)[0] == expected
