"""Keeps the tables of entries and control members in step.

Entries and the other members ask the leading member. Each call carries what
has changed at the caller since the member last answered it, and the reply what
has changed at the member, so that the copies agree after one exchange of each,
whatever the order. A member that is asked for the first time, or has
restarted, gets whole tables.

A report may wait before a member reads it. Replies therefore carry the
member's clock, and the reports after them the earliest reading of that clock
when they were made. The first report to a member can't, and its limits are
told again in the next one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import secrets
from typing import Protocol

import msgspec

from papayalink.coordination import crash_suspects
from papayalink.coordination import leaving_replicas
from papayalink.coordination import member_clock
from papayalink.coordination import named_limits
from papayalink.coordination import software_history
from papayalink.coordination import stream_origins
from papayalink.coordination import weight_history
from papayalink.protocol import shared_tables

# A report whose time is unknown may have waited this long before it is read.
MAX_REPORT_DELAY_S = 10.0


class Table(Protocol):
    """A table whose copies are merged.

    Attributes:
        version: increases with each change of the table.
    """

    version: int

    def encode(self, now: float, since: int = 0) -> tuple: ...

    def merge(self, reported: Iterable, now: float) -> None: ...

    def expire(self, now: float) -> None: ...


class TableSet:
    """Tables of one process.

    Attributes:
        run: tells the versions of this process from those of others, and of
            its earlier runs.
        suspects: requests and parts that may end replicas.
        limits: limits that replicas name.
        origins: software versions that began streams.
        software: software versions that services had.
        leaving: replicas that say that they leave.
        weights: when weight versions were replaced.
    """

    __slots__ = (
        "run",
        "suspects",
        "limits",
        "origins",
        "software",
        "leaving",
        "weights",
    )

    def __init__(self) -> None:
        self.run = secrets.token_hex(4)
        self.suspects = crash_suspects.make_crash_suspects()
        self.limits = named_limits.make_named_limits()
        self.origins = stream_origins.make_stream_origins()
        self.software = software_history.make_software_history()
        self.leaving = leaving_replicas.make_leaving_replicas()
        self.weights = weight_history.make_weight_history()

    def by_name(self) -> dict[str, Table]:
        """Returns: the tables by their fields in `shared_tables.Tables`."""
        return {
            "suspects": self.suspects,
            "limits": self.limits,
            "origins": self.origins,
            "software": self.software,
            "leaving": self.leaving,
            "weights": self.weights,
        }

    def versions(self) -> dict[str, int]:
        return {name: table.version for name, table in self.by_name().items()}

    def changes(
        self, since: Mapping[str, int], now: float
    ) -> shared_tables.Tables:
        """Returns: what has changed after these versions of the tables."""
        rows = {
            name: _changes(table, since.get(name, 0), now)
            for name, table in self.by_name().items()
        }
        return shared_tables.Tables(self.run, self.versions(), **rows)

    def merge(self, tables: shared_tables.Tables, now: float) -> None:
        """Merge what a process told, whose report is read now."""
        made_at, slack_s = now, MAX_REPORT_DELAY_S
        if tables.run == self.run:
            slack_s = 0.0
            # Processes of earlier versions never tell when a report was made.
            if tables.clock_ms >= 0:
                made_at = min(now, tables.clock_ms / 1000)
        for name, table in self.by_name().items():
            rows = getattr(tables, name)
            if table is self.limits:
                self.limits.merge(rows, made_at, slack_s)
            else:
                table.merge(rows, now)

    def expire(self, now: float) -> None:
        for table in self.by_name().values():
            table.expire(now)

    def answer(
        self, told: shared_tables.Tables, now: float
    ) -> shared_tables.Tables:
        """Merge what a process tells, and return what it lacks."""
        self.expire(now)
        # The request may have waited while this process stood still, and rows
        # that look later than they are would prolong the use of old weights.
        self.merge(msgspec.structs.replace(told, weights=()), now)
        known = told.versions if told.run == self.run else {}
        return msgspec.structs.replace(
            self.changes(known, now), clock_ms=int(now * 1000)
        )

    def answer_entry(
        self, told: shared_tables.Tables, now: float
    ) -> shared_tables.Tables:
        """The same for an entry, which asks for origins when it needs one."""
        reply = self.answer(told, now)
        return msgspec.structs.replace(reply, origins=())


class TableExchange:
    """Tells one member after the other what changed, and learns from it.

    Args:
        tables: the tables of this process.
    """

    __slots__ = (
        "_tables",
        "_run",
        "_known",
        "_told",
        "_telling",
        "_clock",
        "_tells_time",
    )

    def __init__(self, tables: TableSet) -> None:
        self._tables = tables
        # Run of the member that answered last, the versions of its tables, and
        # the versions of the own tables that it knows.
        self._run = ""
        self._known: dict[str, int] = {}
        self._told: dict[str, int] = {}
        self._telling: dict[str, int] = {}
        self._clock = member_clock.make_member_clock()
        # Whether the last report told when it was made.
        self._tells_time = False

    def report(self, now: float) -> shared_tables.Tables:
        """Returns: what the member may not know."""
        self._tables.expire(now)
        self._telling = self._tables.versions()
        changes = self._tables.changes(self._told, now)
        clock = self._clock.earliest_reading(now)
        self._tells_time = clock is not None
        return msgspec.structs.replace(
            changes,
            run=self._run,
            versions=dict(self._known),
            weights=(),
            clock_ms=-1 if clock is None else int(clock * 1000),
        )

    def merge(
        self,
        reply: shared_tables.Tables,
        now: float,
        arrived_at: float | None = None,
    ) -> frozenset[str]:
        """Merge the member's reply to the last report.

        Args:
            now: when the report was sent.
            arrived_at: when the reply was read, `now` if None.
        Returns: names of the tables of which the member told something new.
        """
        # Another member than the one for which the report was made has got a
        # part of the rows only, and gets all of them next time.
        complete = reply.run == self._run or not self._told
        if reply.run != self._run:
            self._run = reply.run
            self._clock = member_clock.make_member_clock()
        made_at = now
        if reply.clock_ms >= 0:
            clock = reply.clock_ms / 1000
            made_at = max(now, self._clock.earliest_time(clock))
            read_at = now if arrived_at is None else arrived_at
            self._clock.note(clock, now, read_at)
        changed = set()
        for name, table in self._tables.by_name().items():
            rows = getattr(reply, name)
            unchanged = table.version == self._telling[name]
            if rows:
                if table is self._tables.software:
                    self._tables.software.merge(rows, now, arrived_at)
                elif table is self._tables.limits:
                    self._tables.limits.merge(rows, made_at)
                else:
                    table.merge(rows, now)
                changed.add(name)
            # What the member has just told need not be told to it.
            known = table.version if unchanged else self._telling[name]
            self._told[name] = known if complete else 0
        self._known = dict(reply.versions)
        if not complete:
            self._told = {}
        if reply.clock_ms >= 0 and not self._tells_time:
            self._told["limits"] = 0
        return frozenset(changed)


def _changes(table: Table, known_version: int, now: float) -> tuple:
    if table.version == known_version:
        return ()
    return table.encode(now, known_version)


def make_table_set() -> TableSet:
    return TableSet()


def make_table_exchange(tables: TableSet) -> TableExchange:
    return TableExchange(tables)
