"""Errors that a backend of the console raises."""


class ConsoleError(Exception):
    """Base of all errors of the console."""


class NotLeader(ConsoleError):
    """Another member answers.

    Attributes:
        leader: "IP:PORT" of the leader's console.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is at {leader}")
        self.leader = leader


class Unavailable(ConsoleError):
    """No quorum can be reached; nothing was changed."""


class Unknown(ConsoleError):
    """The change was sent, and whether it was accepted is not known."""
