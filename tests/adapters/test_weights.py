"""Tests of the weight store adapter against the fake store."""

import pytest

from fakes import weights as fake
from papayalink.adapters import errors
from papayalink.adapters import weights as adapters


@pytest.mark.parametrize(
    "versions, found", [("", True), ("v1 v2", True), ("v2", False)]
)
def test_look_up_does_not_read_the_version(versions, found):
    """Guards against look-ups that use up the read rate of loading engines."""
    with fake.make_server(size_bytes=10**9, versions=versions) as server:
        store = adapters.make_weight_store(server.endpoint)
        # Reading the version would take a quarter of an hour.
        assert store.has("v1") is found


@pytest.mark.parametrize(
    "reply, error",
    [
        (b"HTTP/1.1 200", errors.Interrupted),
        (
            b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            errors.Rejected,
        ),
    ],
)
def test_failing_store_is_not_read_as_a_missing_version(
    raw_server, reply, error
):
    """Guards against holding a rollout back because the store failed."""
    address, _ = raw_server(reply)
    with pytest.raises(error):
        adapters.make_weight_store(address).has("v1")
