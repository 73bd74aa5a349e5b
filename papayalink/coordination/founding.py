"""Chooses the first voters of a new group."""

from collections.abc import Mapping

import msgspec


class Seed(msgspec.Struct, frozen=True):
    """Description that a seed process gives of itself.

    Args:
        durable: whether the seed has a disk.
        first: name of the first process with a disk that asked the seed, ""
            for none.
    """

    durable: bool
    first: str = ""


def choose_founders(seeds: Mapping[str, Seed]) -> tuple[str, ...]:
    """Choose the first voters of a deployment that starts.

    At the first start all processes have the same seeds, and whether a seed
    has a disk never changes, so all processes choose the same voters: the
    seeds that have a disk. If no seed has a disk, the choice is the process
    that asked the first seed by name before any other process with a disk.

    Args:
        seeds: descriptions of all seeds, by name.
    Returns: sorted names of the first voters, empty while they are unknown.
    """
    durable = tuple(
        sorted(name for name, seed in seeds.items() if seed.durable)
    )
    if durable or not seeds:
        return durable
    first = seeds[min(seeds)].first
    return (first,) if first else ()
