"""The authority process: a control member for numbered documents."""

from collections.abc import Callable
import contextlib
import os
import pathlib
import shutil
import time

from papayalink import node_settings
from papayalink import tasks
from papayalink.coordination import replacement
from papayalink.coordination import replica as replicas
from papayalink.coordination import replica_loading
from papayalink.coordination import upstream_client
from papayalink.coordination.raft import membership
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles import reloading
from papayalink.roles import stop_plan
from papayalink.roles.authority import address_book
from papayalink.roles.authority import departure
from papayalink.roles.authority import founding
from papayalink.roles.authority import group
from papayalink.roles.authority import list_relay
from papayalink.roles.authority import numbered_state
from papayalink.roles.authority import observed_machine
from papayalink.roles.authority import service
from papayalink.roles.authority import store_watch
from papayalink.roles.authority import table_follower
from papayalink.roles.authority import tables_keeper
from papayalink.roles.authority import weight_observer
from papayalink.roles.authority import weights
from papayalink.roles.control import identity as identities
from papayalink.roles.control import peers
from papayalink.state import log_store
from papayalink.state import machine as machines
from papayalink.state import segments
from papayalink.state import traffic
from papayalink.transport import http_server
from papayalink.transport import rpc

# The first election begins 0.15 to 0.25 s after the start of the whole group;
# until it ends, entries have no document and refuse calls. A live leader sends
# a heartbeat every 0.1 s.
FIRST_ELECTION_TICKS = 3

EXIT_REMOVED = 71
# Part of the time of a stop in which operators' last calls are answered.
OPERATORS_SHARE = 0.15

MakeOperatorApp = Callable[[numbered_state.NumberedState], http_server.WsgiApp]


