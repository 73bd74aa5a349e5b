"""Membership of the control group, kept by its leader."""

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

# A learner of a small group has caught up within one or two of these.
PERIOD_S = 0.25
JOIN_TIMEOUT_S = 0.5
# A learner that stands by says so again after this, since the leader may be
# another one by then.
STAND_BY_PERIOD_S = 1.0
# Processes that have lost what they knew wait for this to find the group.
INTRODUCE_PERIOD_S = 0.5


class _Due(msgspec.Struct):
    """Delivered by the timer service once a period."""


class GroupUpkeep:
    """Asks to join, and on the leader carries out the changes."""

    __slots__ = (
        "_node",
        "_own",
        "_original",
        "_durable",
        "_wanted",
        "_replica",
        "_peers",
        "_book",
        "_on_removed",
        "_joining",
        "_asked_before",
        "_asked_at",
        "_introduced_at",
        "_leading_since",
        "_inbox",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        own: str,
        original: bool,
        durable: bool,
        replica: replicas.Replica,
        peers: peers_module.Peers,
        book: address_book.AddressBook,
        on_removed: Callable[[], None],
    ) -> None:
        self._node = node
        self._own = own
        self._original = original
        self._durable = durable
        losses = node.settings.bounds.losses
        self._wanted = replacement.voters_wanted(losses)
        self._replica = replica
        self._peers = peers
        self._book = book
        self._on_removed = on_removed
        self._joining: dict[str, messages.Join] = {}
        self._asked_before: set[str] = set()
        self._asked_at = 0.0
        self._introduced_at = 0.0
        self._leading_since: float | None = None
        self._inbox = queue.Queue()
        self._log = logs.get_logger()

    def start(self) -> None:
        self._node.timers.every(PERIOD_S, self._inbox, _Due())
        tasks.spawn(self._run)

    def join(self, message: messages.Join) -> None:
        """Add a member that asked for it."""
        if message.member_id not in self._asked_before:
            self._asked_before.add(message.member_id)
            self._log.info(
                "member_asks_to_join",
                member=message.member_id,
                durable=message.durable,
            )
        self._joining[message.member_id] = message

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
                self._change()
                self._introduce()
            else:
                self._leading_since = None
                self._joining.clear()
                self._ask_to_join()

    def _change(self) -> None:
        group = self._replica.membership
        change = replacement.next_change(
            group,
            [
                replacement.Joining(
                    each.member_id,
                    peers_module.name_of(each.member_id),
                    each.durable,
                )
                for each in self._joining.values()
            ],
            {each: peers_module.name_of(each) for each in group.ids},
            self._silent_s(),
            self._wanted,
        )
        if change is None:
            self._joining.clear()
            return
        try:
            self._replica.change_members(change)
            self._log.info("membership_changed", change=repr(change))
        except errors.CoordinationError as error:
            # The learner has not caught up, or another change is under way.
            self._log.info("membership_change_waits", reason=error)

    def _introduce(self) -> None:
        """Tell addresses that do not vote who leads the group.

        Settings may name only seeds without a disk, which know no member
        after a restart, and entries and new members ask only these. They
        may still be learners under the id that they had before.
        """
        now = time.monotonic()
        if now - self._introduced_at < INTRODUCE_PERIOD_S:
            return
        self._introduced_at = now
        voters = self._replica.membership.voters
        places = {peers_module.name_of(each) for each in voters}
        own = peers_module.name_of(self._own)
        for name in self._book:
            if name not in places:
                gevent.spawn(
                    self._describe_to,
                    self._book[name],
                    messages.Describe(own, self._durable),
                )

    def _describe_to(self, address: str, message: messages.Describe) -> None:
        try:
            self._node.rpc_client.call(
                address, "Describe", message, JOIN_TIMEOUT_S
            )
        except transport_errors.TransportError as error:
            # Mostly a machine that was removed.
            self._log.debug(
                "introduction_not_taken", address=address, reason=error
            )

    def _silent_s(self) -> dict[str, float]:
        now = time.monotonic()
        silent = {}
        for member_id in self._replica.membership.ids:
            if member_id != self._own:
                reached_at = self._peers.reached_at(member_id)
                since = max(self._leading_since, reached_at or 0.0)
                silent[member_id] = now - since
        return silent

    def _ask_to_join(self) -> None:
        """Ask to be a voter under a new id, until it is the only one.

        A member without a disk asks to be a learner; one that stands by
        asks as long as it does.
        """
        group = self._replica.membership
        known = group.find(self._own)
        name = peers_module.name_of(self._own)
        alone = [peers_module.name_of(each) for each in group.ids].count(name)
        done = known is not None and alone == 1
        if self._original or (done and (known.voter or not self._durable)):
            return
        now = time.monotonic()
        if done and now - self._asked_at < STAND_BY_PERIOD_S:
            return
        self._asked_at = now
        message = messages.Join(self._own, self._durable)
        leader = self._peers.address_of(self._replica.leader_id)
        addresses = [leader] if leader else self._peers.others()
        for address in addresses:
            try:
                self._node.rpc_client.call(
                    address, "Join", message, JOIN_TIMEOUT_S
                )
                return
            except transport_errors.RpcRefused as error:
                if error.leader:
                    self._book.learn_addresses([error.leader])
                self._log.info("join_not_taken", address=address, reason=error)
            except transport_errors.TransportError as error:
                self._log.info("join_not_taken", address=address, reason=error)


def make_group_upkeep(
    node: nodes.Node,
    own: str,
    original: bool,
    durable: bool,
    replica: replicas.Replica,
    peers: peers_module.Peers,
    book: address_book.AddressBook,
    on_removed: Callable[[], None],
) -> GroupUpkeep:
    """Make the upkeep.

    Args:
        durable: this member has a disk and may vote.
        on_removed: called once when the group has removed this member.
    """
    return GroupUpkeep(
        node, own, original, durable, replica, peers, book, on_removed
    )
