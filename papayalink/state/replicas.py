"""Replicas of upstream services, as listed by the platform."""

import enum

import msgspec


class Condition(enum.Enum):
    READY = "ready"
    LEAVING = "leaving"


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an upstream.

    Attributes:
        replica_id: unique for each incarnation, except when a replica
            restarts under its old id.
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