class AuthorityProcess(process.Process):
    """One control member."""

    __slots__ = (
        "_identity",
        "_machine",
        "_book",
        "_peers",
        "_state",
        "_service",
        "_replica",
        "_group",
        "_rpc_server",
        "_operator_server",
        "_client",
        "_reloading",
        "_translate",
        "_followed_number",
        "_stores",
        "_relay",
        "_departure",
    )

    def __init__(
        self,
        node: nodes.Node,
        settings_path: str,
        make_operator_app: MakeOperatorApp,
        client: upstream_client.UpstreamClient,
        translate: Callable[[bytes], traffic.TrafficDocument],
        make_reader: store_watch.MakeReader,
    ) -> None:
        super().__init__(node)
        settings = node.settings
        self._reloading = reloading.make_reloading(
            settings_path, settings, self._apply_settings
        )
        self._client = client
        own = address_book.name_of_ip(settings.ip)
        self._identity = identities.make_identity(settings.data_folder, own)
        self._machine = machines.make_machine()
        self._book = address_book.make_address_book(settings.peer_port)
        self._book.learn_addresses(settings.seeds)
        self._peers = peers.make_peers(own, self._book, node.rpc_client)
        self._state = numbered_state.make_numbered_state(
            self._machine, self._peers, node.rpc_client, node.metrics
        )
        self._translate = translate
        self._followed_number = 0
        self._stores = store_watch.make_store_watch(make_reader)
        self._relay = list_relay.make_list_relay(client, node.metrics)
        self._service = service.make_service(
            self._state,
            self._machine,
            self._book,
            settings.data_folder is not None,
            self._join,
            self._stores,
            self._relay,
            settings.bounds.retry_window_s,
        )
        self._state.observe_before_naming(self._service.observe_weights)
        self._departure = departure.make_departure(
            self._identity, self._state, self._peers, node.rpc_client
        )
        self._replica: replicas.Replica | None = None
        self._group: group.GroupUpkeep | None = None
        self._rpc_server = rpc.make_server(
            (settings.ip, settings.peer_port),
            {**self._service.handlers(), **self._departure.handlers()},
            node.signer,
            service.LIMITS,
        )
        self._operator_server = http_server.make_server(
            nodes.parse_address(settings.operator_listen),
            make_operator_app(self._state),
        )

    @property
    def accepting(self) -> bool:
        return (
            self._replica is not None and self._replica.leader_id is not None
        )

    def start(self) -> None:
        # Other members call Describe before this one joins the group.
        self._rpc_server.start()
        self._operator_server.start()
        tasks.spawn(self._run_replica)
        self._relay.start()
        if self._node.settings.data_folder is not None:
            tables_keeper.make_tables_keeper(
                self._node.settings.data_folder, self._service.tables
            ).start()
        if self._node.settings.first_start:
            self._service.tables.software.note_first_start(time.monotonic())
        table_follower.make_table_follower(
            self._node, self._state, self._service.tables
        ).start()
        weight_observer.make_weight_observer(
            self._node.timers, self._service
        ).start()
        self._reloading.start(self._node.timers)

    def drain(self) -> None:
        """Leave the group once it has a quorum without this member."""
        plan = stop_plan.make_stop_plan(self._node.settings.bounds.grace_s)
        until = time.monotonic() + plan.answer_s
        operators_s = OPERATORS_SHARE * plan.answer_s
        self._departure.wait(plan.answer_s - operators_s, self._stop_now)
        left_s = max(0.0, until - time.monotonic())
        if not self._operator_server.stop(left_s):
            self._node.log.warning(
                "operators_cut_by_stop",
                in_flight=self._operator_server.in_flight,
            )
        # The others may not be back yet, and this member still votes.
        self._departure.wait(until - time.monotonic(), self._stop_now)
        self._departure.leave()
        self._rpc_server.stop()
        if self._replica is not None:
            self._replica.stop()

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "member_id": self._identity.member_id,
            "replica": self._replica and self._replica.status(),
            "number": self._machine.numbered.number,
            "weights": self._machine.numbered.weights,
            "orders": self._machine.upstreams.open_orders,
            "blocked": self._service.tables.suspects.blocked,
        }

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "leader": lambda: float(
                self._replica is not None and self._replica.is_leader
            ),
            "document_number": lambda: self._machine.numbered.number,
        }

    def reload(self) -> None:
        """Read the settings file again."""
        self._reloading.check()

    def _apply_settings(self, settings: node_settings.NodeSettings) -> None:
        """Apply changed seeds; other settings need a restart."""
        self._book.learn_addresses(settings.seeds)

    @property
    def _log_folder(self) -> str:
        return os.path.join(self._node.settings.data_folder, "log")

    def _make_log_store(self) -> log_store.LogStore:
        if self._node.settings.data_folder is None:
            return log_store.MemoryLogStore()
        return log_store.DiskLogStore(self._log_folder)

    def _join(self, message: messages.Join) -> None:
        if self._group is not None:
            self._group.join(message)

    def _note_applied(self) -> None:
        """Follow the stores of a document that has come into force."""
        numbered = self._machine.numbered
        if numbered.number > self._followed_number:
            self._followed_number = numbered.number
            try:
                stores = self._translate(numbered.content).stores
            except Exception:
                # Members of another version may accept what this one does
                # not. The stores of the last document are followed on.
                self._node.log.exception(
                    "document_unusable", number=numbered.number
                )
            else:
                self._stores.set_stores(stores)
        self._service.note_applied()

    def _run_replica(self) -> None:
        first_members = self._choose_identity()
        self._peers.set_own(self._identity.member_id)
        self._replica = replicas.make_replica(
            replica_loading.Settings(
                member_id=self._identity.member_id,
                first_election_ticks=FIRST_ELECTION_TICKS,
            ),
            self._make_log_store(),
            observed_machine.make_observed(self._machine, self._note_applied),
            self._node.timers,
            self._peers.send,
            first_members,
        )
        # The supervisor restarts a process whose replica has failed.
        tasks.spawn(self._replica.join)
        losses = self._node.settings.bounds.losses
        self._state.attach(self._replica, replacement.required_voters(losses))
        self._group = group.make_group_upkeep(
            self._node,
            self._identity.member_id,
            self._identity.has_first_id,
            self._node.settings.data_folder is not None,
            self._replica,
            self._peers,
            self._book,
            self._exit_removed,
        )
        self._group.start()
        weights.make_weight_upkeep(
            self._node,
            self._state,
            self._replica,
            self._machine,
            self._client,
            self._relay,
        ).start()

    def _exit_removed(self) -> None:
        """Discard the removed id and its log, choose a new id, and exit.

        The process exits, since its components hold the old replica. Its
        supervisor restarts it, and it joins the group under the new id.
        """
        self._node.log.error(
            "removed_from_group", member_id=self._identity.member_id
        )
        self._identity.renew()
        if self._node.settings.data_folder is not None:
            _discard_log(self._log_folder)
        os._exit(EXIT_REMOVED)

    def _choose_identity(self) -> membership.Membership | None:
        """Decide under which id this member joins the group.

        Only the platform knows that the deployment starts for the first
        time. At any other time an empty folder means that the disk was lost
        or that the machine replaces another one.

        Returns: members of a new group, for a log that is still empty; None
            to join an existing group.
        """
        settings = self._node.settings
        own = address_book.name_of_ip(settings.ip)
        founders: tuple[str, ...] = ()
        if settings.data_folder is not None:
            folder = self._log_folder
            has_log = os.path.isdir(folder) and bool(os.listdir(folder))
            if self._identity.admitted and has_log:
                # A founder may have ended before its log held the members.
                founders = self._identity.founders
                return (
                    membership.make_membership(*founders) if founders else None
                )
            # A member that was admitted and has no log was removed from the
            # group, or has lost its log.
            if settings.first_start and not self._identity.admitted:
                founders = self._find_founders(own)
        if own in founders:
            # The log folder comes first: an admitted member without one has
            # lost its log.
            self._make_log_store().close()
            self._identity.admit(founders)
            return membership.make_membership(*founders)
        self._identity.renew()
        self._node.log.warning(
            "joining_as_learner", member_id=self._identity.member_id
        )
        return None

    def _find_founders(self, own: str) -> tuple[str, ...]:
        """Returns: names of the members that found the group."""
        settings = self._node.settings
        seeds = {
            address_book.name_of_ip(address.rpartition(":")[0]): address
            for address in settings.seed_peers
        }
        founders = founding.find_founders(
            messages.Describe(own, settings.data_folder is not None),
            seeds,
            self._node.rpc_client,
            self._service.describe,
        )
        self._book.learn_members(founders)
        return founders


