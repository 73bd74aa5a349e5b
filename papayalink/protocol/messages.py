"""Messages between the system's own processes."""

import zlib

import msgspec

from papayalink.protocol import errors
from papayalink.protocol import shared_tables
from papayalink.state import part_directory
from papayalink.state import replicas


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages."""

    @property
    def skips_compression(self) -> bool:
        """Whether compressing the message would gain little."""
        return False


class ErrorReply(Message):
    """The receiver could not answer.

    Attributes:
        code: "unavailable", "not_leader", "refused" or "failed".
        leader: RPC address of the leader, for "not_leader".
    """

    code: str
    text: str = ""
    leader: str = ""


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream as its agent sees it.

    To keep reports small, they use integers and have no tag: an entry receives
    up to 24 of them a second for each model.

    Attributes:
        state: "up", "down", "loading" or "leaving".
        weight_version: loaded weights, "" for a plain service.
        waiting: queued requests by rank, most urgent first.
        waiting_tokens: prompt tokens queued or in prefill, by rank.
        free_slots: requests that could start immediately, by rank.
        start_periods_ms: mean time between two request starts while requests
            are queued, by rank.
        loads_permille: share of the capacity that each rank used recently.
        prefill_rate: measured prompt tokens per second.
        sequence: increases with each report of an incarnation.
        age_ms: time since the report was made.
        adapters: adapters of the document that the engine has loaded.
    """

    upstream: str
    state: str = "up"
    weight_version: str = ""
    waiting: tuple[int, ...] = ()
    waiting_tokens: tuple[int, ...] = ()
    free_slots: tuple[int, ...] = ()
    start_periods_ms: tuple[int, ...] = ()
    loads_permille: tuple[int, ...] = ()
    prefill_rate: int = 0
    sequence: int = 0
    age_ms: int = 0
    adapters: tuple[str, ...] = ()


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Recent demand of one workspace at one entry."""

    workspace: str
    tokens_per_s: float = 0.0
    in_flight: int = 0


class Poll(Message):
    """A process asks to have its configuration confirmed or updated.

    Attributes:
        incarnation: unique for each run of a process.
        version: configuration version that the process has, 0 for none.
        digest: digest of the document that the process has.
        load: an agent's report on its upstream.
        watch: upstreams whose load reports the process wants.
        demand: recent demand at an entry.
    """

    process: str
    role: str
    incarnation: str
    version: int = 0
    digest: str = ""
    load: LoadReport | None = None
    watch: tuple[str, ...] = ()
    demand: tuple[Demand, ...] = ()


class PollReply(Message):
    """Confirmed configuration.

    Attributes:
        version: newest committed version.
        document: the whole document as compressed JSON, when there is no
            delta.
        delta: changes since the version of the poll, as JSON.
        leaving: upstreams that get no new work.
        fence: newest fencing token of the polling agent's upstream.
        loads: reports of the watched upstreams.
        shares: tokens per second and requests in flight that the entry
            may admit, for each workspace of its demand.
    """

    version: int
    document: bytes = b""
    delta: bytes = b""
    digest: str = ""
    leaving: tuple[str, ...] = ()
    fence: int = 0
    loads: tuple[LoadReport, ...] = ()
    shares: tuple[Demand, ...] = ()

    @property
    def skips_compression(self) -> bool:
        return bool(self.document)

    @property
    def document_json(self) -> bytes:
        """The whole document, b"" when there is none."""
        return zlib.decompress(self.document) if self.document else b""


class Propose(Message):
    """Proposes one encoded command for the replicated state machine."""

    command: bytes


class Outcome(Message):
    """Encoded result of a committed command."""

    result: bytes


class Query(Message):
    """A quorum-confirmed read.

    Attributes:
        what: "call", "status", or "fence" for the newest fencing token of
            an upstream.
        key: idempotency key of a call, or name of an upstream.
    """

    what: str
    workspace: str = ""
    key: str = ""


class QueryReply(Message):
    """Answer to a query, as JSON."""

    body: bytes


class Deliver(Message):
    """Batch of replication messages from one member to another."""

    sender: str
    batch: bytes


class ShareLoads(Message):
    """Load reports that a control member received since its last batch."""

    sender: str
    loads: tuple[LoadReport, ...] = ()
    demand: tuple[tuple[str, tuple[Demand, ...]], ...] = ()


class Introduce(Message):
    """A control member announces its name and its data folder's token."""

    name: str
    token: str


