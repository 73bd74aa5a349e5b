"""What a platform offers to find replicas and give them orders."""

from typing import Protocol

from papayalink.state import part_directory
from papayalink.state import replicas


class UpstreamClientError(Exception):
    """A client could not tell or do what was asked."""


class UpstreamClient(Protocol):
    """Client of one platform; raises UpstreamClientError."""

    def list_replicas(self) -> list[replicas.Replica]:
        """Returns: all replicas that are listed; the list may lag."""

    def weights_of(self, replica: replicas.Replica) -> dict[str, int]:
        """Returns: weight version by model, as the replica tells."""

    def order_weights(
        self,
        replica: replicas.Replica,
        model: str,
        version: int,
        holder: str,
        fence: int,
    ) -> bool:
        """Order weights; calls under way at the replica finish first.

        Returns: whether the replica took the order or already holds it.
        Raises: UpstreamClientError; the order may still be carried out.
        """


class StoreReader(Protocol):
    """Follows what one store holds; raises UpstreamClientError."""

    def read(self) -> list[part_directory.Change]:
        """Wait for changes, about a second; begins with all that is held."""
