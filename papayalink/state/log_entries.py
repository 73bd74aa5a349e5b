"""Structs of the replicated log in its stored form."""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """Type of an entry's content."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the replicated log; indexes start at 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Raft's term and vote, which must be durable before a vote is sent."""

    term: int = 0
    vote: str | None = None


class StoredSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot that covers the log up to and including an index."""

    index: int
    term: int
    parts: tuple[bytes, ...]


class StoredLog(msgspec.Struct):
    """Content of a log store when it is loaded.

    The entries follow the snapshot without a gap.
    """

    hard_state: HardState
    snapshot: StoredSnapshot | None
    entries: list[Entry]
