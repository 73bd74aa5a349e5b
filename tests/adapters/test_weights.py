"""Tests of the weight store adapter against the stand-in."""

import pytest

from fakes import weights as fake
from papayalink.adapters import errors
from papayalink.adapters import weights as adapters


def test_version_is_read_whole():
    with fake.make_server(
        size_bytes=100_000, reader_bytes_per_s=1e8
    ) as server:
        store = adapters.make_weight_store(server.endpoint)
        parts = [b"".join(store.read(version)) for version in ("v1", "v2")]
    assert [len(part) for part in parts] == [100_000, 100_000]
    assert parts[0] != parts[1]


@pytest.mark.parametrize(
    "reply, error",
    [
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            errors.Interrupted,
        ),
        (
            b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
            errors.Rejected,
        ),
    ],
)
def test_incomplete_weights_raise(raw_server, reply, error):
    address, _ = raw_server(reply)
    with pytest.raises(error):
        list(adapters.make_weight_store(address).read("v1"))
