"""Tests of what members give to gateways while none can confirm it."""

import functools
import json

import pytest

from papayalink.coordination import replica_loading
from papayalink.protocol import messages
from papayalink.roles.authority import process
from papayalink.transport import errors
from tests.roles.authority import members as members_module
from tests.roles.authority import ports

_HOSTS = (1, 2, 3)


class _Group:
    """Members with a disk, each of which can be started again."""

    def __init__(self, folder):
        self._folder = folder
        self._ports = [ports.choose("127.0.9.1") for _ in range(2)]
        self.members = {}
        for host in _HOSTS:
            self.start(host)
        members_module.wait_until(
            lambda: all(
                member.process.accepting for member in self.members.values()
            )
        )

    def start(self, host):
        self.members[host] = members_module.Member(
            f"127.0.9.{host}",
            *self._ports,
            self._folder / str(host),
            None,
        )
        return self.members[host]

    def stop(self, host):
        self.members.pop(host).stop()

    def put(self, number):
        document = {"version": number, "routes": [], "services": []}
        members_module.wait_until(
            lambda: self.members[1].put(json.dumps(document).encode()) == 200
        )
        members_module.wait_until(
            lambda: all(
                _held(member) == number for member in self.members.values()
            )
        )


def _held(member):
    """Returns: number of the document that a member gives, 0 for none."""
    try:
        reply = member.node.rpc_client.call(
            f"{member.ip}:{member.settings.peer_port}",
            "ReadHeld",
            messages.ReadHeld(),
        )
    except errors.RpcRefused:
        return 0
    return reply.number


def _snapshot_index(member):
    return member.process._replica.status()["snapshot_index"]


@pytest.fixture
def group(tmp_path, monkeypatch):
    monkeypatch.setattr(
        process.replica_loading,
        "Settings",
        functools.partial(replica_loading.Settings, snapshot_entries=1),
    )
    made = _Group(tmp_path)
    yield made
    for host in list(made.members):
        made.stop(host)


def test_restarted_member_does_not_give_the_document_of_its_snapshot(group):
    """Guards against gateways that begin with a document of long ago."""
    newest = 0
    while not _snapshot_index(group.members[1]):
        newest += 1
        group.put(newest)
    newest += 1
    group.put(newest)
    for host in _HOSTS:
        group.stop(host)
    alone = group.start(1)
    members_module.wait_until(lambda: alone.process._replica is not None)
    assert 0 < alone.process._machine.numbered.number < newest
    assert _held(alone) == 0
    group.start(2)
    members_module.wait_until(lambda: _held(alone) == newest)
