"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base of all errors of the coordination layer."""


class NotLeader(CoordinationError):
    """The proposal was not run because this member is not the leader.

    Args:
        leader_id: member id of the leader, None when it is not known.
    """

    def __init__(self, leader_id: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader_id}")
        self.leader_id = leader_id


class Unavailable(CoordinationError):
    """The request was not run; it may be retried."""


class Unknown(CoordinationError):
    """The proposal was appended, but its outcome is not known."""


class ChangeRefused(CoordinationError):
    """The membership change is not valid; nothing was appended."""


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
    """No control member accepted the command; it will not be executed."""


class OutcomeUnknown(CoordinationError):
    """The command may or may not have been executed."""


class NoUpstream(CoordinationError):
    """No upstream accepted the request; it was not run.

    Args:
        reason: why the last upstream did not accept it.
        retry_after_s: seconds after which a retry may be admitted.
        unavailable: whether the upstream accepts no work at all for now.
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float = 1.0,
        unavailable: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.unavailable = unavailable


class AnswerCut(CoordinationError):
    """The answer ended before it was complete."""


class UpstreamRejected(CoordinationError):
    """The upstream rejected the request as invalid.

    Args:
        status: HTTP status of its answer.
        body: body of its answer.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"upstream answered {status}")
        self.status = status
        self.body = body


class AgentNotReached(NoUpstream):
    """The agent could not be reached; the request was not run."""
