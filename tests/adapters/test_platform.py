"""Tests of the platform adapter against the fake platform."""

import msgspec
import pytest

from fakes import platform as fake
from papayalink.adapters import connection
from papayalink.adapters import errors
from papayalink.adapters import platform as adapters


def _vm(state, name="vm1"):
    return {
        "name": name,
        "address": "10.0.0.1:1",
        "zone": "korangi",
        "state": state,
    }


def _post(server, *vms):
    connector = connection.Connector(server.endpoint, 1.0)
    body = msgspec.json.encode({"vms": vms})
    return connector.call("POST", "/vms", 5.0, body=body).status


def test_list_reflects_changes():
    with fake.make_server() as server:
        platform = adapters.make_platform(server.endpoint)
        assert platform.list_vms() == []
        assert _post(server, _vm("live"), _vm("live", "vm2")) == 204
        assert _post(server, _vm("leaving"), _vm("gone", "vm2")) == 204
        assert platform.list_vms() == [
            adapters.VmState("vm1", "10.0.0.1:1", "korangi", "leaving")
        ]
        assert _post(server, {"name": "vm3"}) == 400


@pytest.mark.parametrize(
    "reply, error",
    [
        (b"200 OK\r\nContent-Length: 2\r\n\r\n{}", errors.InvalidReply),
        (b"500 No\r\nContent-Length: 0\r\n\r\n", errors.Rejected),
    ],
)
def test_invalid_reply_is_not_read_as_an_empty_list(raw_server, reply, error):
    # An empty list would mean that no VM is left.
    address, _ = raw_server(b"HTTP/1.1 " + reply)
    with pytest.raises(error):
        adapters.make_platform(address).list_vms()
