"""Replicas of upstream services as a list of the platform shows them."""

import enum

import msgspec


class Condition(enum.Enum):
    READY = "ready"
    LEAVING = "leaving"


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an upstream.

    Attributes:
        replica_id: differs between incarnations, but for a replica that
            starts again under its old id.
        slots: calls that it runs at once.
        cold_s: how much longer it stays slow after its start.
        weights: weight version by model.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    condition: Condition
    cold_s: float = 0.0
    weights: dict[str, int] = {}
