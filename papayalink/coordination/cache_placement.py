"""Choice of the stores that prompt parts are fetched from and saved to."""

from collections.abc import Iterable
from collections.abc import Sequence
import hashlib

import msgspec

from papayalink.protocol import calls
from papayalink.state import part_directory
from papayalink.state import traffic

# Largest part that a store takes, as a share of its capacity: a few larger
# parts would fill it before any of them is fetched again.
MAX_PART_SHARE = 1 / 75
# Largest part that the largest stores take if it is too large for all of them
# otherwise. A long part that is in no store is prefilled again for each prompt
# of its session.
MAX_LONG_PART_SHARE = 1 / 16
# Share of its capacity up to which a store gets new parts. The rest is left
# for parts that are being written and are not reported yet.
MAX_FILL_SHARE = 0.9
# Shorter parts are computed in less time than a transfer takes to start.
MIN_SAVED_TOKENS = 64
# A save that is not reported within this time counts as lost.
PENDING_SAVE_TIMEOUT_S = 5.0
MAX_PENDING_SAVES = 5_000


class Plan(msgspec.Struct, frozen=True):
    """Store addresses for the parts of a prompt.

    Attributes:
        fetch_addresses: for each part the address to fetch it from, "" for
            none.
        save_addresses: for each part the address to save it to, "" for none.
        fetched_tokens: number of tokens in the parts to fetch.
    """

    fetch_addresses: tuple[str, ...] = ()
    save_addresses: tuple[str, ...] = ()
    fetched_tokens: int = 0


class CachePlacement:
    """Chooses stores for the prompts of one gateway.

    Args:
        zone: zone of the gateway.
        directory: parts that each store holds; its owner keeps it up to date.
    """

    __slots__ = ("_zone", "_directory", "_stores", "_pending_until")

    def __init__(
        self, zone: str, directory: part_directory.PartDirectory
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._stores: dict[str, traffic.CacheStore] = {}
        self._pending_until: dict[str, float] = {}

    def set_stores(self, stores: Iterable[traffic.CacheStore]) -> None:
        """Replace the stores by those of a newer document."""
        self._stores = {store.name: store for store in stores}

    def fetched_tokens(self, salt: str, parts: Sequence[calls.Part]) -> int:
        """Returns: number of tokens of the prompt that stores hold.

        A part that follows one that no store holds counts as well: parts
        that many prompts start with stay in the replicas' own memory, and
        replicas save only parts that they had to compute.
        """
        held = 0
        for part in parts[:-1]:
            key = part_directory.part_key(salt, part.part_id)
            if self._fastest_holder(key, part, self._zone):
                held += part.tokens
        return held

    def plan(
        self,
        salt: str,
        parts: Sequence[calls.Part],
        zone: str,
        now: float,
    ) -> Plan:
        """Plan the fetches and saves of one call.

        The planned saves count as pending from now on. The last part is
        specific to the call and is not kept.

        Args:
            zone: zone of the replica.
        """
        if not self._stores or len(parts) < 2:
            return Plan()
        fetch_addresses = []
        save_addresses = []
        fetched_tokens = 0
        for part in parts[:-1]:
            key = part_directory.part_key(salt, part.part_id)
            holder = self._fastest_holder(key, part, zone)
            if holder is not None:
                fetch_addresses.append(holder.address)
                save_addresses.append("")
                fetched_tokens += part.tokens
            else:
                fetch_addresses.append("")
                save_addresses.append(
                    self._choose_save_address(key, part, zone, now)
                )
        return Plan(
            (*fetch_addresses, ""), (*save_addresses, ""), fetched_tokens
        )

    def _fastest_holder(
        self, key: str, part: calls.Part, zone: str
    ) -> traffic.CacheStore | None:
        """Returns: the store that delivers the whole part first."""
        holders = [
            self._stores[name]
            for name in self._directory.holders(key)
            if name in self._stores
            and self._directory.tokens(name, key) >= part.tokens
        ]
        if not holders:
            return None
        return min(holders, key=lambda each: _transfer_s(each, part, zone))

    def _choose_save_address(
        self, key: str, part: calls.Part, zone: str, now: float
    ) -> str:
        if part.tokens < MIN_SAVED_TOKENS:
            return ""
        if self._pending_until.get(key, 0.0) > now:
            return ""
        max_tokens = self._max_part_tokens(part)
        stores = [
            store
            for store in self._stores.values()
            if part.tokens <= max_tokens[store.name]
            and self._directory.used_tokens(store.name) + part.tokens
            < store.capacity_tokens * MAX_FILL_SHARE
        ]
        if not stores:
            return ""
        # Of the fastest stores with room, rendezvous hashing gives the same
        # one at all gateways.
        min_first_ms = min(store.first_ms for store in stores)
        fastest = [store for store in stores if store.first_ms == min_first_ms]
        store = max(fastest, key=lambda each: _rendezvous_weight(each, key))
        self._pending_until.pop(key, None)
        self._pending_until[key] = now + PENDING_SAVE_TIMEOUT_S
        while len(self._pending_until) > MAX_PENDING_SAVES:
            del self._pending_until[next(iter(self._pending_until))]
        return store.address

    def _max_part_tokens(self, part: calls.Part) -> dict[str, float]:
        """Returns: size of the largest part that each store takes."""
        capacity = max(
            store.capacity_tokens for store in self._stores.values()
        )
        long = part.tokens > capacity * MAX_PART_SHARE
        return {
            store.name: store.capacity_tokens
            * (
                MAX_LONG_PART_SHARE
                if long and store.capacity_tokens == capacity
                else MAX_PART_SHARE
            )
            for store in self._stores.values()
        }


def _transfer_s(
    store: traffic.CacheStore, part: calls.Part, zone: str
) -> float:
    """Returns: estimated transfer time, doubled for another zone."""
    megabits = part.tokens * _MEGABITS_PER_TOKEN
    seconds = store.first_ms / 1000 + megabits / max(1.0, store.link_mbps)
    return seconds if store.zone == zone else 2 * seconds


# Size of a token's cache entries, of the right order of magnitude for all
# models. Only the order of the stores depends on it.
_MEGABITS_PER_TOKEN = 0.15


def _rendezvous_weight(store: traffic.CacheStore, key: str) -> bytes:
    return hashlib.blake2b(
        f"{store.name}/{key}".encode(), digest_size=8
    ).digest()


def make_cache_placement(
    zone: str, directory: part_directory.PartDirectory
) -> CachePlacement:
    return CachePlacement(zone, directory)
