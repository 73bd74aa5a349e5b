"""Structs of the replicated log as it is stored."""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """What an entry holds."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the replicated log; the first index is 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that must be durable before a vote is sent."""

    term: int = 0
    vote: str | None = None


class StoredSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Snapshot that covers the log up to and including an index."""

    index: int
    term: int
    parts: tuple[bytes, ...]


class StoredLog(msgspec.Struct):
    """What a log store holds when it is loaded.

    The entries follow the snapshot without a gap.
    """

    hard_state: HardState
    snapshot: StoredSnapshot | None
    entries: list[Entry]
