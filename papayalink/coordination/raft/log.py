"""In-memory Raft log of one member."""

from papayalink.coordination.raft import membership as memberships
from papayalink.state import log_entries

_MEMBERSHIP = log_entries.EntryKind.MEMBERSHIP


class RaftLog:
    """Log entries after a base index, with commit and durability indexes.

    Args:
        base_index: last index before the first entry: that of the snapshot,
            or 0.
        base_term: term of the entry at the base.
        base_membership: membership as of the base index.
        entries: stored entries after the base index.

    The membership in force is the one in the last membership entry, whether
    or not it is committed.
    """

    __slots__ = (
        "base_index",
        "base_term",
        "commit",
        "delivered",
        "submitted",
        "persisted",
        "_entries",
        "_memberships",
    )

    def __init__(
        self,
        base_index: int,
        base_term: int,
        base_membership: memberships.Membership,
        entries: list[log_entries.Entry],
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.commit = base_index
        # Last index handed to the state machine.
        self.delivered = base_index
        # Last index submitted to the log store, synced or not.
        self.submitted = base_index + len(entries)
        # Last index that the log store has synced.
        self.persisted = self.submitted
        self._entries: list[log_entries.Entry] = []
        self._memberships = [(base_index, base_membership)]
        for entry in entries:
            self._push(entry)

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> memberships.Membership:
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> memberships.Membership:
        """Returns: the membership as of an index not below the base index."""
        found = self._memberships[0][1]
        for changed_at, membership in self._memberships:
            if changed_at <= index:
                found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Returns: the term at an index, None when the log lacks it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def last_at_or_below(self, index: int, term: int) -> int:
        """Find the last entry up to an index whose term is at most `term`.

        Returns: its index, or the base index when there is none.
        """
        index = max(min(index, self.last_index), self.base_index)
        while index > self.base_index and self.term_at(index) > term:
            index -= 1
        return index

    def slice(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[log_entries.Entry, ...]:
        """Returns: entries from index first on, within the limits.

        An entry larger than max_bytes is returned alone.
        """
        start = first - self.base_index - 1
        chosen = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def add(self, entry: log_entries.Entry) -> None:
        """Append an entry."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow the log")
        self._push(entry)

    def merge(self, entries: tuple[log_entries.Entry, ...]) -> int | None:
        """Add a leader's entries and remove entries that conflict with them.

        The caller has checked that the entry before the first one matches.

        Returns: the index from which a conflicting suffix was removed, None
            when there was no conflict.
        Raises:
            ValueError: a committed entry conflicts.
        """
        truncated = None
        for entry in entries:
            if entry.index <= self.base_index:
                continue
            held_term = self.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self._truncate(entry.index)
                truncated = entry.index
            self.add(entry)
        return truncated

    def take_unwritten(self) -> list[log_entries.Entry]:
        """Returns: entries not yet submitted to the log store."""
        unwritten = self._entries[self.submitted - self.base_index :]
        self.submitted = self.last_index
        return unwritten

    def take_committed(self) -> list[log_entries.Entry]:
        """Returns: committed entries not yet handed to the machine."""
        start = self.delivered - self.base_index
        committed = self._entries[start : self.commit - self.base_index]
        self.delivered = self.commit
        return committed

    def compact(self, index: int) -> None:
        """Remove entries up to an index already handed to the machine."""
        if not self.base_index < index <= self.delivered:
            return
        term = self.term_at(index)
        membership = self.membership_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        later = [pair for pair in self._memberships if pair[0] > index]
        self._memberships = [(index, membership), *later]
        self.submitted = max(self.submitted, index)

    def reset(
        self, index: int, term: int, membership: memberships.Membership
    ) -> None:
        """Replace all entries with a snapshot."""
        self._entries.clear()
        self._memberships = [(index, membership)]
        self.base_index = index
        self.base_term = term
        self.commit = index
        self.delivered = index
        self.submitted = index

    def _push(self, entry: log_entries.Entry) -> None:
        self._entries.append(entry)
        if entry.kind == _MEMBERSHIP:
            changed = memberships.decode(entry.data)
            self._memberships.append((entry.index, changed))

    def _truncate(self, index: int) -> None:
        if index <= self.commit:
            raise ValueError(f"committed entry {index} conflicts")
        del self._entries[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()
        self.submitted = min(self.submitted, index - 1)
        self.persisted = min(self.persisted, index - 1)
