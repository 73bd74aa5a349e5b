"""Interface of a platform: list replicas, give them orders, watch stores."""

from typing import Protocol

import msgspec

from papayalink.state import part_directory
from papayalink.state import replicas


class UpstreamClientError(Exception):
    """A request to the platform, a replica or a store failed."""


class ReplicaNotReached(UpstreamClientError):
    """No connection to the replica could be opened; nothing was sent."""


class ReplicaEnded(ReplicaNotReached):
    """Nothing listens at the replica's address, or another replica does."""


class Report(msgspec.Struct, frozen=True):
    """A replica's report of itself, which may be some 100 ms old.

    Attributes:
        weights: weight version by model.
        orders: orders that it accepted since its start, None if unknown.
        busy: whether it carries out an order.
    """

    weights: dict[str, int]
    orders: int | None = None
    busy: bool = False


class UpstreamClient(Protocol):
    """Client of one platform; raises UpstreamClientError."""

    def list_replicas(self) -> list[replicas.Replica]:
        """Returns: all replicas on the platform's list, which may lag."""

    def read_report(self, replica: replicas.Replica) -> Report:
        """Returns: what the replica reports of itself.

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
