"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base of all errors of the coordination layer."""


class InvalidRanks(CoordinationError):
    """The rank records contradict each other."""


class UnknownRank(CoordinationError):
    """An item names a rank that the queue does not have."""


class DuplicateRequest(CoordinationError):
    """A request id is already queued or running."""
