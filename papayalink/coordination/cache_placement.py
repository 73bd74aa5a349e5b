"""Where parts of prompts are fetched from and saved to."""

from collections.abc import Iterable
from collections.abc import Sequence
import hashlib

import msgspec

from papayalink.protocol import calls
from papayalink.state import part_directory
from papayalink.state import traffic

# A store takes parts of this share of its room at most: fewer larger parts
# would fill it before any of them returns. Sessions of the users' largest
# prompts, 13,300 tokens, have a place in their large stores.
LARGEST_SHARE = 1 / 75
# Room left for parts that are being written and are not reported yet.
FULL_SHARE = 0.9
# Shorter parts are read faster than a transfer begins.
LEAST_TOKENS = 64
# A save that was not reported by then is taken for lost.
PENDING_S = 5.0
MAX_PENDING = 5_000


class Plan(msgspec.Struct, frozen=True):
    """Store address for each part of a prompt, "" for none.

    Attributes:
        fetched: tokens of the prompt that stores hold.
    """

    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()
    fetched: int = 0


class CachePlacement:
    """Chooses stores for the prompts of one entry.

    Args:
        zone: zone of this entry.
        directory: what stores hold; kept up to date by its owner.
    """

    __slots__ = ("_zone", "_directory", "_stores", "_pending")

    def __init__(
        self, zone: str, directory: part_directory.PartDirectory
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._stores: dict[str, traffic.CacheStore] = {}
        self._pending: dict[str, float] = {}

    def set_stores(self, stores: Iterable[traffic.CacheStore]) -> None:
        """Take the stores of a newer document."""
        self._stores = {store.name: store for store in stores}

    def fetched_tokens(self, salt: str, parts: Sequence[calls.Part]) -> int:
        """Returns: tokens of the prompt that stores hold.

        A part behind one that no store holds counts as well: parts that
        many prompts begin with stay in the replicas' own memory, and are
        not saved when they need not be read.
        """
        held = 0
        for part in parts[:-1]:
            key = part_directory.part_key(salt, part.part_id)
            if self._holder(key, part, self._zone):
                held += part.tokens
        return held

    def plan(
        self,
        salt: str,
        parts: Sequence[calls.Part],
        zone: str,
        now: float,
    ) -> Plan:
        """Plan one call; what it saves counts as on its way from now.

        The last part belongs to the call alone and is not kept.

        Args:
            zone: zone of the replica.
        """
        if not self._stores or len(parts) < 2:
            return Plan()
        fetch = []
        save = []
        fetched = 0
        for part in parts[:-1]:
            key = part_directory.part_key(salt, part.part_id)
            holder = self._holder(key, part, zone)
            if holder is not None:
                fetch.append(holder.address)
                save.append("")
                fetched += part.tokens
            else:
                fetch.append("")
                save.append(self._save_to(key, part, zone, now))
        return Plan((*fetch, ""), (*save, ""), fetched)

    def _holder(
        self, key: str, part: calls.Part, zone: str
    ) -> traffic.CacheStore | None:
        """Returns: the store with the whole part that gives it soonest."""
        holders = [
            self._stores[name]
            for name in self._directory.holders(key)
            if name in self._stores
            and self._directory.tokens(name, key) >= part.tokens
        ]
        if not holders:
            return None
        return min(holders, key=lambda each: _seconds(each, part, zone))

    def _save_to(
        self, key: str, part: calls.Part, zone: str, now: float
    ) -> str:
        if part.tokens < LEAST_TOKENS:
            return ""
        if self._pending.get(key, 0.0) > now:
            return ""
        stores = [
            store
            for store in self._stores.values()
            if part.tokens <= store.capacity_tokens * LARGEST_SHARE
            and self._directory.used(store.name) + part.tokens
            < store.capacity_tokens * FULL_SHARE
        ]
        if not stores:
            return ""
        # The fastest kind of store with room, and of that kind the same one
        # for all entries.
        first_ms = min(store.first_ms for store in stores)
        kind = [store for store in stores if store.first_ms == first_ms]
        store = max(kind, key=lambda each: _rank(each, key))
        self._pending.pop(key, None)
        self._pending[key] = now + PENDING_S
        while len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        return store.address


def _seconds(store: traffic.CacheStore, part: calls.Part, zone: str) -> float:
    """Returns: about how long a transfer takes; twice in another zone."""
    megabits = part.tokens * _TOKEN_MEGABITS
    seconds = store.first_ms / 1000 + megabits / max(1.0, store.link_mbps)
    return seconds if store.zone == zone else 2 * seconds


# Only the order of stores depends on it; tokens of all models have a size of
# this order.
_TOKEN_MEGABITS = 0.15


def _rank(store: traffic.CacheStore, key: str) -> bytes:
    return hashlib.blake2b(
        f"{store.name}/{key}".encode(), digest_size=8
    ).digest()


def make_cache_placement(
    zone: str, directory: part_directory.PartDirectory
) -> CachePlacement:
    return CachePlacement(zone, directory)
