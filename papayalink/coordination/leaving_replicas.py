"""Replicas that say in their answers that they leave."""

from collections.abc import Iterable

from papayalink.protocol import shared_tables

# A replica that says so all the time is reported again this often.
REFRESH_S = 5.0
# Longer than a replica takes to leave. One that starts again under its old id
# may be used after this time.
KEEP_S = 120.0
MAX_REPLICAS = 1024


class LeavingReplicas:
    """When each replica said last that it leaves.

    Entries and members merge what they know, in any order and any number of
    times.

    Attributes:
        version: changes with the table.
    """

    __slots__ = ("version", "_said_at")

    def __init__(self) -> None:
        self.version = 0
        self._said_at: dict[str, float] = {}

    def __contains__(self, replica_id: str) -> bool:
        return replica_id in self._said_at

    def note(self, replica_id: str, now: float) -> None:
        """Record that a replica says that it leaves."""
        known = self._said_at.get(replica_id)
        if known is None or now - known > REFRESH_S:
            self._said_at.pop(replica_id, None)
            self._said_at[replica_id] = now
            if len(self._said_at) > MAX_REPLICAS:
                del self._said_at[next(iter(self._said_at))]
            self.version += 1

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.LeavingReplica, ...]:
        """Returns: the whole table, with ages instead of times."""
        return tuple(
            shared_tables.LeavingReplica(
                replica_id, max(0, int((now - said_at) * 1000))
            )
            for replica_id, said_at in self._said_at.items()
        )

    def merge(
        self, reported: Iterable[shared_tables.LeavingReplica], now: float
    ) -> None:
        """Add what another process knows."""
        for each in reported:
            said_at = now - each.age_ms / 1000
            if now - said_at < KEEP_S:
                self.note(each.replica_id, said_at)

    def expire(self, now: float) -> None:
        """Forget replicas that have said nothing for long."""
        old = [
            replica_id
            for replica_id, said_at in self._said_at.items()
            if now - said_at >= KEEP_S
        ]
        for replica_id in old:
            del self._said_at[replica_id]
        self.version += bool(old)


def make_leaving_replicas() -> LeavingReplicas:
    return LeavingReplicas()
