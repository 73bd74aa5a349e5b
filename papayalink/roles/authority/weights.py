"""Orders replicas to load named weights; acts on the leader only."""

from collections.abc import Iterable
from collections.abc import Mapping
import time

import gevent
from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink.coordination import errors
from papayalink.coordination import known_weights
from papayalink.coordination import replica as replicas
from papayalink.coordination import upstream_client
from papayalink.coordination import weight_loads
from papayalink.roles import node as nodes
from papayalink.roles.authority import behind_log
from papayalink.roles.authority import list_relay
from papayalink.roles.authority import numbered_state
from papayalink.state import machine as machines
from papayalink.state import replicas as replica_states
from papayalink.state import upstreams

PERIOD_S = 0.25
# While no replica is behind, the list is read only to find replicas that start
# with older weights, which is rare.
IDLE_LIST_PERIOD_S = 5.0
# Wait after a failed reading, which may itself take a second.
LIST_RETRY_S = 1.0
# A list that is read for entries is used instead until it is this old.
MAX_RELAYED_AGE_S = 1.5
# Loading takes about 0.8 s once the running requests have ended.
STATUS_DELAY_S = 0.8
PROPOSE_TIMEOUT_S = 0.8
LOAD_WEIGHTS = "load_weights"
# Wait between opening an order and sending it. Entries learn of an open order
# from their watches within about 0.05 s; calls that they sent before arrive
# within a few ms.
ORDER_DELAY_S = 0.15
# The replica is asked after this whether it carries out an order without an
# answer. If not, it is repeated after as long with a newer fencing token.
UNANSWERED_RETRY_S = 0.5


_SEPARATOR = "@"


def parse_argument(argument: str) -> tuple[str, int] | None:
    """Returns: model and version of a load order, None if it is invalid."""
    model, separator, version = argument.rpartition(_SEPARATOR)
    if not separator or not version.isdigit():
        return None
    return model, int(version)


class _UpkeepDue(msgspec.Struct):
    """Delivered by the timer service once per period."""


