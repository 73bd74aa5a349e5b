"""Periodic tasks of the control leader."""

import gevent
from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink.adapters import errors as adapter_errors
from papayalink.adapters import platform as platforms
from papayalink.coordination import errors
from papayalink.coordination import orders
from papayalink.coordination import replica as replicas
from papayalink.coordination.raft import membership
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.protocol import relay
from papayalink.roles import node as nodes
from papayalink.roles.control import loads
from papayalink.roles.control import peers
from papayalink.roles.control import weight_check
from papayalink.state import ledger
from papayalink.state import machine as machines
from papayalink.state import upstreams
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_client

UPKEEP_PERIOD_S = 0.5
# A new leader waits for one round of load reports before it sends orders.
LEADER_SETTLE_S = 3.0
EXPIRE_PERIOD_S = 60.0
# Records per command. Expiring 5,000 records blocks a member for 7 to 9 ms,
# and a reduced retention period may expire hundreds of thousands at once.
_EXPIRE_LIMIT = 5000
_PROPOSE_TIMEOUT_S = 2.0
# An order stays open until every entry has received a report sent after it:
# the agent's poll, the exchange between members and the entry's poll take up
# to 2.5 s. Otherwise the leader would order the same weights again because of
# reports from before the swap, and entries would know no usable replica while
# the next replicas load.
REPORT_PROPAGATION_S = 3.0
# Retry period of an adapter that an engine failed to load. In between, other
# adapters are loaded.
ADAPTER_RETRY_S = 10.0
# Loading takes about 0.8 s, longer while replicas share the weight store.
ORDER_TIMEOUT_S = 60.0


