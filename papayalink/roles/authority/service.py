"""Answers RPCs of nodes and other control members."""

from collections.abc import Callable
from collections.abc import Mapping
import secrets
import time
import zlib

from gevent import event

from papayalink import node_settings
from papayalink.coordination import errors
from papayalink.coordination import load_reports
from papayalink.coordination import named_limits
from papayalink.coordination import retry_shares
from papayalink.coordination import table_exchange
from papayalink.coordination.raft import messages as raft_messages
from papayalink.protocol import messages
from papayalink.roles.authority import address_book
from papayalink.roles.authority import list_relay
from papayalink.roles.authority import numbered_state
from papayalink.roles.authority import store_watch
from papayalink.roles.authority import weights
from papayalink.state import machine as machines
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Upper limit of the wait that a watch may ask for, so that a watcher soon
# learns that a member has lost its quorum.
MAX_WAIT_S = 1.0
# Level 6 takes twice as long, for a document that is 8% smaller.
_COMPRESSION_LEVEL = 1
# Entries that cannot reach a replica, from which on it counts as lost for all.
# A single one may itself be cut off.
WIDE_LOSS = 2
# Concurrent calls beyond which further ones are refused, by method.
LIMITS = {"Watch": 400, "Parts": 400}


class AuthorityService:
    """Answers watches, proposals, joins and replication messages.

    Args:
        durable: this member has a disk.
        join: asks this member's group upkeep to add a member.
        stores: tracks the contents of the stores.
        relay: reads the platform's list of replicas.
        retry_window_s: window of the retry allowance.
    """

    __slots__ = (
        "_state",
        "_machine",
        "_book",
        "_join",
        "_changed",
        "_compressed",
        "_stores",
        "_relay",
        "_load_reports",
        "_tables",
        "_permits",
        "_retry_shares",
        "_source",
        "_durable",
        "_first_asker",
    )

    def __init__(
        self,
        state: numbered_state.NumberedState,
        machine: machines.Machine,
        book: address_book.AddressBook,
        durable: bool,
        join: Callable[[messages.Join], None],
        stores: store_watch.StoreWatch,
        relay: list_relay.ListRelay,
        retry_window_s: float = node_settings.Bounds().retry_window_s,
    ) -> None:
        self._state = state
        self._machine = machine
        self._book = book
        self._join = join
        self._changed = event.Event()
        self._compressed = (0, b"")
        self._stores = stores
        self._relay = relay
        self._load_reports = load_reports.make_load_reports()
        self._tables = table_exchange.make_table_set()
        self._permits = named_limits.make_permit_source(self._tables.limits)
        self._retry_shares = retry_shares.make_retry_shares(retry_window_s)
        self._source = secrets.token_hex(4)
        self._durable = durable
        self._first_asker = ""

    @property
    def tables(self) -> table_exchange.TableSet:
        """What entries and members tell each other."""
        return self._tables

    def handlers(self) -> Mapping[str, rpc.Handler]:
        return {
            "Watch": self.watch,
            "ReadHeld": self.read_held,
            "Parts": self.parts,
            "ShareTables": self.share_tables,
            "FindOrigin": self.find_origin,
            "Propose": self.propose,
            "Deliver": self.deliver,
            "Describe": self.describe,
            "Join": self.join,
        }

    def note_applied(self) -> None:
        """Wake the waiting watches; called after each applied command."""
        self._changed.set()
        self._changed.clear()

    def watch(self, watch: messages.Watch) -> messages.WatchReply:
        """Answer once the state differs, or when the wait has ended.

        Both answers are confirmed by a quorum.
        """
        until = time.monotonic() + min(MAX_WAIT_S, watch.wait_ms / 1000)
        while not self._differs(watch):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        try:
            self.observe_weights()
        except errors.CoordinationError as error:
            raise self._state.make_refusal(error) from error
        return self._make_reply(watch)

    def read_held(self, message: messages.ReadHeld) -> messages.WatchReply:
        """Return the applied state, which may not be the newest.

        It is for entries that start while no member can confirm one: those
        that started before go on with what they have.

        Raises: transport_errors.RpcRefused, while this member does not know
            either what is committed.
        """
        if not self._state.known_since_start:
            raise transport_errors.RpcRefused(
                "unavailable", "the member has only its stored snapshot"
            )
        return messages.WatchReply(
            number=self._machine.numbered.number,
            document=self._compress_document(),
            weights=self._machine.numbered.weights,
        )

    def observe_weights(self) -> None:
        """Confirm the state, and note which weights are the newest.

        Raises: errors.CoordinationError
        """
        asked_at = time.monotonic()
        self._state.confirm()
        self._tables.weights.observe(self._machine.numbered.weights, asked_at)

    def parts(self, message: messages.Parts) -> messages.PartsReply:
        """Report what the stores hold, and the work of other entries."""
        now = time.monotonic()
        self._load_reports.report(
            message.process, message.work, now, message.lost
        )
        self._note_software(now)
        tables = self._tables.answer_entry(message.tables, now)
        trials = self._tables.suspects.grant_trials(message.refused, now)
        self._relay.note_demand()
        self._stores.note_demand()
        directory = self._stores.directory
        known = message.source == self._source
        source, number, whole = self._source, directory.number, False
        if not self._stores.complete:
            # The entry keeps what it knows from the member that it asked
            # before, until this one knows as much.
            source, number, changes = message.source, message.number, []
        else:
            changes = (
                directory.changes_since(message.number) if known else None
            )
            whole = changes is None
            if whole:
                changes = directory.full_changes()
        return messages.PartsReply(
            source=source,
            number=number,
            whole=whole,
            changes=tuple(changes),
            work=self._load_reports.work_of_others(message.process, now),
            lost=self._load_reports.lost_to_others(message.process, now),
            widely_lost=self._load_reports.lost_to_others(
                message.process, now, WIDE_LOSS
            ),
            entries=self._load_reports.entries(now),
            list_number=self._relay.number,
            list_age_ms=self._relay.age_ms(),
            listed=(
                ()
                if known and message.list_number == self._relay.number
                else self._relay.listed
            ),
            tables=tables,
            trials=tuple(trials),
            granted=self._permits.grant(message.wanted, now),
            retry_share=self._grant_retry_share(message, now),
        )

    def share_tables(
        self, message: messages.ShareTables
    ) -> messages.ShareTables:
        """Exchange tables with another member."""
        return messages.ShareTables(
            self._tables.answer(message.tables, time.monotonic())
        )

    def find_origin(
        self, message: messages.FindOrigin
    ) -> messages.OriginReply:
        """Tell an entry which software version began a stream."""
        now = time.monotonic()
        self._note_software(now)
        list_age_s = self._tables.software.list_age_s(now)
        return messages.OriginReply(
            self._tables.origins.encode_one(message.stream, now),
            self._tables.software.encode(now),
            -1 if list_age_s == float("inf") else int(1000 * list_age_s),
        )

    def propose(self, message: messages.Propose) -> messages.Outcome:
        """Commit a command; only possible on the leader."""
        try:
            return messages.Outcome(self._state.commit(message.command))
        except errors.CoordinationError as error:
            raise self._state.make_refusal(error) from error

    def deliver(self, message: messages.Deliver) -> messages.Acknowledge:
        """Receive replication messages of another member."""
        try:
            replica = self._state.replica
        except errors.CoordinationError as error:
            raise self._state.make_refusal(error) from error
        replica.deliver(raft_messages.decode(message.batch))
        return messages.Acknowledge()

    def describe(self, message: messages.Describe) -> messages.Described:
        """Return whether this member has a disk, and who asked first.

        Only processes with a disk count as the first to ask.
        """
        if message.durable:
            self._book.learn_members([message.name])
            self._first_asker = self._first_asker or message.name
        return messages.Described(self._durable, self._first_asker)

    def join(self, message: messages.Join) -> messages.Acknowledge:
        """Add a member to the group; only possible on the leader."""
        try:
            replica = self._state.replica
            if not replica.is_leader:
                raise errors.NotLeader(replica.leader_id)
        except errors.CoordinationError as error:
            leader = self._state.leader_address()
            if not leader and self._first_asker:
                # The only address to suggest before this member has joined.
                leader = self._book[self._first_asker]
            raise transport_errors.RpcRefused(
                "not_leader", str(error), leader
            ) from error
        self._join(message)
        return messages.Acknowledge()

    def _grant_retry_share(
        self, message: messages.Parts, now: float
    ) -> float | None:
        """Returns: the entry's share, None unless this member leads."""
        shares, held = self._retry_shares, message.retry_share
        term = self._state.leading_term
        if term is None:
            return None
        share = shares.find_share(message.process, held, term, now)
        if share > held:
            # A member that has lost its quorum without knowing it must not
            # grant what the leader after it may grant to others.
            try:
                self._state.confirm()
            except errors.CoordinationError:
                return None
            if self._state.leading_term != term:
                return None
            # Other entries may have been granted shares meanwhile.
            share = shares.find_share(message.process, held, term, now)
        shares.grant(message.process, share, now)
        return share

    def _note_software(self, now: float) -> None:
        """Record the versions of the list that entries get from here."""
        if self._relay.number:
            self._tables.software.note(
                self._relay.software, now, self._relay.age_ms() / 1000
            )

    def _differs(self, watch: messages.Watch) -> bool:
        numbered = self._machine.numbered
        return (
            numbered.number != watch.number
            or numbered.weights != watch.weights
            or self._loading() != watch.loading
        )

    def _loading(self) -> tuple[messages.Loading, ...]:
        loading = []
        for order in self._machine.upstreams.open_orders:
            load = weights.parse_argument(order.argument)
            if order.action == weights.LOAD_WEIGHTS and load is not None:
                loading.append(messages.Loading(order.upstream, *load))
        return tuple(loading)

    def _make_reply(self, watch: messages.Watch) -> messages.WatchReply:
        numbered = self._machine.numbered
        document = b""
        if numbered.number > watch.number:
            document = self._compress_document()
        members = self._state.replica.membership.ids
        self._book.learn_members(members)
        names = {member.partition(".")[0] for member in members}
        return messages.WatchReply(
            number=numbered.number,
            document=document,
            weights=numbered.weights,
            members=tuple(self._book[name] for name in sorted(names)),
            leader=self._state.leader_address(),
            loading=self._loading(),
            replaced=self._tables.weights.encode(time.monotonic()),
        )

    def _compress_document(self) -> bytes:
        """Returns: the applied document, compressed; empty for none."""
        numbered = self._machine.numbered
        if self._compressed[0] != numbered.number:
            data = zlib.compress(numbered.content, _COMPRESSION_LEVEL)
            self._compressed = (numbered.number, data)
        return self._compressed[1]


def make_service(
    state: numbered_state.NumberedState,
    machine: machines.Machine,
    book: address_book.AddressBook,
    durable: bool,
    join: Callable[[messages.Join], None],
    stores: store_watch.StoreWatch,
    relay: list_relay.ListRelay,
    retry_window_s: float = node_settings.Bounds().retry_window_s,
) -> AuthorityService:
    return AuthorityService(
        state, machine, book, durable, join, stores, relay, retry_window_s
    )
