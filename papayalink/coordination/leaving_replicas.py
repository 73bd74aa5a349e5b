"""Replicas that say in their answers that they leave."""

from collections.abc import Collection
from collections.abc import Iterable

from papayalink.protocol import shared_tables
from papayalink.state import replicas

# A replica that says so all the time is reported again this often.
REFRESH_S = 5.0
# Longer than a replica takes to leave. One that starts again under its id is
# used when it is listed as born later, or listed again, or after this time
# where nobody saw it go.
KEEP_S = 120.0
MAX_REPLICAS = 1024
# A replica that is missing in the list for this long has ended. Its entry may
# be unreadable in a single list.
GONE_S = 2.0
# Reports that differ by less are the same: each transfer adds its delay.
_SAME_REPORT_S = 1.0


class _Statement:
    """When a lifetime of a replica said last that it leaves."""

    __slots__ = ("at", "born_ms")

    def __init__(self, at: float, born_ms: int) -> None:
        self.at = at
        self.born_ms = born_ms


class LeavingReplicas:
    """When each replica said last that it leaves.

    Entries and members merge what they know, in any order and any number of
    times.

    Attributes:
        version: changes with the table.
    """

    __slots__ = (
        "version",
        "_statements",
        "_listed",
        "_missing_since",
        "_gone_at",
    )

    def __init__(self) -> None:
        self.version = 0
        self._statements: dict[str, _Statement] = {}
        # Those of them that this process has seen in the list, since when they
        # are missing in it, and when they were last missing for long.
        self._listed: set[str] = set()
        self._missing_since: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}

    def is_leaving(self, replica_id: str, born_ms: int = 0) -> bool:
        """Args: born_ms: start of the lifetime asked for, 0 when unknown."""
        said = self._statements.get(replica_id)
        return (
            said is not None
            and replicas.same_lifetime(said.born_ms, born_ms)
            and said.at > self._last_gone(replica_id)
        )

    def note_listed(self, listed: Collection[str], now: float) -> None:
        """Record which replicas are listed; others that were have ended.

        What a replica said before it ended does not hold for one that starts
        again under its id.
        """
        for replica_id in self._statements:
            if replica_id in listed:
                self._listed.add(replica_id)
                self._missing_since.pop(replica_id, None)
            elif replica_id in self._listed:
                since = self._missing_since.setdefault(replica_id, now)
                if now - since >= GONE_S:
                    self._gone_at[replica_id] = now

    def note(self, replica_id: str, now: float, born_ms: int = 0) -> None:
        """Record that a replica says that it leaves.

        Args: born_ms: start of its lifetime, 0 when unknown.
        """
        known = self._statements.get(replica_id)
        if (
            known is None
            or now - known.at > REFRESH_S
            # A later run of the replica says it soon after the former one.
            or not replicas.same_lifetime(known.born_ms, born_ms)
            or known.at <= self._last_gone(replica_id) < now
        ):
            self._set(replica_id, now, born_ms)

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.LeavingReplica, ...]:
        """Returns: the whole table, with ages instead of times."""
        return tuple(
            shared_tables.LeavingReplica(
                replica_id, max(0, int((now - said.at) * 1000)), said.born_ms
            )
            for replica_id, said in self._statements.items()
        )

    def merge(
        self, reported: Iterable[shared_tables.LeavingReplica], now: float
    ) -> None:
        """Add what another process knows."""
        for each in reported:
            said_at = now - each.age_ms / 1000
            known = self._statements.get(each.replica_id)
            if known is not None:
                is_same = replicas.same_lifetime(known.born_ms, each.born_ms)
                if said_at <= known.at + (_SAME_REPORT_S if is_same else 0.0):
                    continue
            if now - said_at < KEEP_S:
                self._set(each.replica_id, said_at, each.born_ms)

    def expire(self, now: float) -> None:
        """Forget replicas that have said nothing for long."""
        old = [
            replica_id
            for replica_id, said in self._statements.items()
            if now - said.at >= KEEP_S
        ]
        for replica_id in old:
            self._forget(replica_id)
        self.version += bool(old)

    def _set(self, replica_id: str, said_at: float, born_ms: int) -> None:
        self._statements.pop(replica_id, None)
        self._statements[replica_id] = _Statement(said_at, born_ms)
        if len(self._statements) > MAX_REPLICAS:
            self._forget(next(iter(self._statements)))
        self.version += 1

    def _forget(self, replica_id: str) -> None:
        del self._statements[replica_id]
        self._listed.discard(replica_id)
        self._missing_since.pop(replica_id, None)
        self._gone_at.pop(replica_id, None)

    def _last_gone(self, replica_id: str) -> float:
        return self._gone_at.get(replica_id, float("-inf"))


def make_leaving_replicas() -> LeavingReplicas:
    return LeavingReplicas()
