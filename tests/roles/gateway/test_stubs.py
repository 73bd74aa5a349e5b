"""Tests of the stubs of this folder."""

import os

from gevent import socket

from papayalink.state import traffic
from tests.roles.gateway import standing_still
from tests.roles.gateway import stubs


# Guards against stubs that can't listen beside many runs, since the ports of
# their address are taken by connections that have ended.
def test_stubs_share_no_ports_with_outgoing_connections():
    route = stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT)
    upstreams = [stubs.Upstream("desk0"), standing_still.Upstream("desk1")]
    gateway = stubs.Gateway(upstreams, [route])
    try:
        listeners = [upstream.server.address for upstream in upstreams]
        for address in [*listeners, gateway.server.address]:
            with socket.create_connection(address) as sock:
                assert sock.getpeername()[0] != sock.getsockname()[0]
    finally:
        gateway.stop()


# Guards against stubs that read requests of another run, meant for one that
# had the same port before.
def test_stubs_of_other_processes_have_other_addresses():
    hosts = [stubs.host_of(pid) for pid in range(1, 60_000)]
    assert len(set(hosts)) == len(hosts)
    assert stubs.HOST == stubs.host_of(os.getpid())
