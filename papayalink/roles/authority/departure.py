"""Decides when a member that is told to stop may leave its group."""

from collections.abc import Collection
from collections.abc import Mapping
import time

import gevent
from gevent import event

from papayalink import logs
from papayalink.coordination import errors
from papayalink.protocol import messages
from papayalink.roles.authority import numbered_state
from papayalink.roles.control import identity as identities
from papayalink.roles.control import peers as peers_module
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

ASK_PERIOD_S = 0.2
ASK_TIMEOUT_S = 0.5
# Members that began to stop within this time of each other leave in the order
# of their ids. A reply is later than the own time it is compared with, so that
# each of them would take the other for the earlier one.
SAME_TIME_S = 0.25


class Departure:
    """The planned stop of a member, as seen by its group.

    Machines that are stopped in turn overlap, as each goes on for its grace
    period. A voter without which the others have no quorum stays meanwhile,
    also while none leads: a leader that stopped is followed by another one,
    and members that were stopped come back. Without a leader no change is
    taken, and entries that start have no document.

    Args:
        identity: id of this member, which may change until it takes part.
        peers: knows the addresses of the others.
    """

    __slots__ = (
        "_identity",
        "_state",
        "_peers",
        "_client",
        "_began_at",
        "_needed",
        "_left",
        "_log",
    )

    def __init__(
        self,
        identity: identities.Identity,
        state: numbered_state.NumberedState,
        peers: peers_module.Peers,
        client: rpc.RpcClient,
    ) -> None:
        self._identity = identity
        self._state = state
        self._peers = peers
        self._client = client
        self._began_at: float | None = None
        # By the last answers of the others.
        self._needed = False
        self._left = False
        self._log = logs.get_logger()

    def handlers(self) -> Mapping[str, rpc.Handler]:
        return {"AskPresence": self.tell_presence}

    def tell_presence(
        self, message: messages.AskPresence
    ) -> messages.Presence:
        """Tell another member whether this one takes part, and stays."""
        return messages.Presence(
            takes_part=self._takes_part(message.member_id),
            stopping_s=self._stopping_s(),
        )

    def wait(self, timeout_s: float, stop_now: event.Event) -> None:
        """Stay in the group while it needs this member for its quorum.

        May be called again: the stop counts from the first call.

        Args:
            timeout_s: longest time to stay.
            stop_now: ends the wait once it is set.
        """
        now = time.monotonic()
        if self._began_at is None:
            self._began_at = now
        until = now + timeout_s
        stayed = False
        while not stop_now.is_set():
            left_s = until - time.monotonic()
            if left_s <= 0:
                return
            self._needed = self._is_needed(min(ASK_TIMEOUT_S, left_s))
            if not self._needed:
                break
            if not stayed:
                self._log.info("stays_for_quorum", left_s=round(left_s, 2))
            stayed = True
            stop_now.wait(min(ASK_PERIOD_S, left_s))
        if stayed and not self._needed:
            stopping_s = time.monotonic() - self._began_at
            self._log.info("may_leave", stopping_s=round(stopping_s, 2))

    def leave(self) -> None:
        """Tell others from now on that this member takes no part."""
        self._left = True
        if self._needed:
            self._log.warning("leaves_without_quorum")

    def _takes_part(self, member_id: str) -> bool:
        if self._left:
            return False
        try:
            leader = self._state.replica.leader_id
        except errors.Unavailable:
            return False
        return member_id == self._identity.member_id and leader is not None

    def _stopping_s(self) -> float | None:
        if self._began_at is None:
            return None
        return time.monotonic() - self._began_at

    def _is_needed(self, timeout_s: float) -> bool:
        """Returns: whether there is no quorum without this member."""
        try:
            group = self._state.replica.membership
        except errors.Unavailable:
            return False
        own = self._identity.member_id
        if own not in group.voters:
            return False
        others = [voter for voter in group.voters if voter != own]
        # Taken before the others are asked, so that no two members take each
        # other for the one that leaves later.
        stopping_s = self._stopping_s()
        staying = {
            voter
            for voter, presence in self._ask(others, timeout_s).items()
            if presence.stopping_s is None
            or _leaves_later(voter, own, presence.stopping_s - stopping_s)
        }
        return not group.has_quorum(staying)

    def _ask(
        self, voters: Collection[str], timeout_s: float
    ) -> dict[str, messages.Presence]:
        """Returns: what the voters say that take part, by member id."""
        present: dict[str, messages.Presence] = {}

        def ask(voter: str) -> None:
            try:
                presence = self._client.call(
                    self._peers.address_of(voter),
                    "AskPresence",
                    messages.AskPresence(voter),
                    timeout_s,
                )
            except transport_errors.TransportError as error:
                self._log.debug("not_present", member=voter, reason=error)
                return
            if presence.takes_part:
                present[voter] = presence

        # A call may take its time-out twice, to connect and to be answered.
        asking = [gevent.spawn(ask, voter) for voter in voters]
        gevent.joinall(asking, timeout=timeout_s)
        return dict(present)


def _leaves_later(voter: str, own: str, earlier_s: float) -> bool:
    """Args: earlier_s: by how much the voter seems to have begun earlier."""
    if abs(earlier_s) < SAME_TIME_S:
        return voter > own
    return earlier_s < 0


def make_departure(
    identity: identities.Identity,
    state: numbered_state.NumberedState,
    peers: peers_module.Peers,
    client: rpc.RpcClient,
) -> Departure:
    return Departure(identity, state, peers, client)
