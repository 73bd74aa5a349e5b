"""Which stores hold which parts of prompts, as their events tell."""

from collections import deque
from collections.abc import Iterable

import msgspec

# Changes kept for readers; at the design size's 3,400 new parts a second, a
# reader may be a few seconds behind before it gets everything anew.
MAX_CHANGES = 20_000


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A part became complete at a store, or left it.

    Attributes:
        store: name of the store.
        key: salt and id, see `part_key`; "" for all that the store held.
        tokens: size of the part, 0 when it left.
    """

    store: str
    key: str
    tokens: int = 0


def part_key(salt: str, part_id: str) -> str:
    """Returns: key of a part that was cached under a salt."""
    return f"{salt}/{part_id}"


class PartDirectory:
    """Parts that are complete, by store, and the order of their changes."""

    __slots__ = ("_held", "_used", "_changes", "_number")

    def __init__(self) -> None:
        self._held: dict[str, dict[str, int]] = {}
        self._used: dict[str, int] = {}
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._number = 0

    @property
    def number(self) -> int:
        """Changes so far."""
        return self._number

    def apply(self, changes: Iterable[Change]) -> None:
        """Take changes in their order."""
        for change in changes:
            held = self._held.setdefault(change.store, {})
            if not change.key:
                held.clear()
                self._used[change.store] = 0
            else:
                before = held.pop(change.key, 0)
                if change.tokens:
                    held[change.key] = change.tokens
                self._used[change.store] = (
                    self._used.get(change.store, 0) + change.tokens - before
                )
            self._changes.append(change)
            self._number += 1

    def clear(self) -> None:
        """Forget what is held; the order of changes goes on."""
        self._held.clear()
        self._used.clear()

    def since(self, number: int) -> list[Change] | None:
        """Returns: later changes, None when they are not all kept."""
        behind = self._number - number
        if behind < 0 or behind > len(self._changes):
            return None
        return [self._changes[place] for place in range(-behind, 0)]

    def everything(self) -> list[Change]:
        """Returns: changes that make up what is held, to an empty reader."""
        changes = []
        for store, held in self._held.items():
            changes.append(Change(store, ""))
            changes.extend(
                Change(store, key, tokens) for key, tokens in held.items()
            )
        return changes

    def tokens(self, store: str, key: str) -> int:
        """Returns: size of a part at a store, 0 when it is not there."""
        held = self._held.get(store)
        return held.get(key, 0) if held else 0

    def used(self, store: str) -> int:
        """Returns: tokens that complete parts take at a store."""
        return self._used.get(store, 0)

    def holders(self, key: str) -> list[str]:
        """Returns: stores that have the part whole."""
        return [store for store, held in self._held.items() if key in held]


def make_part_directory() -> PartDirectory:
    return PartDirectory()
