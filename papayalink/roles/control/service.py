"""RPC interface of a control member."""

from collections.abc import Mapping

import msgspec

from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import replica as replicas
from papayalink.coordination.raft import messages as raft_messages
from papayalink.protocol import messages
from papayalink.roles.control import loads
from papayalink.roles.control import peers as peers_module
from papayalink.state import machine as machines
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Shorter than the timeout of a poll, so that the poller learns of it and
# turns to another member within the same period.
CONFIRM_TIMEOUT_S = 0.4
PROPOSE_TIMEOUT_S = 1.8


class ControlService:
    """Answers polls, proposals, queries and messages of other members."""

    __slots__ = ("_replica", "_machine", "_peers", "_loads", "_metrics")

    def __init__(
        self,
        replica: replicas.Replica,
        machine: machines.Machine,
        peers: peers_module.Peers,
        load_table: loads.LoadTable,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._replica = replica
        self._machine = machine
        self._peers = peers
        self._loads = load_table
        self._metrics = metrics

    def handlers(self) -> Mapping[str, rpc.Handler]:
        return {
            "Poll": self.poll,
            "Propose": self.propose,
            "Query": self.query,
            "Deliver": self.deliver,
            "ShareLoads": self.share_loads,
        }

    def poll(self, poll: messages.Poll) -> messages.PollReply:
        """Confirm a process's configuration, or bring it up to date."""
        if poll.load is not None:
            self._loads.receive(poll.load)
        self._confirm()
        configuration = self._machine.configuration
        self._metrics.count("polls", role=poll.role)
        reply = messages.PollReply(
            version=configuration.version,
            digest=configuration.digest,
            leaving=self._machine.upstreams.leaving,
            loads=self._loads.select(poll.watch),
        )
        current = poll.version == configuration.version
        if current and poll.digest == configuration.digest:
            return reply
        delta = (
            configuration.delta_since(poll.version) if poll.digest else None
        )
        if delta is not None and not current:
            return msgspec.structs.replace(reply, delta=delta)
        return msgspec.structs.replace(
            reply, document=configuration.document_bytes
        )

    def propose(self, message: messages.Propose) -> messages.Outcome:
        """Commit a command; only the leader can."""
        try:
            result = self._replica.propose(message.command, PROPOSE_TIMEOUT_S)
        except errors.CoordinationError as error:
            raise self._refusal(error) from error
        return messages.Outcome(result)

    def query(self, query: messages.Query) -> messages.QueryReply:
        """Read confirmed state."""
        self._confirm()
        match query.what:
            case "call":
                record = self._machine.ledger.find(query.workspace, query.key)
                return messages.QueryReply(msgspec.json.encode(record))
            case "status":
                status = self._replica.status()
                return messages.QueryReply(msgspec.json.encode(status))
            case what:
                raise transport_errors.RpcRefused("refused", f"no {what}")

    def deliver(self, message: messages.Deliver) -> messages.Acknowledge:
        """Take replication messages of another member."""
        self._replica.deliver(raft_messages.decode(message.batch))
        return messages.Acknowledge()

    def share_loads(
        self, message: messages.ShareLoads
    ) -> messages.Acknowledge:
        self._loads.merge(message.loads)
        return messages.Acknowledge()

    def _confirm(self) -> None:
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
