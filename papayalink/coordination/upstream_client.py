"""Interface of a platform: list replicas, give them orders, watch stores."""

from typing import Protocol

from papayalink.state import part_directory
from papayalink.state import replicas


class UpstreamClientError(Exception):
    """A request to the platform, a replica or a store failed."""


class ReplicaNotReached(UpstreamClientError):
    """No connection to the replica could be opened; nothing was sent."""


class ReplicaEnded(ReplicaNotReached):
    """Nothing listens at the replica's address, or another replica does."""


class UpstreamClient(Protocol):
    """Client of one platform; raises UpstreamClientError."""

    def list_replicas(self) -> list[replicas.Replica]:
        """Returns: all replicas on the platform's list, which may lag."""

    def read_weights(self, replica: replicas.Replica) -> dict[str, int]:
        """Returns: weight version by model, as reported by the replica.

        Raises: UpstreamClientError, among them ReplicaNotReached.
        """

    def order_weights(
        self,
        replica: replicas.Replica,
        model: str,
        version: int,
        holder: str,
        fence: int,
    ) -> bool:
        """Order a replica to load weights after its running calls finish.

        Args:
            holder: name of the process that gives the order.
            fence: fencing token of the order.
        Returns: whether the replica accepted the order or already has it.
        Raises: ReplicaNotReached, or UpstreamClientError when the replica may
            still carry it out.
        """


class StoreReader(Protocol):
    """Follows the content of one store; raises UpstreamClientError."""

    def read(self) -> list[part_directory.Change]:
        """Wait about a second for changes.

        The first call returns changes for all parts that the store holds.
        """
