"""Replicas of upstream services, as listed by the platform."""

import enum

import msgspec


class Condition(enum.Enum):
    READY = "ready"
    LEAVING = "leaving"


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """One lifetime of an upstream.

    Attributes:
        replica_id: unique for each lifetime, except when a replica restarts
            under its old id.
        born_ms: start of the lifetime, in Unix milliseconds of the upstream's
            clock, 0 when unknown. It tells lifetimes under one id apart.
        slots: calls that the replica runs concurrently.
        cold_s: time for which the replica is still slow after its start.
        weights: weight version by model.
        software: version of its software, "" when unknown. What two versions
            write of one stream does not fit together.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    condition: Condition
    cold_s: float = 0.0
    weights: dict[str, int] = {}
    software: str = ""
    born_ms: int = 0


def same_lifetime(born_ms: int, other_born_ms: int) -> bool:
    """Returns: whether two statements of an id may be of one lifetime.

    Args: starts of their lifetimes, 0 when unknown.
    """
    return not born_ms or not other_born_ms or born_ms == other_born_ms
