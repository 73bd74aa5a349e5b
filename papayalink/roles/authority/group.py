"""Membership of the control group, maintained by its leader."""

from collections.abc import Callable
import time

import gevent
from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink.coordination import errors
from papayalink.coordination import replacement
from papayalink.coordination import replica as replicas
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles.authority import address_book
from papayalink.roles.control import peers as peers_module
from papayalink.transport import errors as transport_errors

# A learner of a small group catches up within one or two periods.
PERIOD_S = 0.25
JOIN_TIMEOUT_S = 0.5
# A standby learner repeats its request to join with this period, since the
# leader may have changed.
STAND_BY_PERIOD_S = 1.0
# A process that has lost its state finds the group by an introduction, for
# which it waits up to one period.
INTRODUCE_PERIOD_S = 0.5


class _UpkeepDue(msgspec.Struct):
    """Delivered by the timer service once per period."""


class GroupUpkeep:
    """Asks to join the group; on the leader, changes the membership."""

    __slots__ = (
        "_node",
        "_own_id",
        "_has_first_id",
        "_durable",
        "_target_voters",
        "_replica",
        "_peers",
        "_book",
        "_on_removed",
        "_join_requests",
        "_logged_ids",
        "_join_sent_at",
        "_introduced_at",
        "_leading_since",
        "_inbox",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        own_id: str,
        has_first_id: bool,
        durable: bool,
        replica: replicas.Replica,
        peers: peers_module.Peers,
        book: address_book.AddressBook,
        on_removed: Callable[[], None],
    ) -> None:
        self._node = node
        self._own_id = own_id
        self._has_first_id = has_first_id
        self._durable = durable
        losses = node.settings.bounds.losses
        self._target_voters = replacement.required_voters(losses)
        self._replica = replica
        self._peers = peers
        self._book = book
        self._on_removed = on_removed
        self._join_requests: dict[str, messages.Join] = {}
        self._logged_ids: set[str] = set()
        self._join_sent_at = 0.0
        self._introduced_at = 0.0
        self._leading_since: float | None = None
        self._inbox = queue.Queue()
        self._log = logs.get_logger()

    def start(self) -> None:
        self._node.timers.every(PERIOD_S, self._inbox, _UpkeepDue())
        tasks.spawn(self._run)

    def join(self, message: messages.Join) -> None:
        """Add a member that asked to join."""
        if message.member_id not in self._logged_ids:
            self._logged_ids.add(message.member_id)
            self._log.info(
                "member_asks_to_join",
                member=message.member_id,
                durable=message.durable,
            )
        self._join_requests[message.member_id] = message

    def _run(self) -> None:
        while True:
            self._inbox.get()
            if self._replica.removed:
                self._on_removed()
                return
            self._book.learn_members(self._replica.membership.ids)
            if self._replica.is_leader:
                if self._leading_since is None:
                    self._leading_since = time.monotonic()
                self._change_members()
                self._introduce()
            else:
                self._leading_since = None
                self._join_requests.clear()
                self._ask_to_join()

    def _change_members(self) -> None:
        group = self._replica.membership
        change = replacement.next_change(
            group,
            [
                replacement.JoiningMember(
                    join.member_id,
                    peers_module.name_of(join.member_id),
                    join.durable,
                )
                for join in self._join_requests.values()
            ],
            {
                member_id: peers_module.name_of(member_id)
                for member_id in group.ids
            },
            self._silence_s(),
            self._target_voters,
        )
        if change is None:
            self._join_requests.clear()
            return
        try:
            self._replica.change_members(change)
            self._log.info("membership_changed", change=repr(change))
        except errors.CoordinationError as error:
            # The learner has not caught up, or another change is under way.
            self._log.info("membership_change_waits", reason=error)

    def _introduce(self) -> None:
        """Tell known addresses without a voter which member is the leader.

        The settings may name only seeds without a disk. These know no member
        after a restart, but are the only ones that entries and new members
        ask. They may still be learners under their former id.
        """
        now = time.monotonic()
        if now - self._introduced_at < INTRODUCE_PERIOD_S:
            return
        self._introduced_at = now
        voters = self._replica.membership.voters
        voter_names = {peers_module.name_of(voter) for voter in voters}
        own_name = peers_module.name_of(self._own_id)
        for name in self._book:
            if name not in voter_names:
                gevent.spawn(
                    self._send_introduction,
                    self._book[name],
                    messages.Describe(own_name, self._durable),
                )

    def _send_introduction(
        self, address: str, message: messages.Describe
    ) -> None:
        try:
            self._node.rpc_client.call(
                address, "Describe", message, JOIN_TIMEOUT_S
            )
        except transport_errors.TransportError as error:
            # Usually the address of a machine that was removed.
            self._log.debug(
                "introduction_not_taken", address=address, reason=error
            )

    def _silence_s(self) -> dict[str, float]:
        now = time.monotonic()
        silence_s = {}
        for member_id in self._replica.membership.ids:
            if member_id != self._own_id:
                reached_at = self._peers.reached_at(member_id)
                since = max(self._leading_since, reached_at or 0.0)
                silence_s[member_id] = now - since
        return silence_s

    def _ask_to_join(self) -> None:
        """Ask to be a voter until the new id is this member's only one.

        A member without a disk asks to be a learner. A standby learner keeps
        asking.
        """
        group = self._replica.membership
        own_member = group.find(self._own_id)
        name = peers_module.name_of(self._own_id)
        id_count = [peers_module.name_of(id_) for id_ in group.ids].count(name)
        admitted = own_member is not None and id_count == 1
        if self._has_first_id or (
            admitted and (own_member.voter or not self._durable)
        ):
            return
        now = time.monotonic()
        if admitted and now - self._join_sent_at < STAND_BY_PERIOD_S:
            return
        self._join_sent_at = now
        message = messages.Join(self._own_id, self._durable)
        leader = self._peers.address_of(self._replica.leader_id)
        addresses = [leader] if leader else self._peers.others()
        # All at once: some of the addresses may be those of silent machines.
        gevent.joinall(
            [
                gevent.spawn(self._send_join, address, message)
                for address in addresses
            ]
        )

    def _send_join(self, address: str, message: messages.Join) -> None:
        try:
            self._node.rpc_client.call(
                address, "Join", message, JOIN_TIMEOUT_S
            )
        except transport_errors.TransportError as error:
            match error:
                case transport_errors.RpcRefused(leader=leader) if leader:
                    self._book.learn_addresses([leader])
            self._log.info("join_not_taken", address=address, reason=error)


def make_group_upkeep(
    node: nodes.Node,
    own_id: str,
    has_first_id: bool,
    durable: bool,
    replica: replicas.Replica,
    peers: peers_module.Peers,
    book: address_book.AddressBook,
    on_removed: Callable[[], None],
) -> GroupUpkeep:
    """Make the upkeep.

    Args:
        own_id: id of this member.
        has_first_id: the id is the first one of this member's name.
        durable: this member has a disk and may vote.
        on_removed: called once when the group has removed this member.
    """
    return GroupUpkeep(
        node, own_id, has_first_id, durable, replica, peers, book, on_removed
    )
