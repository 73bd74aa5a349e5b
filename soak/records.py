"""Observations of callers, replicas and operators."""

import hashlib
import time

import msgspec


class Execution(msgspec.Struct, frozen=True):
    """Execution of a call by a replica, recorded when it begins.

    Attributes:
        key_passed_on: whether the replica got an Authorization header.
        last_event_id: number of the event after which a stream continues.
        leaving: whether the replica was leaving.
        weights: version of the replica's weights, 0 without a model.
        body: digest of the body, "" for a replica that answers before it has
            read it.
    """

    began_at: float
    replica_id: str
    path: str
    workspace: str
    key_passed_on: bool
    last_event_id: int
    leaving: bool
    weights: int = 0
    body: str = ""


class CallArrival(msgspec.Struct, frozen=True):
    """A call has reached a replica, which may execute or reject it.

    Attributes:
        left_s: seconds that the replica is given, infinite without a deadline.
    """

    at: float
    replica_id: str
    left_s: float


class Executions:
    """Executions and arrivals by call id, as the replicas recorded them.

    Attributes:
        finished: when a replica wrote the last event of a stream, or saw that
            nobody reads it any more.
        stopped: when replicas stopped a run at the time they were given.
    """

    def __init__(self) -> None:
        self.by_call: dict[str, list[Execution]] = {}
        self.finished: dict[str, float] = {}
        self.stopped: dict[str, list[float]] = {}
        self.arrivals: dict[str, list[CallArrival]] = {}

    def note_arrival(
        self, call_id: str, replica_id: str, deadline_ms: str
    ) -> None:
        left_s = float(deadline_ms) / 1000 if deadline_ms else float("inf")
        arrival = CallArrival(time.monotonic(), replica_id, left_s)
        self.arrivals.setdefault(call_id, []).append(arrival)

    def note_stopped(self, call_id: str) -> None:
        self.stopped.setdefault(call_id, []).append(time.monotonic())

    def record(self, call_id: str, *observed: object) -> None:
        execution = Execution(time.monotonic(), *observed)
        self.by_call.setdefault(call_id, []).append(execution)


class Exchange(msgspec.Struct, eq=False, kw_only=True):
    """A request and its answer, as their sender observed them.

    Attributes:
        begun_at: when its first byte was written, from which on its time runs;
            0 for the same time as `written_at`.
        written_at: when the whole request had been written to a connection,
            0 if it never was.
        stale: whether it was sent on a connection that had been closed.
        status: 0 when the connection ended without the head of an answer.
        complete: whether the answer ended cleanly.
        server_stamp: proof of origin: replica id, a dot and the call id.
    """

    begun_at: float = 0.0
    written_at: float = 0.0
    ended_at: float = 0.0
    stale: bool = False
    status: int = 0
    complete: bool = False
    server_stamp: str = ""
    body: bytes = b""


class OperatorCall(Exchange):
    """A request of an operator to a member.

    Attributes:
        timeout_s: seconds for which the operator waits.
    """

    member: str
    method: str
    sent_at: float
    timeout_s: float


class Call(Exchange):
    """One call and its answer, as the caller observed it.

    Attributes:
        path_prefix: path prefix of the route, which tells the kind of call.
        gateway: name of the gateway that the call was sent to.
        deadline_s: seconds that the caller gives the call.
        sent_body: digest of the body that the caller sent.
        cause: part of its prompt, or request, that ends replicas, "" for a
            sound call.
        resumes: first call of the stream that this call takes up, "" if none.
        last_event: number of the event after which it does.
    """

    call_id: str
    path_prefix: str
    workspace: str
    gateway: str
    sent_at: float
    deadline_s: float = 3.0
    sent_body: str = ""
    cause: str = ""
    resumes: str = ""
    last_event: int = 0


class Disturbance(msgspec.Struct, eq=False):
    """A fault or a planned stop.

    Attributes:
        target: name of a process, or id of a replica.
        ended_at: infinite until the disturbance has ended.
    """

    kind: str
    target: str
    began_at: float
    ended_at: float = float("inf")