class _UpkeepDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class _ExpireDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class Upkeep:
    """Runs on every member but acts only on the leader.

    Args:
        node: shared components of the process.
        replica: commits commands and knows the leader.
        machine: replicated state of this member.
        load_table: load reports of upstreams.
        platform: adapter of the platform's VM list, None without a platform.
        weights: knows which weight versions are missing in the weight store.
    """

    __slots__ = (
        "_node",
        "_replica",
        "_machine",
        "_loads",
        "_platform",
        "_weight_check",
        "_client",
        "_inbox",
        "_sending",
        "_failed_adapters",
        "_joining",
        "_leading_since",
        "_platform_failed",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        replica: replicas.Replica,
        machine: machines.Machine,
        load_table: loads.LoadTable,
        platform: platforms.Platform | None,
        weights: weight_check.WeightCheck,
    ) -> None:
        self._node = node
        self._replica = replica
        self._machine = machine
        self._loads = load_table
        self._platform = platform
        self._weight_check = weights
        self._client = http_client.make_client(node.signer, ORDER_TIMEOUT_S)
        self._inbox = queue.Queue()
        self._sending: set[str] = set()
        self._failed_adapters: dict[tuple[str, str], float] = {}
        self._joining: set[str] = set()
        self._leading_since: float | None = None
        self._platform_failed = False
        self._log = logs.get_logger()

    def start(self) -> None:
        self._node.timers.every(UPKEEP_PERIOD_S, self._inbox, _UpkeepDue())
        self._node.timers.every(EXPIRE_PERIOD_S, self._inbox, _ExpireDue())
        tasks.spawn(self._run)

    def join(self, member_id: str) -> None:
        """Add a member that asks to join; done over several periods."""
        self._joining.add(member_id)

    def _run(self) -> None:
        while True:
            message = self._inbox.get()
            if not self._replica.is_leader:
                self._leading_since = None
                continue
            if self._leading_since is None:
                self._leading_since = self._node.clock.now()
            try:
                self._act(message)
            except errors.CoordinationError as error:
                self._log.warning("upkeep_interrupted", reason=error)

    def _act(self, message: _UpkeepDue | _ExpireDue) -> None:
        match message:
            case _ExpireDue():
                limits = self._machine.configuration.document.limits
                expire_before = (
                    self._node.clock.wall() - limits.ledger_retention_s
                )
                command = ledger.Expire(expire_before, _EXPIRE_LIMIT)
                if isinstance(self._propose(command), ledger.Unfinished):
                    self._inbox.put(message)
            case _UpkeepDue():
                for member_id in list(self._joining):
                    self._advance_join(member_id)
                self._check_platform()
                self._send_orders()

    def _advance_join(self, member_id: str) -> None:
        """Propose the next membership change for a joining member."""
        group = self._replica.membership
        known = group.find(member_id)
        name = peers.name_of(member_id)
        replaced = [
            voter
            for voter in group.ids
            if peers.name_of(voter) == name and voter != member_id
        ]
        if known is None:
            step = membership.AddLearner(member_id)
        elif not known.voter:
            step = membership.PromoteLearner(member_id)
        elif replaced:
            step = membership.RemoveMember(replaced[0])
        else:
            self._joining.discard(member_id)
            return
        try:
            self._replica.change_members(step)
            self._log.info("membership_changed", step=repr(step))
        except errors.ChangeRefused as error:
            # The learner has not caught up, or another change is in progress.
            self._log.info("membership_change_waits", reason=error)

    def _check_platform(self) -> None:
        if self._platform is None:
            return
        try:
            vms = self._platform.list_vms()
        except adapter_errors.AdapterError as error:
            if not self._platform_failed:
                self._log.warning("platform_list_failed", reason=error)
            self._platform_failed = True
            return
        self._platform_failed = False
        leaving_by_vm = {}
        for vm in vms:
            leaving_by_vm[vm.name] = leaving_by_vm[vm.address] = (
                vm.state == "leaving"
            )
        commands = orders.choose_leaving_changes(
            self._machine.configuration.document,
            leaving_by_vm,
            self._machine.upstreams.leaving_sources,
        )
        for command in commands:
            self._log.info("leaving_changed", command=repr(command))
            self._propose(command)

    def _send_orders(self) -> None:
        now = self._node.clock.now()
        if now - self._leading_since < LEADER_SETTLE_S:
            return
        reports = {
            report.upstream: report
            for report in self._loads.select(self._loads.names())
        }
        open_orders = self._machine.upstreams.open_orders
        commands = orders.choose_orders(
            self._machine.configuration.document,
            reports,
            open_orders,
            self._node.settings.name,
            self._recently_failed(now),
        )
        ordered_upstreams = {order.upstream for order in open_orders}
        for command in commands:
            # The weights of an order that is taken over were looked up when
            # it was opened.
            if (
                command.upstream not in ordered_upstreams
                and self._lacks_weights(command)
            ):
                continue
            outcome = self._propose(command)
            if isinstance(outcome, upstreams.Opened):
                gevent.spawn(self._send, outcome.order)
        for order in self._machine.upstreams.open_orders:
            # Orders whose agent was not reached are sent again.
            if order.upstream not in self._sending:
                gevent.spawn(self._send, order)

    def _lacks_weights(self, command: upstreams.OpenOrder) -> bool:
        return (
            command.action == orders.LOAD_WEIGHTS
            and self._weight_check.is_missing(command.argument)
        )

    def _recently_failed(self, now: float) -> frozenset[tuple[str, str]]:
        self._failed_adapters = {
            key: failed_at
            for key, failed_at in self._failed_adapters.items()
            if now - failed_at < ADAPTER_RETRY_S
        }
        return frozenset(self._failed_adapters)

    def _send(self, order: upstreams.Order) -> None:
        if order.upstream in self._sending:
            return
        self._sending.add(order.upstream)
        try:
            reply = self._call_agent(order)
            self._log.info("order_answered", order=order, reply=reply)
            if reply is not None and reply.result == "done":
                gevent.sleep(REPORT_PROPAGATION_S)
            elif reply is not None and order.action == orders.LOAD_ADAPTER:
                key = (order.upstream, order.argument)
                self._failed_adapters[key] = self._node.clock.now()
            if reply is not None and self._replica.is_leader:
                self._propose(
                    upstreams.CloseOrder(
                        order.upstream, order.fence, reply.result
                    )
                )
        except errors.CoordinationError as error:
            self._log.warning("order_not_closed", order=order, reason=error)
        finally:
            self._sending.discard(order.upstream)

    def _call_agent(
        self, order: upstreams.Order
    ) -> messages.OrderReply | None:
        """Returns: the agent's reply, None if there is no valid reply."""
        agent = next(
            (
                upstream.agent
                for upstream in self._machine.configuration.document.upstreams
                if upstream.name == order.upstream
            ),
            None,
        )
        if agent is None:
            return messages.OrderReply("failed", "upstream was removed")
        message = messages.Order(
            order.upstream, order.fence, order.action, order.argument
        )
        try:
            answer = self._client.send(
                agent, "POST", relay.ORDER_PATH, messages.encode(message)
            )
            reply = messages.decode(answer.read())
        except (
            transport_errors.TransportError,
            protocol_errors.ProtocolError,
        ) as error:
            self._log.warning("order_not_sent", order=order, reason=error)
            return None
        return reply if isinstance(reply, messages.OrderReply) else None

    def _propose(self, command: machines.Command) -> machines.Outcome:
        data = machines.encode_command(command)
        return machines.decode_outcome(
            self._replica.propose(data, _PROPOSE_TIMEOUT_S)
        )


def make_upkeep(
    node: nodes.Node,
    replica: replicas.Replica,
    machine: machines.Machine,
    load_table: loads.LoadTable,
    platform: platforms.Platform | None,
    weights: weight_check.WeightCheck,
) -> Upkeep:
    return Upkeep(node, replica, machine, load_table, platform, weights)
