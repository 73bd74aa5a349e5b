"""Limits that replicas name, and their division among entries."""

from collections.abc import Iterable

from papayalink.protocol import shared_tables
from papayalink.state import replicas

# A limit that is named all the time is reported again this often.
REFRESH_S = 5.0
# A limit that was not named for this long is forgotten; its replica has gone.
KEEP_S = 30.0
MAX_REPLICAS = 1024
# Permits that a member saves up for entries that ask late, in seconds of the
# limit.
SAVED_S = 0.5
# Limits below this are raised to it: without any request the system would not
# learn that a limit has ended.
MIN_LIMIT_PER_S = 0.2
# Reports that differ by less are the same: each transfer adds its delay.
_SAME_REPORT_S = 1.0


class _Statement:
    """What a replica said last.

    Attributes:
        limit_per_s: None for no limit.
        at: when it said so.
        slack_s: time by which it may have said so earlier.
    """

    __slots__ = ("limit_per_s", "at", "born_ms", "slack_s")

    def __init__(
        self,
        limit_per_s: float | None,
        at: float,
        born_ms: int,
        slack_s: float = 0.0,
    ) -> None:
        self.limit_per_s = limit_per_s
        self.at = at
        self.born_ms = born_ms
        self.slack_s = slack_s

    @property
    def earliest_at(self) -> float:
        return self.at - self.slack_s

    def says_the_same(self, other: "_Statement") -> bool:
        return (
            self.limit_per_s == other.limit_per_s
            and replicas.same_lifetime(self.born_ms, other.born_ms)
        )

    def replaces(self, known: "_Statement") -> bool:
        """Whether this is newer than a known statement, or surer."""
        if not replicas.same_lifetime(self.born_ms, known.born_ms):
            return self.born_ms > known.born_ms
        if self.slack_s < known.slack_s:
            return self.earliest_at > known.earliest_at
        if self.says_the_same(known):
            return self.earliest_at > known.earliest_at + _SAME_REPORT_S
        # Two statements of uncertain times may have been made in either order;
        # processes that know the times tell them in their next reports.
        return self.earliest_at > known.at


class NamedLimits:
    """Newest statement of each replica, at an entry or a control member.

    Entries and members merge what they know, in any order and any number of
    times.

    Attributes:
        version: changes with the table.
    """

    __slots__ = ("version", "_statements")

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self._statements: dict[str, _Statement] = {}

    def limit_per_s(self, replica_id: str, born_ms: int = 0) -> float | None:
        """Returns: requests a second for all entries, None for no limit.

        Args: born_ms: start of the lifetime asked for, 0 when unknown.
        """
        statement = self._statements.get(replica_id)
        if (
            statement is None
            or statement.limit_per_s is None
            or not replicas.same_lifetime(statement.born_ms, born_ms)
        ):
            return None
        return max(MIN_LIMIT_PER_S, statement.limit_per_s)

    def limited(self) -> list[str]:
        """Returns: replicas with a limit."""
        return [
            replica_id
            for replica_id, statement in self._statements.items()
            if statement.limit_per_s is not None
        ]

    def note(
        self,
        replica_id: str,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
        born_ms: int = 0,
    ) -> None:
        """Record what the head of an answer says.

        An answer without a limit ends one only if its request was sent after
        the limit was known.

        Args: born_ms: start of the replica's lifetime, 0 when unknown.
        """
        known = self._statements.get(replica_id)
        if known is None:
            if limit_per_s is not None:
                self._set(replica_id, limit_per_s, now, born_ms)
        elif limit_per_s != known.limit_per_s:
            if limit_per_s is not None or sent_at > known.at:
                self._set(replica_id, limit_per_s, now, born_ms)
        elif limit_per_s is not None and (
            now - known.at > REFRESH_S
            or not replicas.same_lifetime(known.born_ms, born_ms)
        ):
            self._set(replica_id, limit_per_s, now, born_ms)

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.NamedLimit, ...]:
        """Returns: the whole table, with ages instead of times."""
        return tuple(
            shared_tables.NamedLimit(
                replica_id,
                -1.0 if each.limit_per_s is None else each.limit_per_s,
                max(0, int((now - each.at) * 1000)),
                each.born_ms,
                int(each.slack_s * 1000),
            )
            for replica_id, each in self._statements.items()
        )

    def merge(
        self,
        reported: Iterable[shared_tables.NamedLimit],
        now: float,
        slack_s: float = 0.0,
    ) -> None:
        """Add what another process knows; the newest statement holds.

        Args:
            now: when the rows were made.
            slack_s: time by which they may have been made earlier.
        """
        for each in reported:
            statement = _Statement(
                None if each.limit_per_s < 0 else each.limit_per_s,
                now - each.age_ms / 1000,
                each.born_ms,
                max(slack_s, each.slack_ms / 1000),
            )
            known = self._statements.get(each.replica_id)
            if known is not None and not statement.replaces(known):
                continue
            if now - statement.at < KEEP_S:
                self._put(each.replica_id, statement)

    def expire(self, now: float) -> None:
        """Forget replicas that have said nothing for long."""
        old = [
            replica_id
            for replica_id, each in self._statements.items()
            if now - each.at >= KEEP_S
        ]
        for replica_id in old:
            del self._statements[replica_id]
        self.version += bool(old)

    def _set(
        self,
        replica_id: str,
        limit_per_s: float | None,
        at: float,
        born_ms: int,
    ) -> None:
        self._put(replica_id, _Statement(limit_per_s, at, born_ms))

    def _put(self, replica_id: str, statement: _Statement) -> None:
        self._statements.pop(replica_id, None)
        self._statements[replica_id] = statement
        if len(self._statements) > MAX_REPLICAS:
            del self._statements[next(iter(self._statements))]
        self.version += 1


class PermitSource:
    """Divides limits into permits for single requests, at one member.

    Entries that have calls ask for permits. Those who ask first get them, so
    that the sum keeps to the limit whatever the number of entries.
    """

    __slots__ = ("_limits", "_balances")

    def __init__(self, limits: NamedLimits) -> None:
        self._limits = limits
        # By replica, permits and when they were counted.
        self._balances: dict[str, tuple[float, float]] = {}

    def grant(
        self,
        wanted: Iterable[tuple[str, int]],
        now: float,
        share: float = 1.0,
    ) -> tuple[tuple[str, int], ...]:
        """Grant permits.

        Args:
            wanted: number of permits by replica.
            share: share of the limits that is divided here.
        Returns: granted permits by replica.
        """
        granted = []
        for replica_id, count in wanted:
            limit_per_s = self._limits.limit_per_s(replica_id)
            if limit_per_s is None:
                self._balances.pop(replica_id, None)
                continue
            limit_per_s *= share
            balance, counted_at = self._balances.get(replica_id, (0.0, now))
            balance = min(
                max(1.0, SAVED_S * limit_per_s),
                balance + limit_per_s * (now - counted_at),
            )
            permits = min(count, int(balance))
            self._balances[replica_id] = (balance - permits, now)
            if permits > 0:
                granted.append((replica_id, permits))
        if len(self._balances) > MAX_REPLICAS:
            del self._balances[next(iter(self._balances))]
        return tuple(granted)


def make_named_limits(version: int = 0) -> NamedLimits:
    return NamedLimits(version)


def make_permit_source(limits: NamedLimits) -> PermitSource:
    return PermitSource(limits)
