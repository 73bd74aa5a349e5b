"""Tests of the stubs of this folder."""

import os

from gevent import event
from gevent import server as servers
from gevent import socket

from papayalink.roles.gateway import liveness
from papayalink.state import traffic
from tests import own_host
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
    hosts = [own_host.host_of(pid) for pid in range(1, 60_000)]
    assert len(set(hosts)) == len(hosts)
    assert stubs.HOST == own_host.host_of(os.getpid())


# Guards against gateways that connect to a stub of a later test, which has the
# port of one that had ended.
def test_stopped_gateways_probe_no_ports():
    route = stubs.make_route("safe", traffic.RepeatPolicy.IDEMPOTENT)
    gone = stubs.Upstream("desk0")
    gateway = stubs.Gateway([gone], [route])
    gone.server.stop()
    assert gateway.call(b"/safe/")[0] == 503
    gateway.stop()
    later = servers.StreamServer(gone.server.address, lambda *_: taken.set())
    taken = event.Event()
    later.start()
    try:
        assert not taken.wait(3 * liveness.PROBE_PERIOD_S)
    finally:
        later.stop()
