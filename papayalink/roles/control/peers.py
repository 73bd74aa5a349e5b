"""Sends messages to the other control members."""

from collections.abc import Mapping
import time

import gevent
from gevent import queue

from papayalink import logs
from papayalink.coordination.raft import messages as raft_messages
from papayalink.protocol import messages
from papayalink.transport import errors
from papayalink.transport import rpc

DELIVER_TIMEOUT_S = 1.0
# Batches per member. While a member is unreachable, further batches are
# dropped, because Raft sends their content again.
_MAX_QUEUED = 64


class Peers:
    """One sending task for each other member.

    Args:
        own: id of this member.
        addresses: RPC address by member name. The name of a member is its
            id up to the first dot.
        client: calls the members.
    """

    __slots__ = (
        "_own",
        "_addresses",
        "_client",
        "_queues",
        "_reached_at",
        "_log",
    )

    def __init__(
        self,
        own: str,
        addresses: Mapping[str, str],
        client: rpc.RpcClient,
    ) -> None:
        self._own = own
        self._addresses = addresses
        self._client = client
        self._queues: dict[str, queue.Queue] = {}
        self._reached_at: dict[str, float] = {}
        self._log = logs.get_logger()

    def reached_at(self, member_id: str) -> float | None:
        """Returns: monotonic time of the last delivery in seconds, or None."""
        return self._reached_at.get(member_id)

    def address_of(self, member_id: str | None) -> str:
        """Returns: RPC address of a member, "" if it is unknown."""
        if member_id is None:
            return ""
        return self._addresses.get(name_of(member_id), "")

    def send(
        self, member_id: str, batch: list[raft_messages.PeerMessage]
    ) -> None:
        """Queue a batch, or drop it if the member does not keep up."""
        outbox = self._queues.get(member_id)
        if outbox is None:
            outbox = self._queues[member_id] = queue.Queue(_MAX_QUEUED)
            gevent.spawn(self._run, member_id, outbox)
        if not outbox.full():
            outbox.put_nowait(batch)

    def set_own(self, member_id: str) -> None:
        """Set the id under which this member takes part."""
        self._own = member_id

    def others(self) -> list[str]:
        """Returns: RPC addresses of all other members."""
        own = name_of(self._own)
        return [
            address for name, address in self._addresses.items() if name != own
        ]

    def _run(self, member_id: str, outbox: queue.Queue) -> None:
        while True:
            batch = outbox.get()
            while not outbox.empty():
                batch = batch + outbox.get()
            address = self.address_of(member_id)
            message = messages.Deliver(self._own, raft_messages.encode(batch))
            try:
                self._client.call(
                    address, "Deliver", message, DELIVER_TIMEOUT_S
                )
                self._reached_at[member_id] = time.monotonic()
            except errors.TransportError as error:
                self._log.debug(
                    "peer_unreachable", member=member_id, reason=error
                )


def name_of(member_id: str) -> str:
    """Returns: the name of a member in the settings."""
    return member_id.partition(".")[0]


def make_peers(
    own: str, addresses: Mapping[str, str], client: rpc.RpcClient
) -> Peers:
    return Peers(own, addresses, client)
