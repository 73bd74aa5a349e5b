"""What the logs and the metrics tell of one call."""

import time

from papayalink.coordination import call_keys
from papayalink.coordination import fleet_member
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import shared as shared_parts
from papayalink.state import traffic


class CallRecord:
    """Collects what became of a call, and writes it once it has ended.

    Attributes:
        tried: replicas to which the call was assigned.
        turned_away: those of them that have refused it since it left a silent
            one, and may take it later.
        expected_s: predicted time to the first token, 0 for a plain call.
        first_s: time to the head of the answer, None before it.
        stopped_at: replica that stopped the call at the time that it was
            given, "" without one.
    """

    __slots__ = (
        "tried",
        "turned_away",
        "expected_s",
        "first_s",
        "stopped_at",
        "_shared",
        "_call",
        "_keys",
        "_route",
        "_workspace",
        "_received_at",
        "_software",
        "_weights",
        "_outdated_s",
        "_given_ms",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        call: calls.Call,
        keys: call_keys.CallKeys,
        route: traffic.Route,
        workspace: traffic.Workspace | None,
        received_at: float,
    ) -> None:
        self._shared = shared
        self._call = call
        self._keys = keys
        self._route = route
        self._workspace = workspace
        self._received_at = received_at
        self.tried: list[str] = []
        self.turned_away: set[str] = set()
        self._software: list[str] = []
        self._weights: list[int] = []
        self._outdated_s = 0.0
        # Time that the replica of the last attempt was given.
        self._given_ms = 0
        self.expected_s = 0.0
        self.first_s: float | None = None
        self.stopped_at = ""

    @property
    def excluded(self) -> list[str]:
        """Replicas to which the call is not sent, whatever it waits for.

        One that stopped it at the time that it was given is sound, and the
        call may need more time only.
        """
        return [
            each
            for each in self.tried
            if each != self.stopped_at and each not in self.turned_away
        ]

    @property
    def call_id(self) -> str:
        return self._call.call_id

    def note_choice(
        self, member: fleet_member.Member, expected_s: float
    ) -> None:
        """Record that the call is assigned to a replica."""
        self.tried.append(member.replica.replica_id)
        self._software.append(member.replica.software)
        self._weights.append(member.weights.get(self._call.model, 0))
        self._outdated_s = 0.0
        self._given_ms = 0
        self.expected_s = expected_s

    def withdraw_choice(self) -> None:
        """Record that the call was not sent to the last chosen replica."""
        self.tried.pop()
        self._software.pop()
        self._weights.pop()

    def note_sending(self, given_ms: int) -> None:
        """Record what the call is sent with, and how old its weights are.

        Args:
            given_ms: time that the replica is given.
        """
        self._given_ms = given_ms
        self._outdated_s = self._shared.fleet.outdated_s(
            self._call.model, self._weights[-1], time.monotonic()
        )
        if self._outdated_s:
            self._shared.metrics.observe("outdated_weights", self._outdated_s)

    def log_attempt(
        self, member: fleet_member.Member, result: attempt.Unanswered
    ) -> None:
        """Log an attempt without an answer for the caller."""
        outcome = result.outcome
        self._shared.metrics.count(
            "attempts", outcome=type(outcome).__name__.lower()
        )
        self._shared.log.failed(
            "attempt_failed",
            call=self._call.call_id,
            replica=member.replica.replica_id,
            address=member.replica.address,
            software=member.replica.software,
            weights=self._weights[-1],
            outdated_ms=int(self._outdated_s * 1000),
            outcome=repr(outcome),
            progress=result.progress.value,
            given_ms=self._given_ms,
            parts=self._part_ids(),
            request=self._keys.request,
            failures=round(member.failures, 2),
            in_flight=member.in_flight,
            attempt=len(self.tried),
        )

    def write(
        self,
        outcome: str,
        status: int,
        reason: str,
        service: str,
        stream: attempt.StreamState | None,
        left_s: float,
        sent: int,
    ) -> None:
        """Log the end of the call.

        Args:
            outcome: "answered", or why there was no answer.
            stream: state of an event stream, None for any other answer.
            left_s: seconds left until the call's deadline.
            sent: number of replicas that the call was sent to.
        """
        shared = self._shared
        took_s = time.monotonic() - self._received_at
        shared.metrics.count("calls", outcome=outcome)
        shared.metrics.observe("call", took_s, route=self._route.name)
        if self.first_s is not None:
            shared.metrics.observe(
                "first_answer", self.first_s, route=self._route.name
            )
        fields = {
            "call": self._call.call_id,
            "route": self._route.name,
            "service": service,
            "workspace": self._workspace.name if self._workspace else "",
            "status": status,
            "replicas": ",".join(self.tried),
            "took_ms": int(took_s * 1000),
            "expected_ms": int(self.expected_s * 1000),
            "first_ms": int((self.first_s or 0.0) * 1000),
            "document": shared.watcher.number,
        }
        if self._call.model:
            fields["weights"] = ",".join(map(str, self._weights))
            fields["outdated_ms"] = int(self._outdated_s * 1000)
        if stream is not None:
            shared.metrics.observe(
                "longest_gap", stream.longest_gap_s, route=self._route.name
            )
            fields["longest_gap_ms"] = int(stream.longest_gap_s * 1000)
            fields["software"] = ",".join(self._software)
            fields["resumes"] = self._call.resumes
            fields["last_event"] = stream.last_event_id
        if outcome == "answered":
            shared.log.passed("call_answered", **fields)
            return
        shared.log.failed(
            "call_not_answered",
            outcome=outcome,
            reason=reason,
            left_ms=int(left_s * 1000),
            sent=sent,
            parts=self._part_ids(),
            request=self._keys.request,
            **fields,
        )

    def _part_ids(self) -> str:
        return ",".join(part.part_id for part in self._call.parts)


def make_call_record(
    shared: shared_parts.Shared,
    call: calls.Call,
    keys: call_keys.CallKeys,
    route: traffic.Route,
    workspace: traffic.Workspace | None,
    received_at: float,
) -> CallRecord:
    return CallRecord(shared, call, keys, route, workspace, received_at)
