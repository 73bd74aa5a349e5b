"""A gateway process that gets a planned stop, in front of stub replicas."""

import time
import zlib

import gevent

from papayalink import node_settings
from papayalink.platform import dialect
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles.gateway import process as processes
from papayalink.state import replicas
from papayalink.state import traffic
from tests.roles.gateway import stubs

_KEY = "ab" * 32


class Gateway(stubs.Gateway):
    """A gateway process that knows replicas and perhaps a document.

    Args:
        grace_s: time between the signal to stop and the kill.
        upstreams: replicas of the services named by the start of their names.
        routes: routes of its document, none for no document.
    """

    def __init__(self, grace_s, upstreams, routes):
        self.upstreams = upstreams
        settings = node_settings.Gateway(
            name="g1",
            ip="127.0.0.1",
            zone="z",
            region="r",
            seeds=("127.0.0.1:1",),
            peer_port=1,
            platform_address="127.0.0.1:1",
            inspect_listen="127.0.0.1:0",
            deployment_key=_KEY,
            listen="127.0.0.1:0",
            ready_listen="127.0.0.1:0",
            bounds=node_settings.Bounds(grace_s=grace_s),
        )
        self._node = nodes.make_node(settings)
        self._document = traffic.TrafficDocument(
            number=1, routes=tuple(routes), services=(), workspaces=()
        )
        self.process = processes.make_process(
            self._node,
            "/nonexistent",
            dialect.make_dialect(),
            lambda content: self._document,
            None,
        )
        if routes:
            self.process._watcher._apply_reply(
                messages.WatchReply(1, zlib.compress(b"{}")),
                "",
                time.monotonic(),
            )
        self.process._fleet.update(
            replicas.Replica(
                replica_id=upstream.name,
                service=service,
                address=upstream.address,
                zone="z",
                slots=8,
                condition=replicas.Condition.READY,
                weights={"m": 1} if service == "models" else {},
            )
            for service in ("desk", "models")
            for upstream in upstreams
            if upstream.name.startswith(service)
        )
        self.server = self.process._server
        self.server.start()

    def begin_stop(self):
        """Returns: the task of the stop, which has begun."""
        stopping = gevent.spawn(self.process.drain)
        gevent.sleep(0)
        return stopping

    def end(self):
        """Close all connections, as the end of the process does."""
        self.server._server.close()
        self.server._tasks.kill()
        self._node.timers.stop()
        for upstream in self.upstreams:
            upstream.server.stop()