class Join(Message):
    """A control member asks the leader to add it to the group.

    Attributes:
        durable: the member has a disk and may vote.
    """

    member_id: str
    durable: bool = True


class Describe(Message):
    """A process that starts for the first time asks a seed to identify itself.

    Attributes:
        name: member name of the asking process.
        durable: the asking process has a disk.
    """

    name: str
    durable: bool


class Described(Message):
    """A seed's reply to Describe.

    Attributes:
        durable: the seed has a disk.
        first: name of the first process with a disk that asked the seed, ""
            for none.
    """

    durable: bool
    first: str = ""


class AskPresence(Message):
    """A member that is told to stop asks a voter whether it may leave.

    Attributes:
        member_id: id of the voter that is asked.
    """

    member_id: str


class Presence(Message):
    """Reply to AskPresence.

    Attributes:
        takes_part: the asked member has that id and knows a leader.
        stopping_s: seconds since it was told to stop itself, None if not.
    """

    takes_part: bool
    stopping_s: float | None = None


class Acknowledge(Message):
    """The message was accepted."""


class Order(Message):
    """The control leader orders a change at an upstream.

    Attributes:
        fence: fencing token of the order.
        action: "load_weights", "load_adapter" or "set_role".
        argument: weight version, adapter or role.
    """

    upstream: str
    fence: int
    action: str
    argument: str


class OrderReply(Message):
    """Result of an order: "done", "stale" or "failed"."""

    result: str
    text: str = ""


class Loading(msgspec.Struct, frozen=True, array_like=True):
    """A replica that is about to load weights and takes no calls meanwhile."""

    replica_id: str
    model: str
    version: int


class Watch(Message):
    """A process asks for a numbered document or weight versions new to it.

    Attributes:
        number: number of the document that the process has, 0 for none.
        weights: newest weight version known to the process, by model.
        wait_ms: how long the receiver may wait for a difference before it
            replies.
    """

    process: str
    number: int = 0
    weights: dict[str, int] = {}
    wait_ms: int = 0
    loading: tuple[Loading, ...] = ()


class ReadHeld(Message):
    """A process without a document asks for one that may not be the newest.

    The reply is a WatchReply that no quorum has confirmed.
    """


class WatchReply(Message):
    """Confirmed numbered document and weight versions.

    Attributes:
        number: number of the newest document.
        document: that document, compressed; empty when the process has it.
        weights: newest named weight version by model.
        members: RPC addresses of the control members.
        leader: RPC address of the leader, "" when there is none.
        replaced: what the member knows of earlier weight versions.
    """

    number: int
    document: bytes = b""
    weights: dict[str, int] = {}
    members: tuple[str, ...] = ()
    leader: str = ""
    loading: tuple[Loading, ...] = ()
    replaced: tuple[shared_tables.NewestWeights, ...] = ()

    @property
    def skips_compression(self) -> bool:
        return bool(self.document)

    @property
    def content(self) -> bytes:
        """The whole document, b"" when there is none."""
        return zlib.decompress(self.document) if self.document else b""


class ReplicaWork(msgspec.Struct, frozen=True, array_like=True):
    """Unfinished calls at one replica, added up by urgency.

    Attributes:
        calls: (urgency, number of calls).
        prefill: (urgency, prompt tokens) of calls without a first token.
        memory: (urgency, tokens) that the calls will hold in memory at most.
    """

    replica_id: str
    calls: tuple[tuple[int, int], ...] = ()
    prefill: tuple[tuple[int, int], ...] = ()
    memory: tuple[tuple[int, int], ...] = ()


