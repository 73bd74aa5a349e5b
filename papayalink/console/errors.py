"""Errors that a backend of the console raises."""


class ConsoleError(Exception):
    """Base class of all errors of the console."""


class NotLeader(ConsoleError):
    """Another control member leads and has to serve the request.

    Attributes:
        leader: "IP:PORT" of the leader's console.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is at {leader}")
        self.leader = leader


class Unavailable(ConsoleError):
    """No quorum is reachable; nothing was changed."""


class Unknown(ConsoleError):
    """The change was sent, but it is unknown whether it was accepted."""
