"""What callers, replicas and operators saw."""

import time

import msgspec


class Run(msgspec.Struct, frozen=True):
    """A replica began to work on a call."""

    at: float
    replica_id: str
    path: str
    workspace: str
    key_seen: bool
    first: int
    leaving: bool


class Runs:
    """Runs by call id, as all replicas saw them."""

    def __init__(self) -> None:
        self.by_call: dict[str, list[Run]] = {}

    def begin(self, call_id: str, *seen: object) -> None:
        run = Run(time.monotonic(), *seen)
        self.by_call.setdefault(call_id, []).append(run)


class Call(msgspec.Struct, eq=False):
    """One attempt of a caller.

    Attributes:
        gateway: process that took it.
        status: 0 when the connection ended without an answer.
        whole: the answer ended as answers do.
    """

    call_id: str
    prefix: str
    workspace: str
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    stamp: str = ""
    body: bytes = b""


class Disturbance(msgspec.Struct, frozen=True):
    """A fault or a planned stop.

    Attributes:
        target: process or replica.
        until: when it is over.
    """

    kind: str
    target: str
    at: float
    until: float


class Change(msgspec.Struct, eq=False):
    """A document that an operator sent; acked_at is 0 without an answer."""

    number: int
    with_changing: bool
    sent_at: float
    acked_at: float = 0.0


class Read(msgspec.Struct, frozen=True):
    """A document that a control member answered with."""

    sent_at: float
    member: str
    number: int


class History(msgspec.Struct):
    """All that was seen in one run."""

    runs: Runs
    calls: list[Call] = []
    disturbances: list[Disturbance] = []
    changes: list[Change] = []
    reads: list[Read] = []


def body_of(call_id: str, replica_id: str) -> bytes:
    return f"{call_id} answered by {replica_id}\n".encode() * 4


def event_of(call_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {call_id}/{number}\n\n".encode()
