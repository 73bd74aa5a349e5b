"""Rows of the tables that entries and control members merge."""

import msgspec


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A replica that ended before it answered a prompt with a part.

    Attributes:
        begun: whether the answer had begun, without a whole event.
    """

    replica_id: str
    age_ms: int
    begun: bool


class SuspectPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts that is suspected of ending replicas.

    Attributes:
        sound_age_ms: age of the last whole answer to a prompt with the part,
            -1 for none.
        trials: prompts that were let through while the part was blocked.
        trial_age_ms: age of the last of these, -1 for none.
    """

    part: str
    crashes: tuple[Crash, ...] = ()
    sound_age_ms: int = -1
    trials: int = 0
    trial_age_ms: int = -1


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a replica said last of the requests that it takes.

    Attributes:
        limit_per_s: requests a second from all entries, -1 for no limit.
    """

    replica_id: str
    limit_per_s: float
    age_ms: int