class Parts(Message):
    """An entry reports its work and asks for the state of stores and entries.

    Attributes:
        source: member and run that `number` refers to, "" at first.
        number: number of directory changes that the entry has.
        lost: replicas that the entry cannot reach.
        list_number: number of the newest reading of the platform's replica
            list that the entry has, 0 for none.
        tables: what the member may not know of the shared tables.
        refused: blocked keys for which the entry refused calls.
        wanted: number of permits that the entry asks for, by replica.
        retry_share: share of the constant part of the retry allowance that
            the entry may use.
    """

    process: str
    source: str = ""
    number: int = 0
    work: tuple[ReplicaWork, ...] = ()
    lost: tuple[str, ...] = ()
    list_number: int = 0
    tables: shared_tables.Tables = shared_tables.Tables()
    refused: tuple[str, ...] = ()
    wanted: tuple[tuple[str, int], ...] = ()
    retry_share: float = 0.0


class PartsReply(Message):
    """Changes of the directory of stored parts, and other entries' reports.

    Attributes:
        whole: the changes make up the whole directory and replace what the
            entry has.
        work: work of all other entries.
        lost: replicas that some other entry cannot reach.
        widely_lost: those of them that several other entries cannot reach.
        list_number: number of the newest reading of the list that differs
            from the one before, 0 for none.
        list_age_ms: time since the list was last read.
        listed: replicas of that reading, empty when the entry already has it.
        entries: number of entries that recently reported to the member.
        tables: what the entry does not know of the shared tables.
        trials: blocked keys of which the entry may send one call each.
        granted: number of requests that the entry may send, by replica.
        retry_share: share of the constant part of the retry allowance that
            the entry may use from its question on, None if the member can't
            tell.
    """

    source: str
    number: int
    whole: bool = False
    changes: tuple[part_directory.Change, ...] = ()
    work: tuple[ReplicaWork, ...] = ()
    lost: tuple[str, ...] = ()
    widely_lost: tuple[str, ...] = ()
    entries: int = 0
    list_number: int = 0
    list_age_ms: int = 0
    listed: tuple[replicas.Replica, ...] = ()
    tables: shared_tables.Tables = shared_tables.Tables()
    trials: tuple[str, ...] = ()
    granted: tuple[tuple[str, int], ...] = ()
    retry_share: float | None = None


class ShareTables(Message):
    """A member exchanges tables with the leader, which replies likewise."""

    tables: shared_tables.Tables


class FindOrigin(Message):
    """An entry asks which software version began a stream."""

    stream: str


class OriginReply(Message):
    """What a member knows of it.

    Attributes:
        origins: the stream's row, none if it is not known.
        software: versions that services had lately.
        list_age_ms: time since the newest list was read of which `software`
            tells, -1 if none was.
    """

    origins: tuple[shared_tables.StreamOrigin, ...]
    software: tuple[shared_tables.SoftwareSpan, ...]
    list_age_ms: int = -1


class Lookup(Message):
    """Asks a store which pieces it has published."""

    workspace: str
    weight_version: str
    digests: tuple[str, ...]


class LookupReply(Message):
    """What a store has published of the digests of a lookup.

    Attributes:
        present: for each digest whether the piece is published.
        copies: for each digest the number of stores on which the piece should
            be kept, 0 for a piece that is not published.
    """

    present: tuple[bool, ...]
    copies: tuple[int, ...] = ()


AnyMessage = (
    ErrorReply
    | Poll
    | PollReply
    | Propose
    | Outcome
    | Query
    | QueryReply
    | Deliver
    | ShareLoads
    | Introduce
    | Describe
    | Described
    | Join
    | AskPresence
    | Presence
    | Acknowledge
    | Order
    | OrderReply
    | Watch
    | ReadHeld
    | WatchReply
    | Parts
    | PartsReply
    | ShareTables
    | FindOrigin
    | OriginReply
    | Lookup
    | LookupReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Returns: the message in MessagePack."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode one message.

    Raises:
        errors.MessageInvalid: the bytes are not a message of this module.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.MessageInvalid(str(error)) from error
