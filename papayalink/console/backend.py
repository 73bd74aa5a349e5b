"""What the console needs from the control member that serves it."""

import abc

import msgspec

from papayalink.state import configuration


class Current(msgspec.Struct, frozen=True):
    """The configuration in force.

    Attributes:
        document: the document as canonical JSON.
    """

    version: int
    digest: str
    document: bytes


class Backend(abc.ABC):
    """Access to the replicated state.

    All methods may raise `errors.NotLeader` and `errors.Unavailable`.
    """

    __slots__ = ()

    @abc.abstractmethod
    def document(self) -> Current:
        """Returns: the configuration in force, confirmed by a quorum."""

    @abc.abstractmethod
    def apply(
        self, command: configuration.ApplyDocument
    ) -> configuration.ApplyOutcome:
        """Propose a change and wait for its outcome.

        Raises:
            errors.Unknown: the outcome did not become known in time.
        """

    @abc.abstractmethod
    def history(self, count: int) -> list[configuration.Version]:
        """Returns: the last changes, newest first."""

    @abc.abstractmethod
    def status(self) -> dict:
        """Returns: state of the group and its processes, as JSON types."""

    @abc.abstractmethod
    def call(self, workspace: str, key: str) -> dict | None:
        """Returns: record of a protected call as JSON types, if any."""