class Change(msgspec.Struct, eq=False):
    """A document that an operator sent.

    Attributes:
        has_optional_route: whether the document has the optional route.
        accepted_at: 0 unless the document was accepted.
    """

    number: int
    has_optional_route: bool
    sent_at: float
    accepted_at: float = 0.0


class Read(msgspec.Struct, frozen=True):
    """Number of the document that a control member returned."""

    sent_at: float
    member: str
    number: int


class Arrival(msgspec.Struct, frozen=True):
    """A call that ends replicas has reached one.

    Attributes:
        cause: the part of its prompt, or the request, that ends replicas.
    """

    cause: str
    call_id: str
    at: float


class ServingPeriod(msgspec.Struct, eq=False):
    """Time in which a replica serves with one software version.

    Attributes:
        until: when it ended or began to leave, infinite until then.
    """

    replica_id: str
    software: str
    since: float
    until: float = float("inf")


class Refusal(msgspec.Struct, frozen=True):
    """A replica turned a call away and named a delay."""

    replica_id: str
    call_id: str
    at: float
    delay_s: float


class Rejection(msgspec.Struct, frozen=True):
    """A gateway has logged that it answered a call with 503.

    Attributes:
        since_start_s: seconds since this process of the gateway started.
    """

    call_id: str
    gateway: str
    reason: str
    since_start_s: float


class Naming(msgspec.Struct, eq=False):
    """A weight version that an operator named.

    Attributes:
        accepted_at: 0 unless it was accepted.
    """

    version: int
    sent_at: float
    accepted_at: float = 0.0


class NamedLimit(msgspec.Struct):
    """A replica names a limit of calls a second.

    Attributes:
        until: infinite until it names none any more.
    """

    replica_id: str
    limit_per_s: float
    since: float
    until: float = float("inf")


class History(msgspec.Struct):
    """All observations of one run.

    Attributes:
        crashing_part: part of prompts that ends replicas now, "" for none.
        crashing_request: last segment of the path of the one request that
            ends replicas now, "" for none.
        arrivals: calls with such a part, and repetitions of such requests.
        crashes: parts and requests that have ended replicas, and when.
        serving_periods: times in which replicas served.
        operator_calls: requests of operators to members.
        rejections: calls that gateways answered with 503, of rolls only.
        model: model that streams name, "" for none.
        namings: weight versions that operators named.
        take_up_at: gateway at which callers take up broken streams, "" for
            any.
        long_share: share of the calls of unequal length that run for long.
        counts: number of faults and planned work by kind.
    """

    executions: Executions
    calls: list[Call] = []
    disturbances: list[Disturbance] = []
    changes: list[Change] = []
    reads: list[Read] = []
    crashing_part: str = ""
    crashing_request: str = ""
    arrivals: list[Arrival] = []
    crashes: list[tuple[str, float]] = []
    serving_periods: list[ServingPeriod] = []
    operator_calls: list[OperatorCall] = []
    limits: list[NamedLimit] = []
    refusals: list[Refusal] = []
    rejections: list[Rejection] = []
    model: str = ""
    namings: list[Naming] = []
    take_up_at: str = ""
    long_share: float = 0.0
    counts: dict[str, int] = {}

    def begin(self, kind: str, target: str) -> Disturbance:
        """Returns: a disturbance that lasts until `ended_at` is set."""
        self.count(kind)
        disturbance = Disturbance(kind, target, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1


def make_body(call_id: str, replica_id: str) -> bytes:
    return f"{call_id} answered by {replica_id}\n".encode() * 4


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def make_event(call_id: str, number: int, software: str = "v1") -> bytes:
    """Returns: an event of a stream, which tells who wrote it."""
    return f"id: {number}\ndata: {call_id}/{number}/{software}\n\n".encode()


def versions_of(body: bytes) -> set[str]:
    """Returns: software versions that wrote the whole events of a stream."""
    return {
        event.rpartition(b"/")[2].decode()
        for event in body.split(b"\n\n")[:-1]
    }
