"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base of all errors of the coordination layer."""


class NotLeader(CoordinationError):
    """The proposal was not run, since this member does not lead.

    Args:
        leader_id: member that leads, None when it is not known.
    """

    def __init__(self, leader_id: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader_id}")
        self.leader_id = leader_id


class Unavailable(CoordinationError):
    """The request was not run; it may be repeated."""


class Unknown(CoordinationError):
    """The proposal was appended, and its outcome is not known."""


class ChangeRefused(CoordinationError):
    """The membership change is not valid now; nothing was appended."""


class StorageFailed(CoordinationError):
    """The log store failed, and the replica has stopped."""

    """Base of all errors of the coordination layer."""


class InvalidRanks(CoordinationError):
    """The rank records contradict each other."""


class UnknownRank(CoordinationError):
    """An item names a rank that the queue does not have."""


class DuplicateRequest(CoordinationError):
    """A request id is already queued or running."""


class ControlUnavailable(CoordinationError):
    """No control member took the command; it will not be carried out."""


class OutcomeUnknown(CoordinationError):
    """The command may or may not be carried out."""


class NoUpstream(CoordinationError):
    """No upstream took the request; it was not run.

    Args:
        reason: why the last one did not take it.
        retry_after_s: seconds after which a repeat may be admitted.
    """

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class AnswerCut(CoordinationError):
    """An answer stopped before its end."""


class UpstreamRejected(CoordinationError):
    """The upstream does not accept the request.

    Args:
        status: HTTP status of its answer.
        body: its answer.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"upstream answered {status}")
        self.status = status
        self.body = body


class AgentNotReached(NoUpstream):
    """No connection to the agent was made; the request was not run."""
