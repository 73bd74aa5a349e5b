"""Which stores keep the pieces of a prompt."""

from collections.abc import Iterable
import hashlib

from papayalink.state import document as documents


def owners(
    family: str, stores: Iterable[documents.Store], count: int = 2
) -> list[documents.Store]:
    """Choose stores by rendezvous hashing.

    All pieces of a prompt have one family, so one lookup finds them, and a
    store that comes or goes moves only its own share.

    Args:
        family: digest of the prompt's first piece.
        count: most to return.
    Returns: stores, best first, in different availability zones as far as
        there are as many.
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
    spare = [store for store in ranked if store not in chosen]
    return chosen + spare[: count - len(chosen)]


def _score(family: str, store: str) -> bytes:
    return hashlib.blake2b(f"{family}\0{store}".encode()).digest()