def _discard_log(folder: str) -> None:
    """Remove a log folder, so that a kill or a power loss leaves all or none.

    A part of a log counts as damage. The whole log of a former id does no
    harm: the group sends what follows it, or replaces it.
    """
    discarded = folder + ".discarded"
    # Of a removal that was interrupted.
    shutil.rmtree(discarded, ignore_errors=True)
    with contextlib.suppress(OSError):
        os.rename(folder, discarded)
        # A power loss may undo a rename that is not synced, and not the
        # removals that follow it.
        segments.sync_folder(segments.Files(), pathlib.Path(folder).parent)
        shutil.rmtree(discarded, ignore_errors=True)


def make_process(
    node: nodes.Node,
    settings_path: str,
    make_operator_app: MakeOperatorApp,
    client: upstream_client.UpstreamClient,
    translate: Callable[[bytes], traffic.TrafficDocument],
    make_reader: store_watch.MakeReader,
) -> AuthorityProcess:
    """Make a member.

    Args:
        make_operator_app: makes the HTTP interface for operators.
        client: lists replicas and orders them to load weights.
        translate: decodes an operator's document.
        make_reader: makes the reader of one store of the platform.
    """
    return AuthorityProcess(
        node, settings_path, make_operator_app, client, translate, make_reader
    )
