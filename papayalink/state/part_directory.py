"""Which stores hold which prompt parts, according to their events."""

from collections import deque
from collections.abc import Iterable

import msgspec

# Changes kept for readers. At 3,400 new parts per second, the design load, a
# reader may lag a few seconds before it has to get the whole directory again.
MAX_CHANGES = 20_000


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A part became complete at a store, or was removed from it.

    Attributes:
        store: name of the store.
        key: salt and id, see `part_key`; "" removes all parts of the store.
        tokens: size of the part, 0 when it was removed.
    """

    store: str
    key: str
    tokens: int = 0


def part_key(salt: str, part_id: str) -> str:
    """Returns: key of a part that is cached under a salt."""
    return f"{salt}/{part_id}"


class PartDirectory:
    """Complete parts by store, and their latest changes in order."""

    __slots__ = ("_parts", "_used_tokens", "_changes", "_number")

    def __init__(self) -> None:
        self._parts: dict[str, dict[str, int]] = {}
        self._used_tokens: dict[str, int] = {}
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._number = 0

    @property
    def number(self) -> int:
        """Number of changes so far."""
        return self._number

    def apply(self, changes: Iterable[Change]) -> None:
        """Apply changes in order."""
        for change in changes:
            parts = self._parts.setdefault(change.store, {})
            if not change.key:
                parts.clear()
                self._used_tokens[change.store] = 0
            else:
                old_tokens = parts.pop(change.key, 0)
                if change.tokens:
                    parts[change.key] = change.tokens
                self._used_tokens[change.store] = (
                    self._used_tokens.get(change.store, 0)
                    + change.tokens
                    - old_tokens
                )
            self._changes.append(change)
            self._number += 1

    def clear(self) -> None:
        """Remove all parts; the numbering of changes continues."""
        self._parts.clear()
        self._used_tokens.clear()

    def changes_since(self, number: int) -> list[Change] | None:
        """Returns: changes after a number, None when not all are kept."""
        missing = self._number - number
        if missing < 0 or missing > len(self._changes):
            return None
        return [self._changes[index] for index in range(-missing, 0)]

    def full_changes(self) -> list[Change]:
        """Returns: changes that build up the whole directory from nothing."""
        changes = []
        for store, parts in self._parts.items():
            changes.append(Change(store, ""))
            changes.extend(
                Change(store, key, tokens) for key, tokens in parts.items()
            )
        return changes

    def tokens(self, store: str, key: str) -> int:
        """Returns: size of a part at a store, 0 when there is none."""
        parts = self._parts.get(store)
        return parts.get(key, 0) if parts else 0

    def used_tokens(self, store: str) -> int:
        """Returns: total tokens of the complete parts at a store."""
        return self._used_tokens.get(store, 0)

    def holders(self, key: str) -> list[str]:
        """Returns: stores that hold the complete part."""
        return [store for store, parts in self._parts.items() if key in parts]


def make_part_directory() -> PartDirectory:
    return PartDirectory()
