"""Interface through which the console uses its control member."""

import abc

import msgspec

from papayalink.state import configuration


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force.

    Attributes:
        version: number of the version.
        digest: digest of the document.
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
    def document(self) -> CurrentConfiguration:
        """Returns: the configuration in force, read after a quorum check."""

    @abc.abstractmethod
    def apply(
        self, command: configuration.ApplyDocument
    ) -> configuration.ApplyOutcome:
        """Propose a change and wait for its outcome.

        Raises:
            errors.Unknown: the outcome was not known before the time-out.
        """

    @abc.abstractmethod
    def history(self, count: int) -> list[configuration.Version]:
        """Returns: the latest changes, newest first."""

    @abc.abstractmethod
    def status(self) -> dict:
        """Returns: state of the control group and processes, as JSON types."""

    @abc.abstractmethod
    def call(self, workspace: str, key: str) -> dict | None:
        """Returns: record of a protected call as JSON types, or None."""
