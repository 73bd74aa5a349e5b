"""Tests of members that apply a document which their version can't use."""

import pytest

from papayalink import node_settings
from papayalink.platform import operator_api
from papayalink.roles import node as nodes
from papayalink.roles.authority import observed_machine
from papayalink.roles.authority import process as processes
from papayalink.state import machine as machines
from papayalink.state import numbered
from papayalink.state import traffic

_UNUSABLE = b"unusable"


def _make_store(name):
    return traffic.CacheStore(
        name=name,
        address=f"{name}:1",
        zone="z",
        capacity_tokens=1_000,
        link_mbps=1.0,
        first_ms=1.0,
        max_calls=2,
    )


def _translate(content):
    if content == _UNUSABLE:
        raise ValueError("of a newer version")
    return traffic.TrafficDocument(
        number=0,
        routes=(),
        services=(),
        stores=(_make_store(content.decode()),),
    )


@pytest.fixture
def member():
    settings = node_settings.Authority(
        name="a1",
        ip="127.0.0.1",
        zone="z",
        region="r",
        seeds=("127.0.0.1:1",),
        peer_port=1,
        platform_address="127.0.0.1:1",
        inspect_listen="127.0.0.1:0",
        deployment_key="ab" * 32,
        operator_listen="127.0.0.1:0",
        data_folder=None,
    )
    node = nodes.make_node(settings)
    yield processes.make_process(
        node,
        "/nonexistent",
        operator_api.make_application,
        None,
        _translate,
        lambda store: None,
    )
    node.rpc_client.close()
    node.timers.stop()


def test_member_applies_a_document_that_it_can_not_use(member):
    """Guards against a replica that fails at an entry of the log."""
    observed = observed_machine.make_observed(
        member._machine, member._note_applied
    )

    def put(number, content):
        command = numbered.PutNumbered(number, content)
        observed.apply(number, machines.encode_command(command))
        return [store.name for store in member._stores._stores]

    assert put(1, b"s1") == ["s1"]
    assert put(2, _UNUSABLE) == ["s1"]
    # Others may be able to use it, and operators read it back.
    assert member._machine.numbered.number == 2
    assert member._machine.numbered.content == _UNUSABLE
    assert put(3, b"s3") == ["s3"]
