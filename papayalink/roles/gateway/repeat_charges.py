"""What the repeats of one call cost the retry budget of its service."""

import time

from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import retry
from papayalink.roles.gateway import budgets

# Repeats are not waited for any longer at a replica that neither answers nor
# ends.
MAX_HELD_S = 30.0
# Part of the budget up to which room is held for repeats that may become
# necessary. The rest is for calls that have failed.
SECURED_SHARE = 0.9


class RepeatCharges:
    """Charges of one call, from the decision to repeat it to the arrival.

    The kernel of a replica takes calls that its process reads later, for
    example after it stood still. An attempt that is given up before the
    replica has answered may still arrive then.
    """

    __slots__ = (
        "_fleet",
        "_budgets",
        "_service",
        "_reserved",
        "_secured",
        "_sent",
        "_current",
        "_unread",
    )

    def __init__(
        self,
        fleet: fleets.Fleet,
        retry_budgets: budgets.Budgets,
        service: str,
    ) -> None:
        self._fleet = fleet
        self._budgets = retry_budgets
        self._service = service
        # Whether a repeat is decided and not yet sent.
        self._reserved = False
        # Whether room is held for a repeat that is not decided.
        self._secured = False
        # Repeats that were sent and are not known to have arrived.
        self._sent = 0
        # Replica of the present attempt, None once it has read it.
        self._current: fleet_member.Member | None = None
        # Replicas that may yet read an attempt, and when that was given up.
        self._unread: list[tuple[fleet_member.Member, float]] = []

    @property
    def _budget(self) -> retry.Budget:
        """The budget with the constant part that this entry has now."""
        return self._budgets.for_service(self._service, time.monotonic())

    @property
    def reserved(self) -> bool:
        """Whether the budget has been charged for the next attempt."""
        return self._reserved

    def note_request(self) -> None:
        """Record the arrival of the call."""
        self._budget.note_request(time.monotonic())

    def has_room(self) -> bool:
        """Returns: whether one more repeat would be allowed."""
        return (
            self._reserved
            or self._secured
            or self._budget.has_room(time.monotonic())
        )

    def secure(self) -> bool:
        """Hold room for a repeat, until it is decided or the call ends.

        Returns: whether there is room.
        """
        if not self._secured:
            self._secured = self._budget.reserve(
                time.monotonic(), SECURED_SHARE
            )
        return self._secured

    def reserve(self) -> bool:
        """Charge the budget for the next attempt, unless that was done.

        Returns: whether the attempt is allowed.
        """
        if not self._reserved and self._secured:
            self._reserved, self._secured = True, False
        elif not self._reserved:
            self._reserved = self._budget.reserve(time.monotonic())
        return self._reserved

    def note_sending(self, member: fleet_member.Member) -> None:
        """Record that an attempt is sent, the first one or a repeat."""
        self._leave_current()
        self._current = member
        if self._reserved:
            self._reserved = False
            self._sent += 1

    def note_read(self) -> None:
        """Record that the replica has read the attempt, or never will."""
        self._current = None
        if self._sent and not self._unread:
            self._budget.spend(self._sent, time.monotonic())
            self._sent = 0

    def close(self) -> None:
        """Settle the charges at the end of the call."""
        self._leave_current()
        for held in (self._reserved, self._secured):
            if held:
                self._budget.give_back()
        self._reserved = self._secured = False
        if not self._sent:
            return
        if self._unread:
            self._budget.hold(
                self._sent,
                self._is_settled,
                time.monotonic() + MAX_HELD_S,
            )
        else:
            self._budget.spend(self._sent, time.monotonic())
        self._sent = 0

    def _leave_current(self) -> None:
        """Give up the present attempt, if the replica may yet read it."""
        if self._current is not None:
            self._unread.append((self._current, time.monotonic()))
            self._current = None

    def _is_settled(self) -> bool:
        return all(
            member.answered_at > given_up_at
            or self._fleet.find(member.replica.replica_id) is not member
            for member, given_up_at in self._unread
        )


def make_repeat_charges(
    fleet: fleets.Fleet, retry_budgets: budgets.Budgets, service: str
) -> RepeatCharges:
    return RepeatCharges(fleet, retry_budgets, service)
