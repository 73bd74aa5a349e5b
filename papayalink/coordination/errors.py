"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base of the errors of the coordination layer."""


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
