"""The control process."""

from collections.abc import Callable
import os

import gevent
from gevent import queue
import msgspec

from papayalink import tasks
from papayalink.adapters import platform as platforms
from papayalink.console import application
from papayalink.coordination import proposer as proposers
from papayalink.coordination import replica as replicas
from papayalink.coordination import replica_loading
from papayalink.coordination.raft import membership
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles.control import console_backend
from papayalink.roles.control import demands
from papayalink.roles.control import identity as identities
from papayalink.roles.control import loads
from papayalink.roles.control import peers
from papayalink.roles.control import service
from papayalink.roles.control import upkeep
from papayalink.roles.control import weight_check
from papayalink.state import log_store
from papayalink.state import machine as machines
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_server
from papayalink.transport import rpc

SHARE_PERIOD_S = 0.5
JOIN_PERIOD_S = 1.0


class _ShareDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class _JoinDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class ControlProcess(process.Process):
    """One member of the control group."""

    __slots__ = (
        "_identity",
        "_machine",
        "_replica",
        "_peers",
        "_loads",
        "_demands",
        "_service",
        "_upkeep",
        "_rpc_server",
        "_console",
        "_inbox",
        "_stopping",
    )

    def __init__(self, node: nodes.Node) -> None:
        super().__init__(node)
        settings = node.settings
        self._stopping = False
        self._identity = identities.make_identity(
            settings.data_folder, settings.name
        )
        self._machine = machines.make_machine()
        self._peers = peers.make_peers(
            settings.name, settings.controls, node.rpc_client
        )
        self._loads = loads.make_load_table(node.clock)
        self._demands = demands.make_demand_table(node.clock)
        self._inbox = queue.Queue()
        self._replica: replicas.Replica | None = None
        self._upkeep: upkeep.Upkeep | None = None
        self._console: http_server.HttpServer | None = None
        self._service = service.ControlService(
            self._identity,
            self._machine,
            self._peers,
            self._loads,
            self._demands,
            node.metrics,
        )
        self._rpc_server = rpc.make_server(
            nodes.parse_address(settings.rpc_listen),
            self._service.handlers(),
            node.signer,
            service.LIMITS,
        )

    @property
    def accepting(self) -> bool:
        return (
            self._replica is not None and self._replica.leader_id is not None
        )

    def start(self) -> None:
        self._rpc_server.start()
        tasks.spawn(self._join_and_run)

    def drain(self) -> None:
        self._stopping = True
        if self._console is not None:
            self._console.stop()
        self._rpc_server.stop()
        if self._replica is not None:
            self._replica.stop()

    def _join_and_run(self) -> None:
        """Determine this member's id, then run its replica."""
        settings = self._node.settings
        log_folder = os.path.join(settings.data_folder, "log")
        has_log = os.path.isdir(log_folder) and os.listdir(log_folder)
        identity = self._identity
        if (identity.admitted and identity.has_first_id) and not has_log:
            identity.renew()
        elif settings.join and not has_log:
            identity.renew()
        elif not identity.admitted:
            identities.introduce(
                identity,
                settings.name,
                self._peers.others(),
                self._node.rpc_client,
                lambda: self._stopping,
            )
        if self._stopping:
            return
        self._run_replica(log_folder)

    def _run_replica(self, log_folder: str) -> None:
        settings = self._node.settings
        first_members = None
        if self._identity.has_first_id:
            first_members = membership.make_membership(
                *sorted(settings.controls)
            )
        self._peers.set_own(self._identity.member_id)
        self._replica = replicas.make_replica(
            replica_loading.Settings(member_id=self._identity.member_id),
            log_store.DiskLogStore(log_folder),
            self._machine,
            self._node.timers,
            self._peers.send,
            first_members,
        )
        # The supervisor restarts a process whose replica has failed.
        tasks.spawn(self._replica.join)
        platform = None
        if settings.platform_address:
            platform = platforms.make_platform(settings.platform_address)
        self._upkeep = upkeep.make_upkeep(
            self._node,
            self._replica,
            self._machine,
            self._loads,
            platform,
            weight_check.make_weight_check(
                settings.weights_address, self._node.clock
            ),
        )
        self._service.attach(self._replica, self._upkeep)
        self._upkeep.start()
        self._node.timers.every(SHARE_PERIOD_S, self._inbox, _ShareDue())
        self._node.timers.every(JOIN_PERIOD_S, self._inbox, _JoinDue())
        tasks.spawn(self._run)
        self._serve_console()

    def _serve_console(self) -> None:
        settings = self._node.settings
        backend = console_backend.make_backend(
            self._replica,
            self._machine,
            self._loads,
            proposers.make_proposer(
                list(settings.controls.values()),
                self._node.rpc_client,
                self._node.clock,
            ),
        )
        console = http_server.make_server(
            nodes.parse_address(settings.console_listen),
            application.make_application(
                backend, settings.console_token, self._node.clock
            ),
        )
        console.start()
        # Other greenlets run during its start, and one may stop the process.
        if self._stopping:
            console.stop()
        else:
            self._console = console

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "leader": lambda: float(
                self._replica is not None and self._replica.is_leader
            ),
            "configuration_version": (
                lambda: self._machine.configuration.version
            ),
            "ledger_records": lambda: len(self._machine.ledger),
        }

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "member_id": self._identity.member_id,
            "replica": self._replica and self._replica.status(),
            "version": self._machine.configuration.version,
            "calls": len(self._machine.ledger),
            "leaving": self._machine.upstreams.leaving,
            "orders": self._machine.upstreams.open_orders,
            "loads": self._loads.select(self._loads.names()),
        }

    def _run(self) -> None:
        while True:
            match self._inbox.get():
                case _ShareDue():
                    self._share_loads()
                case _JoinDue():
                    self._ask_to_join()

    def _ask_to_join(self) -> None:
        """Ask to join under a new id, until it has replaced the old one."""
        own = self._identity.member_id
        group = self._replica.membership
        known = group.find(own)
        names = [peers.name_of(member_id) for member_id in group.ids]
        if self._identity.has_first_id or (
            known is not None
            and known.voter
            and names.count(peers.name_of(own)) == 1
        ):
            return
        for address in self._peers.others():
            try:
                self._node.rpc_client.call(address, "Join", messages.Join(own))
                return
            except transport_errors.TransportError as error:
                self._node.log.info("join_not_taken", reason=error)

    def _share_loads(self) -> None:
        reports = self._loads.take_unshared()
        demand = self._demands.take_unshared()
        if not reports and not demand:
            return
        message = messages.ShareLoads(
            self._node.settings.name, reports, demand
        )
        for address in self._peers.others():
            gevent.spawn(self._send_shared, address, message)

    def _send_shared(self, address: str, message: messages.ShareLoads) -> None:
        try:
            self._node.rpc_client.call(
                address, "ShareLoads", message, SHARE_PERIOD_S
            )
        except transport_errors.TransportError:
            # The next batch contains newer reports.
            self._node.metrics.count("loads_not_shared")


def make_process(node: nodes.Node) -> ControlProcess:
    return ControlProcess(node)