class WeightUpkeep:
    """Orders a few loads at a time, with fencing tokens of the group."""

    __slots__ = (
        "_node",
        "_state",
        "_replica",
        "_machine",
        "_platform",
        "_relay",
        "_known",
        "_list_failed_at",
        "_ordered_at",
        "_last_loads",
        "_failures",
        "_loading_ids",
        "_leading_since",
        "_behind_log",
        "_inbox",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        state: numbered_state.NumberedState,
        replica: replicas.Replica,
        machine: machines.Machine,
        platform: upstream_client.UpstreamClient,
        relay: list_relay.ListRelay,
    ) -> None:
        self._node = node
        self._state = state
        self._replica = replica
        self._machine = machine
        self._platform = platform
        self._relay = relay
        self._known = known_weights.make_known_weights()
        self._list_failed_at: float | None = None
        # Time and content of the last order of each replica that is not known
        # to have carried it out.
        self._ordered_at: dict[str, float] = {}
        self._last_loads: dict[str, weight_loads.Load] = {}
        self._failures: dict[str, weight_loads.Failure] = {}
        self._loading_ids: set[str] = set()
        self._leading_since: float | None = None
        self._behind_log = behind_log.make_behind_log()
        self._inbox = queue.Queue()
        self._log = logs.get_logger()

    def start(self) -> None:
        self._node.timers.every(PERIOD_S, self._inbox, _UpkeepDue())
        tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._inbox.get()
            now = time.monotonic()
            if not self._replica.is_leader:
                self._leading_since = None
                self._ordered_at.clear()
                self._last_loads.clear()
                self._failures.clear()
                continue
            if self._leading_since is None:
                self._leading_since = now
                self._log.info("loads_wait_for_lease")
            # An earlier leader may have sent orders until it lost its quorum,
            # and the orders of two holders within one lease would alternate.
            lease_s = self._node.settings.bounds.lease_ms / 1000
            if now - self._leading_since < lease_s:
                continue
            try:
                self._order_loads(now)
            except errors.CoordinationError as error:
                self._log.warning("weights_upkeep_interrupted", reason=error)

    def _order_loads(self, now: float) -> None:
        self._close_abandoned_orders()
        wanted = self._machine.numbered.weights
        if not wanted:
            return
        self._refresh_list(wanted, now)
        # A task waits for its replica's report for longer than for the load.
        under_way = self._ordered_at | dict.fromkeys(self._loading_ids, now)
        for load in weight_loads.choose_loads(
            self._known.replicas,
            wanted,
            under_way,
            now,
            self._failures,
        ):
            self._ordered_at[load.replica.replica_id] = now
            self._last_loads[load.replica.replica_id] = load
            self._loading_ids.add(load.replica.replica_id)
            gevent.spawn(self._load, load)
        self._behind_log.note(
            self._known.replicas,
            wanted,
            self._loading_ids,
            self._failures,
            now,
        )

    def _close_abandoned_orders(self) -> None:
        """Close orders left open by an earlier leader or a failure.

        Entries send a replica no calls while its order is open.
        """
        for order in self._machine.upstreams.open_orders:
            if order.upstream not in self._loading_ids:
                self._close(order)

    def _refresh_list(self, wanted: Mapping[str, int], now: float) -> None:
        """Take over a newer list, and read it if none is read for entries."""
        relay = self._relay
        if relay.number and relay.read_at > self._known.listed_at:
            self._note_list(relay.listed, relay.read_at)
        if relay.number and now - relay.read_at <= MAX_RELAYED_AGE_S:
            return
        if self._known.is_behind(wanted) or not self._known.replicas:
            period_s = PERIOD_S
        else:
            period_s = IDLE_LIST_PERIOD_S
        if self._list_failed_at is not None:
            due = now - self._list_failed_at >= LIST_RETRY_S
        else:
            due = now - self._known.listed_at >= period_s
        if due:
            self._read_list(now)

    def _read_list(self, now: float) -> None:
        """Read the list; the replicas known before hold if that fails."""
        try:
            listed = self._platform.list_replicas()
        except upstream_client.UpstreamClientError as error:
            if self._list_failed_at is None:
                self._log.warning("weights_list_lost", reason=error)
            self._list_failed_at = now
            return
        self._list_failed_at = None
        self._note_list(listed, now)

    def _note_list(
        self, listed: Iterable[replica_states.Replica], listed_at: float
    ) -> None:
        self._known.note_list(listed, listed_at)
        names = {replica.replica_id for replica in self._known.replicas}
        for gone in self._failures.keys() - names:
            del self._failures[gone]
        for gone in self._last_loads.keys() - names - self._loading_ids:
            self._forget_order(gone)
        for replica in self._known.replicas:
            load = self._last_loads.get(replica.replica_id)
            if load and replica.weights.get(load.model, 0) >= load.version:
                self._forget_order(replica.replica_id)

    def _load(self, load: weight_loads.Load) -> None:
        replica = load.replica
        log = self._log.bind(
            replica=replica.replica_id, model=load.model, version=load.version
        )
        accepted = busy = loaded = False
        try:
            order = self._open(load)
            gevent.sleep(ORDER_DELAY_S)
            # Leadership may have been lost while this process was stalled.
            self._state.confirm()
            if not self._replica.is_leader:
                raise errors.NotLeader(None)
            accepted = self._order(load, order.fence)
            log.info("weights_ordered", fence=order.fence, taken=accepted)
            self._node.metrics.count("weight_orders", taken=str(accepted))
            if accepted:
                self._failures.pop(replica.replica_id, None)
                loaded = self._wait_loaded(load)
            elif busy := self._platform.read_report(replica).busy:
                # It carries out an order whose answer was lost, or one of an
                # earlier leader.
                loaded = self._wait_loaded(load, while_busy=True)
            self._close(order)
            if not accepted and not loaded:
                self._note_failure(replica, "rejected")
        except upstream_client.ReplicaNotReached as error:
            self._note_failure(replica, error, accepted or busy)
        except (
            errors.CoordinationError,
            upstream_client.UpstreamClientError,
        ) as error:
            log.warning(
                "weights_not_ordered", reason=error, retry_s=UNANSWERED_RETRY_S
            )
            retry_at = time.monotonic() + UNANSWERED_RETRY_S
            self._ordered_at[replica.replica_id] = (
                retry_at - weight_loads.ORDER_REPEAT_S
            )
        finally:
            self._loading_ids.discard(replica.replica_id)
        if loaded:
            # A version that was named meanwhile needs an order of its own.
            self._give_place_back(replica)

    def _note_failure(
        self,
        replica: replica_states.Replica,
        reason: object,
        accepted: bool = False,
    ) -> None:
        """Order the replica again after a delay, behind the others."""
        now = time.monotonic()
        failure = weight_loads.note_failure(
            self._failures.get(replica.replica_id), now
        )
        self._failures[replica.replica_id] = failure
        self._log.warning(
            "load_interrupted" if accepted else "weights_not_ordered",
            replica=replica.replica_id,
            reason=reason,
            orders=failure.count,
            retry_s=round(failure.retry_at - now, 3),
        )
        self._give_place_back(replica)

    def _forget_order(self, name: str) -> None:
        self._ordered_at.pop(name, None)
        self._last_loads.pop(name, None)

    def _give_place_back(self, replica: replica_states.Replica) -> None:
        self._forget_order(replica.replica_id)
        # Choose the next load without waiting for the next period.
        self._inbox.put(_UpkeepDue())

    def _order(self, load: weight_loads.Load, fence: int) -> bool:
        """Returns: whether the replica carries out the order, or has.

        Raises: upstream_client.UpstreamClientError
        """
        try:
            return self._platform.order_weights(
                load.replica,
                load.model,
                load.version,
                self._node.settings.name,
                fence,
            )
        except upstream_client.ReplicaNotReached:
            raise
        except upstream_client.UpstreamClientError:
            # Its place is held until this is known.
            if not self._is_under_way(load):
                raise
            return True

    def _is_under_way(self, load: weight_loads.Load) -> bool:
        """Find out whether a replica took an order without an answer.

        Raises: upstream_client.UpstreamClientError
        """
        deadline = time.monotonic() + weight_loads.ORDER_REPEAT_S
        while True:
            # A replica that stood still reports late what it does.
            gevent.sleep(UNANSWERED_RETRY_S)
            try:
                report = self._platform.read_report(load.replica)
            except upstream_client.ReplicaEnded:
                raise
            except upstream_client.UpstreamClientError:
                if time.monotonic() >= deadline:
                    raise
                continue
            held = report.weights.get(load.model, 0) >= load.version
            return report.busy or held

    def _wait_loaded(
        self, load: weight_loads.Load, while_busy: bool = False
    ) -> bool:
        """Poll the replica until it has the weights or a repeat is due.

        Args:
            while_busy: wait only until the replica carries out no order.
        Returns: whether the replica has the weights.
        Raises: upstream_client.ReplicaEnded
        """
        replica = load.replica
        deadline = time.monotonic() + weight_loads.ORDER_REPEAT_S
        gevent.sleep(STATUS_DELAY_S)
        while time.monotonic() < deadline:
            try:
                report = self._platform.read_report(replica)
            except upstream_client.ReplicaEnded:
                raise
            except upstream_client.UpstreamClientError as error:
                self._log.info(
                    "status_not_read",
                    replica=replica.replica_id,
                    reason=error,
                )
                report = upstream_client.Report({}, busy=True)
            if report.weights.get(load.model, 0) >= load.version:
                self._known.note_report(
                    replica, report.weights, time.monotonic()
                )
                self._log.info(
                    "weights_loaded",
                    replica=replica.replica_id,
                    version=load.version,
                )
                return True
            if report.orders == 0:
                raise upstream_client.ReplicaEnded("a restart cleared it")
            if while_busy and not report.busy:
                return False
            gevent.sleep(PERIOD_S)
        return False

    def _open(self, load: weight_loads.Load) -> upstreams.Order:
        outcome = self._propose(
            upstreams.OpenOrder(
                load.replica.replica_id,
                LOAD_WEIGHTS,
                f"{load.model}{_SEPARATOR}{load.version}",
                self._node.settings.name,
            )
        )
        return outcome.order

    def _close(self, order: upstreams.Order) -> None:
        self._propose(
            upstreams.CloseOrder(order.upstream, order.fence, "done")
        )

    def _propose(self, command: upstreams.Command) -> upstreams.Outcome:
        data = machines.encode_command(command)
        return machines.decode_outcome(
            self._replica.propose(data, PROPOSE_TIMEOUT_S)
        )


def make_weight_upkeep(
    node: nodes.Node,
    state: numbered_state.NumberedState,
    replica: replicas.Replica,
    machine: machines.Machine,
    platform: upstream_client.UpstreamClient,
    relay: list_relay.ListRelay,
) -> WeightUpkeep:
    """Make the orders of a member, which it gives while it leads.

    Args:
        platform: gives the orders, and reads the list and reports.
        relay: holds a list that is read for entries.
    """
    return WeightUpkeep(node, state, replica, machine, platform, relay)
