"""Keeps this entry's share of the limits that replicas name."""

from collections.abc import Iterable
import time

from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import named_limits

# An entry asks for permits for this much time at once, at least for one.
ASKED_S = 0.25
# Permits are asked for services that were called this recently.
DEMAND_MEMORY_S = 0.5
# Share of the limits that entries use on their own when no control member
# answers; others may get permits meanwhile.
OWN_SHARE = 0.5


class LimitKeeper:
    """Applies named limits to the replicas of this entry.

    Attributes:
        limits: what replicas have named to this entry and the others.
    """

    __slots__ = ("limits", "_fleet", "_called_at", "_own")

    def __init__(
        self, limits: named_limits.NamedLimits, fleet: fleets.Fleet
    ) -> None:
        self.limits = limits
        self._fleet = fleet
        self._called_at: dict[str, float] = {}
        # Used while no member answers.
        self._own = named_limits.make_permit_source(self.limits)

    def note_call(self, service: str) -> None:
        """Record that there is a call to a service."""
        if self._called_at or self.limits.limited():
            self._called_at[service] = time.monotonic()

    def note_answer(
        self,
        member: fleet_member.Member,
        limit_per_s: float | None,
        sent_at: float,
    ) -> None:
        """Record what the head of an answer says of its replica."""
        version = self.limits.version
        self.limits.note(
            member.replica.replica_id,
            limit_per_s,
            sent_at,
            time.monotonic(),
            member.born_ms,
        )
        if self.limits.version != version:
            self.apply()

    def apply(self) -> None:
        """Apply the limits to the replicas that are listed."""
        for member in self._fleet.all_members():
            member.limit_per_s = self.limits.limit_per_s(
                member.replica.replica_id, member.replica.born_ms
            )

    def wanted(self) -> tuple[tuple[str, int], ...]:
        """Returns: permits to ask for, by replica."""
        now = time.monotonic()
        self._called_at = {
            service: at
            for service, at in self._called_at.items()
            if now - at < DEMAND_MEMORY_S
        }
        wanted = []
        for replica_id in self.limits.limited():
            member = self._fleet.find(replica_id)
            if member is None or member.replica.service not in self._called_at:
                continue
            enough = max(1, int(ASKED_S * (member.limit_per_s or 0.0)))
            missing = enough - member.permits(now)
            if missing > 0:
                wanted.append((replica_id, missing))
        return tuple(wanted)

    def add_permits(
        self, granted: Iterable[tuple[str, int]], asked_at: float
    ) -> None:
        """Use permits that a member has granted.

        Args:
            asked_at: when they were asked for, from which on they last.
        """
        for replica_id, count in granted:
            member = self._fleet.find(replica_id)
            if member is not None:
                member.add_permits(count, asked_at)
        self._fleet.changed.notify()

    def add_own_permits(self, entries: int) -> None:
        """Use a small share of the limits without a member's permits."""
        share = OWN_SHARE / max(1, entries)
        now = time.monotonic()
        self.add_permits(self._own.grant(self.wanted(), now, share), now)


def make_limit_keeper(
    limits: named_limits.NamedLimits, fleet: fleets.Fleet
) -> LimitKeeper:
    return LimitKeeper(limits, fleet)
