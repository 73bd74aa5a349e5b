"""The control process."""

import os

import gevent
from gevent import queue
import msgspec

from papayalink.coordination import replica as replicas
from papayalink.coordination.raft import membership
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles.control import loads
from papayalink.roles.control import peers
from papayalink.roles.control import service
from papayalink.state import log_store
from papayalink.state import machine as machines
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

SHARE_PERIOD_S = 0.5


class _ShareDue(msgspec.Struct):
    """Delivered by the timer service once a period."""


class ControlProcess(process.Process):
    """One member of the control group."""

    __slots__ = (
        "_machine",
        "_replica",
        "_peers",
        "_loads",
        "_service",
        "_rpc_server",
        "_inbox",
    )

    def __init__(self, node: nodes.Node) -> None:
        super().__init__(node)
        settings = node.settings
        self._machine = machines.make_machine()
        self._peers = peers.make_peers(
            settings.name, settings.controls, node.rpc_client
        )
        self._loads = loads.make_load_table(node.clock)
        self._inbox = queue.Queue()
        self._replica = replicas.make_replica(
            replicas.Settings(member_id=settings.name),
            log_store.DiskLogStore(os.path.join(settings.data_folder, "log")),
            self._machine,
            node.timers,
            self._peers.send,
            membership.make_membership(*sorted(settings.controls)),
        )
        self._service = service.ControlService(
            self._replica,
            self._machine,
            self._peers,
            self._loads,
            node.metrics,
        )
        self._rpc_server = rpc.make_server(
            nodes.parse_address(settings.rpc_listen),
            self._service.handlers(),
            node.signer,
        )

    @property
    def accepting(self) -> bool:
        return self._replica.leader_id is not None

    def start(self) -> None:
        self._rpc_server.start()
        self._node.timers.every(SHARE_PERIOD_S, self._inbox, _ShareDue())
        gevent.spawn(self._run)

    def drain(self) -> None:
        self._rpc_server.stop()
        self._replica.stop()

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "replica": self._replica.status(),
            "version": self._machine.configuration.version,
            "calls": len(self._machine.ledger),
            "leaving": self._machine.upstreams.leaving,
            "orders": self._machine.upstreams.open_orders,
            "loads": self._loads.select(self._loads.names()),
        }

    def _run(self) -> None:
        while True:
            self._inbox.get()
            reports = self._loads.take_unshared()
            if reports:
                message = messages.ShareLoads(
                    self._node.settings.name, reports
                )
                for address in self._peers.others():
                    gevent.spawn(self._share, address, message)

    def _share(self, address: str, message: messages.ShareLoads) -> None:
        try:
            self._node.rpc_client.call(
                address, "ShareLoads", message, SHARE_PERIOD_S
            )
        except transport_errors.TransportError:
            # The next batch holds newer reports.
            self._node.metrics.count("loads_not_shared")


def make_process(node: nodes.Node) -> ControlProcess:
    return ControlProcess(node)
