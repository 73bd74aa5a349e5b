"""Which members make up a new group."""

from collections.abc import Mapping

import msgspec


class Seed(msgspec.Struct, frozen=True):
    """What a seed said of itself.

    Args:
        durable: it has a disk.
        first: first process with a disk that asked it, "" for none.
    """

    durable: bool
    first: str = ""


def choose_founders(seeds: Mapping[str, Seed]) -> tuple[str, ...]:
    """Choose the first voters of a deployment that starts.

    All processes have the same seeds then, and whether a seed has a disk
    never changes, so all of them come to the same result. Without a seed
    that has a disk, the first seed by name tells who asked it first.

    Args:
        seeds: all seeds by name.
    Returns: names of the founders, in order; none when it is too early.
    """
    durable = tuple(
        sorted(name for name, seed in seeds.items() if seed.durable)
    )
    if durable or not seeds:
        return durable
    first = seeds[min(seeds)].first
    return (first,) if first else ()
