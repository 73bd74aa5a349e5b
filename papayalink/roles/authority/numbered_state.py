"""Reads and changes the numbered document and the weight versions."""

from collections.abc import Callable
import time

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import replica as replicas
from papayalink.protocol import messages
from papayalink.roles.control import peers as peers_module
from papayalink.state import machine as machines
from papayalink.state import numbered
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Operators ask another member after one second without an answer.
PROPOSE_TIMEOUT_S = 0.8
CONFIRM_TIMEOUT_S = 0.6
# A new group waits this long at most for the voters that it needs to bear the
# loss of a disk, since there may be fewer machines with a disk.
FOUNDING_TIMEOUT_S = 3.0


class NumberedState:
    """The group's numbered state, accessed through this member's replica.

    Methods raise CoordinationError while the member has not joined the group
    or cannot determine the newest state.
    """

    __slots__ = (
        "_machine",
        "_replica",
        "_required_voters",
        "_founding_since",
        "_peers",
        "_client",
        "_metrics",
        "_observe_weights",
        "_confirmed",
        "_log",
    )

    def __init__(
        self,
        machine: machines.Machine,
        peers: peers_module.Peers,
        client: rpc.RpcClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._machine = machine
        self._replica: replicas.Replica | None = None
        self._required_voters = 0
        self._founding_since: float | None = None
        self._peers = peers
        self._client = client
        self._metrics = metrics
        self._observe_weights: Callable[[], None] | None = None
        self._confirmed = False
        self._log = logs.get_logger()

    @property
    def replica(self) -> replicas.Replica:
        if self._replica is None:
            raise errors.Unavailable("the member does not take part yet")
        return self._replica

    def attach(
        self, replica: replicas.Replica, required_voters: int = 0
    ) -> None:
        """Use a replica for all reads and changes.

        Args:
            required_voters: number of voters that the group is to have before
                it takes the first document.
        """
        self._replica = replica
        self._required_voters = required_voters

    def observe_before_naming(self, observe: Callable[[], None]) -> None:
        """Set what notes the newest weights before newer ones are named.

        Args:
            observe: raises CoordinationError if it cannot.
        """
        self._observe_weights = observe

    def put(self, number: int, content: bytes) -> int:
        """Store a document, unless its number is not above the stored one.

        Returns: the newest number.
        """
        stored_number = self._machine.numbered.number
        if number <= stored_number:
            # The stored number is committed, since it was applied here.
            self._record(
                "document_overtaken", number=number, held=stored_number
            )
            return stored_number
        stored = self._commit(numbered.PutNumbered(number, content))
        self._record(
            "document_stored",
            number=number,
            changed=stored.changed,
            bytes=len(content),
        )
        return stored.number

    def name_weights(self, model: str, version: int) -> None:
        """Set the weight version that all replicas of a model are to load."""
        if self._observe_weights is not None:
            self._observe_weights()
        stored = self._commit(numbered.NameWeights(model, version))
        self._record(
            "weights_named",
            model=model,
            version=version,
            changed=stored.changed,
        )

    def read(self) -> bytes:
        """Returns: the newest document as it was sent, b"" for none."""
        self.confirm()
        return self._machine.numbered.content

    def confirm(self) -> None:
        """Make sure that everything committed so far is applied here."""
        self.replica.confirm_read(CONFIRM_TIMEOUT_S)
        self._confirmed = True

    @property
    def known_since_start(self) -> bool:
        """Whether others have told since the start what is committed.

        Until then the state is that of the stored snapshot, which may be old.
        """
        return self._confirmed or (
            self._replica is not None and self._replica.applied_since_start
        )

    def note_invalid(self, reason: str) -> None:
        """Record a document that was rejected before it was proposed."""
        self._record("document_invalid", reason=reason)

    def commit(self, command: bytes) -> bytes:
        """Commit an encoded command; only possible on the leader.

        A new group takes none before its members have joined: what the seeds
        alone have acknowledged would be lost with the disk of one of them.
        """
        if self.is_leader and self._is_founding():
            raise errors.Unavailable("members have yet to join")
        return self.replica.propose(command, PROPOSE_TIMEOUT_S)

    @property
    def is_leader(self) -> bool:
        return self._replica is not None and self._replica.is_leader

    @property
    def leading_term(self) -> int | None:
        """Term in which this member leads, None if it does not."""
        if self._replica is None or not self._replica.is_leader:
            return None
        return self._replica.term

    def leader_address(self) -> str:
        """Returns: RPC address of the leader, "" when it is not known."""
        if self._replica is None:
            return ""
        return self._peers.address_of(self._replica.leader_id)

    def make_refusal(
        self, error: errors.CoordinationError
    ) -> transport_errors.RpcRefused:
        """Returns: the error to send to the process that called."""
        match error:
            case errors.NotLeader():
                return transport_errors.RpcRefused(
                    "not_leader", str(error), self.leader_address()
                )
            case errors.Unknown():
                return transport_errors.RpcRefused("unknown", str(error))
            case _:
                return transport_errors.RpcRefused("unavailable", str(error))

    def _is_founding(self) -> bool:
        if self._machine.numbered.number or not self._required_voters:
            return False
        voters = self.replica.membership.voters
        if len(voters) >= self._required_voters:
            return False
        now = time.monotonic()
        if self._founding_since is None:
            self._founding_since = now
        return now - self._founding_since < FOUNDING_TIMEOUT_S

    def _commit(self, command: machines.Command) -> numbered.Stored:
        data = machines.encode_command(command)
        try:
            return machines.decode_outcome(self.commit(data))
        except errors.NotLeader as error:
            leader = self.leader_address()
            if not leader:
                raise errors.Unavailable("no leader") from error
        try:
            reply = self._client.call(
                leader, "Propose", messages.Propose(data), PROPOSE_TIMEOUT_S
            )
        except transport_errors.TransportError as error:
            raise errors.Unknown(f"leader {leader}: {error}") from error
        return machines.decode_outcome(reply.result)

    def _record(self, event: str, **fields: object) -> None:
        self._metrics.count(event)
        self._log.info(event, **fields)


def make_numbered_state(
    machine: machines.Machine,
    peers: peers_module.Peers,
    client: rpc.RpcClient,
    metrics: metrics_module.Metrics,
) -> NumberedState:
    return NumberedState(machine, peers, client, metrics)
