"""RPC interface of a control member."""

from collections.abc import Mapping
import zlib

import msgspec

from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import replica as replicas
from papayalink.coordination.raft import messages as raft_messages
from papayalink.protocol import messages
from papayalink.roles.control import demands
from papayalink.roles.control import identity as identities
from papayalink.roles.control import loads
from papayalink.roles.control import peers as peers_module
from papayalink.roles.control import upkeep
from papayalink.state import machine as machines
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Shorter than the timeout of a poll, so that the poller receives the error and
# tries another member within the same period.
CONFIRM_TIMEOUT_S = 0.4
PROPOSE_TIMEOUT_S = 1.8
# Concurrent calls by method; further calls are refused at once. A reply takes
# 0.4 ms of the gevent hub. So 200 replies after one confirmation leave most of
# the 0.4 s to the quorum read, and messages of other members, on which
# leadership depends, wait 0.1 s at most.
LIMITS = {"Poll": 200}
# Level 6 takes twice as long and makes a document of 711 KB 8% smaller.
_COMPRESSION_LEVEL = 1


class ControlService:
    """Handles polls, proposals, queries and messages of other members."""

    __slots__ = (
        "_identity",
        "_attached_replica",
        "_upkeep",
        "_machine",
        "_peers",
        "_loads",
        "_demands",
        "_metrics",
        "_compressed",
    )

    def __init__(
        self,
        identity: identities.Identity,
        machine: machines.Machine,
        peers: peers_module.Peers,
        load_table: loads.LoadTable,
        demand_table: demands.DemandTable,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._identity = identity
        self._attached_replica: replicas.Replica | None = None
        self._upkeep: upkeep.Upkeep | None = None
        self._machine = machine
        self._peers = peers
        self._loads = load_table
        self._demands = demand_table
        self._metrics = metrics
        self._compressed = ("", b"")

    @property
    def _replica(self) -> replicas.Replica:
        if self._attached_replica is None:
            raise transport_errors.RpcRefused(
                "unavailable", "the member does not take part yet"
            )
        return self._attached_replica

    def attach(
        self, replica: replicas.Replica, leader_upkeep: upkeep.Upkeep
    ) -> None:
        """Start serving from a replica; calls before this are refused."""
        self._attached_replica = replica
        self._upkeep = leader_upkeep

    def handlers(self) -> Mapping[str, rpc.Handler]:
        return {
            "Poll": self.poll,
            "Propose": self.propose,
            "Query": self.query,
            "Deliver": self.deliver,
            "ShareLoads": self.share_loads,
            "Introduce": self.introduce,
            "Join": self.join,
        }

    def poll(self, poll: messages.Poll) -> messages.PollReply:
        """Confirm the configuration of a process or bring it up to date."""
        if poll.load is not None:
            self._loads.receive(poll.load)
        if poll.role == "entry":
            self._demands.receive(poll.process, poll.demand)
        self._confirm_read()
        configuration = self._machine.configuration
        self._metrics.count("polls", role=poll.role)
        reply = messages.PollReply(
            version=configuration.version,
            digest=configuration.digest,
            leaving=self._machine.upstreams.leaving,
            fence=self._fence(poll),
            loads=self._loads.select(poll.watch),
            shares=self._demands.shares(poll.process, configuration.document),
        )
        same_version = poll.version == configuration.version
        if same_version and poll.digest == configuration.digest:
            return reply
        delta = (
            configuration.delta_since(poll.version) if poll.digest else None
        )
        if delta is not None and not same_version:
            return msgspec.structs.replace(reply, delta=delta)
        return msgspec.structs.replace(
            reply, document=self._compressed_document()
        )

    def propose(self, message: messages.Propose) -> messages.Outcome:
        """Commit a command; only the leader can."""
        try:
            result = self._replica.propose(message.command, PROPOSE_TIMEOUT_S)
        except errors.CoordinationError as error:
            raise self._refusal(error) from error
        return messages.Outcome(result)

    def query(self, query: messages.Query) -> messages.QueryReply:
        """Read state that a quorum has confirmed."""
        self._confirm_read()
        match query.what:
            case "call":
                record = self._machine.ledger.find(query.workspace, query.key)
                return messages.QueryReply(msgspec.json.encode(record))
            case "fence":
                fence = self._machine.upstreams.fence(query.key)
                return messages.QueryReply(msgspec.json.encode(fence))
            case "status":
                status = self._replica.status()
                return messages.QueryReply(msgspec.json.encode(status))
            case what:
                raise transport_errors.RpcRefused("refused", f"no {what}")

    def deliver(self, message: messages.Deliver) -> messages.Acknowledge:
        """Pass replication messages of another member to the replica."""
        self._replica.deliver(raft_messages.decode(message.batch))
        return messages.Acknowledge()

    def share_loads(
        self, message: messages.ShareLoads
    ) -> messages.Acknowledge:
        self._loads.merge(message.loads)
        for entry, demand in message.demand:
            self._demands.merge(entry, demand)
        return messages.Acknowledge()

    def introduce(self, message: messages.Introduce) -> messages.Acknowledge:
        """Record the token of another member's data folder."""
        if not self._identity.register_token(message.name, message.token):
            raise transport_errors.RpcRefused(
                "refused", f"{message.name} had another data folder"
            )
        return messages.Acknowledge()

    def join(self, message: messages.Join) -> messages.Acknowledge:
        """Add a member to the group; only the leader can."""
        if not self._replica.is_leader:
            raise self._refusal(errors.NotLeader(self._replica.leader_id))
        self._upkeep.join(message.member_id)
        return messages.Acknowledge()

    def _compressed_document(self) -> bytes:
        """Returns: the whole document, compressed once for all pollers."""
        configuration = self._machine.configuration
        if self._compressed[0] != configuration.digest:
            data = zlib.compress(
                configuration.document_bytes, _COMPRESSION_LEVEL
            )
            self._compressed = (configuration.digest, data)
        return self._compressed[1]

    def _fence(self, poll: messages.Poll) -> int:
        if poll.load is None:
            return 0
        return self._machine.upstreams.fence(poll.load.upstream)

    def _confirm_read(self) -> None:
        try:
            self._replica.confirm_read(CONFIRM_TIMEOUT_S)
        except errors.CoordinationError as error:
            raise self._refusal(error) from error

    def _refusal(
        self, error: errors.CoordinationError
    ) -> transport_errors.RpcRefused:
        leader = self._peers.address_of(self._replica.leader_id)
        match error:
            case errors.NotLeader():
                return transport_errors.RpcRefused(
                    "not_leader", str(error), leader
                )
            case errors.Unknown():
                return transport_errors.RpcRefused("unknown", str(error))
            case _:
                return transport_errors.RpcRefused("unavailable", str(error))
