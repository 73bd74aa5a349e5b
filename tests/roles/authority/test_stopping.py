"""Tests of a member of the control group that gets a planned stop."""

import gevent
from gevent import socket
import pytest

from papayalink import node_settings
from papayalink.platform import document
from papayalink.platform import operator_api
from papayalink.roles import node as nodes
from papayalink.roles.authority import process as processes

_GRACE_S = 1.0
# Bounds the wait of a failing test; a passing test never waits that long.
_FAILURE_S = 20.0


@pytest.fixture
def member():
    """A member that has not joined a group and takes operators' calls."""
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
        bounds=node_settings.Bounds(grace_s=_GRACE_S),
    )
    node = nodes.make_node(settings)
    process = processes.make_process(
        node,
        "/nonexistent",
        operator_api.make_application,
        None,
        document.translate,
        lambda store: None,
    )
    process._operator_server.start()
    yield process
    node.rpc_client.close()
    node.timers.stop()


def test_caller_that_sends_a_part_of_a_body_does_not_hold_up_the_stop(member):
    """Guards against a member that is killed before it has stopped."""
    address = member._operator_server.address
    with socket.create_connection(address, 5) as sock:
        sock.sendall(
            b"PUT /-/config HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{"
        )
        while not member._operator_server.in_flight:
            gevent.sleep(0.001)
        stopping = gevent.spawn(member.drain)
        stopping.join(_FAILURE_S)
        assert stopping.ready()
        stopping.get()
