"""Rows of the tables that entries and control members merge."""

import msgspec


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A replica that ended before it answered a call.

    Attributes:
        begun: whether the answer had begun, without a whole event.
        number: counts the ends of the replica.
        born_ms: start of the lifetime that ended, 0 when unknown.
    """

    replica_id: str
    age_ms: int
    begun: bool
    number: int = 1
    born_ms: int = 0


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts, or a request, that is suspected of ending replicas.

    Attributes:
        key: see `coordination.call_keys`.
        sound_age_ms: age of the last whole answer to a call with the key, -1
            for none.
        trials: calls that were let through while the key was blocked.
        trial_age_ms: age of the last of these, -1 for none.
        refused_age_ms: age of a late refusal of a call with the key, -1 for
            none.
    """

    key: str
    crashes: tuple[Crash, ...] = ()
    sound_age_ms: int = -1
    trials: int = 0
    trial_age_ms: int = -1
    refused_age_ms: int = -1


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a replica said last of the requests that it takes.

    Attributes:
        limit_per_s: requests a second from all entries, -1 for no limit.
        age_ms: time since it said so.
        born_ms: start of the lifetime that said so, 0 when unknown.
        slack_ms: time by which the age may be larger.
    """

    replica_id: str
    limit_per_s: float
    age_ms: int
    born_ms: int = 0
    slack_ms: int = 0


class LeavingReplica(msgspec.Struct, frozen=True, array_like=True):
    """A replica that has said that it leaves.

    Attributes:
        age_ms: time since it said so last, or nearly so.
        born_ms: start of the lifetime that said so, 0 when unknown.
    """

    replica_id: str
    age_ms: int
    born_ms: int = 0


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Where the newest part of a stream was written.

    Attributes:
        stream: id of the call that brought its first event.
        age_ms: time since that part began.
    """

    stream: str
    service: str
    software: str
    age_ms: int


class SoftwareSpan(msgspec.Struct, frozen=True, array_like=True):
    """Time in which replicas of a service had a software version.

    Without a service and a version, the time in which that was recorded.
    """

    service: str
    software: str
    since_age_ms: int
    until_age_ms: int


class NewestWeights(msgspec.Struct, frozen=True, array_like=True):
    """A weight version that was the newest of its model.

    Attributes:
        version: 0 for the time before the first one was named.
        age_ms: time for which it may have been replaced at most.
    """

    model: str
    version: int
    age_ms: int


class Tables(msgspec.Struct, frozen=True, array_like=True):
    """Changed rows of the tables of one process.

    Attributes:
        run: from a member, its run; to a member, the run that `versions` refer
            to, "" for none.
        versions: by table, the version of the member's copy that these rows
            lead to, or that the caller has.
        clock_ms: from a member, its clock when it replied; to a member, the
            earliest reading of that clock when the report was made; -1 when
            unknown.
    """

    run: str = ""
    versions: dict[str, int] = {}
    suspects: tuple[Suspect, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    origins: tuple[StreamOrigin, ...] = ()
    software: tuple[SoftwareSpan, ...] = ()
    leaving: tuple[LeavingReplica, ...] = ()
    weights: tuple[NewestWeights, ...] = ()
    clock_ms: int = -1
