"""Choice of the stores that keep the pieces of a prompt."""

from collections.abc import Iterable
import hashlib

from papayalink.state import document as documents


def owners(
    family: str, stores: Iterable[documents.Store], count: int = 2
) -> list[documents.Store]:
    """Choose stores by rendezvous hashing.

    All pieces of a prompt belong to one family, so that one lookup finds them.
    A store that is added or removed moves only its own share of the pieces.

    Args:
        family: digest of the prompt's first piece.
        count: maximum number of stores.
    Returns: the store with the highest score of each zone, up to `count`; if
        there are fewer zones, further stores follow. Both groups are ordered
        by score, highest first.
    """
    ranked = sorted(
        stores, key=lambda store: _score(family, store.name), reverse=True
    )
    chosen: list[documents.Store] = []
    zones: set[str] = set()
    for store in ranked:
        if len(chosen) < count and store.zone not in zones:
            chosen.append(store)
            zones.add(store.zone)
    others = [store for store in ranked if store not in chosen]
    return chosen + others[: count - len(chosen)]


def _score(family: str, store: str) -> bytes:
    return hashlib.blake2b(f"{family}\0{store}".encode()).digest()
