"""Keeps an entry's table in step with the copy of a control member."""

from collections.abc import Iterable
from typing import Protocol


class Table(Protocol):
    """A table whose copies are merged.

    Attributes:
        version: changes with the table.
    """

    version: int

    def encode(self, now: float) -> tuple: ...

    def merge(self, reported: Iterable, now: float) -> None: ...

    def expire(self, now: float) -> None: ...


class TableExchange:
    """Reports a table to the member that is asked, and merges its copy.

    The whole table is reported after each change of either copy, so that a
    new leader learns what its predecessor knew.

    Args:
        table: this entry's copy.
    """

    __slots__ = ("_table", "_known_version", "_reporting", "_reported")

    def __init__(self, table: Table) -> None:
        self._table = table
        self._known_version = 0
        # Versions of both copies at the current and at the last exchange that
        # was answered.
        self._reporting: tuple[int, int] | None = None
        self._reported: tuple[int, int] | None = None

    @property
    def known_version(self) -> int:
        """Version of the member's copy that was merged."""
        return self._known_version

    def report(self, now: float) -> tuple:
        """Returns: the rows for the member, none if it knows them."""
        self._table.expire(now)
        self._reporting = (self._table.version, self._known_version)
        if self._reporting == self._reported:
            return ()
        return self._table.encode(now)

    def merge(self, rows: Iterable, version: int, now: float) -> bool:
        """Merge the member's reply.

        Args:
            rows: its table, which is empty if it has the known version.
        Returns: whether its version was new.
        """
        self._reported = self._reporting
        if version == self._known_version:
            return False
        self._known_version = version
        self._table.merge(rows, now)
        return True


def make_table_exchange(table: Table) -> TableExchange:
    return TableExchange(table)
