"""Task that runs one member of a replicated group."""

from collections.abc import Callable

import gevent
from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink import timers
from papayalink.coordination import errors
from papayalink.coordination import log_writer
from papayalink.coordination import pending_requests
from papayalink.coordination import replica_loading
from papayalink.coordination import snapshots
from papayalink.coordination.raft import core
from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.state import errors as state_errors
from papayalink.state import log_entries
from papayalink.state import log_store

# Bounds how long the task works without yielding to other greenlets.
_MAX_BATCH_MESSAGES = 500
# Messages beyond this are dropped; peers repeat them. A stalled task could
# not handle them in time anyway.
_MAX_INBOX_MESSAGES = 20_000
# The disk of another member may get full as soon as this one has room.
_DISK_FULL_RETRY_S = 0.25
# Period of the read requests of a member and of the leader's read rounds.
# Without a pause between rounds, 250 polls/s in a group of seven use a whole
# core of the leader. The delay is negligible for a poll, which is due once a
# second.
READ_PERIOD_S = 0.02

# Re-exported so that owners of a replica import only this module.
Settings = replica_loading.Settings
StateMachine = replica_loading.StateMachine


class _Tick(msgspec.Struct, frozen=True):
    pass


class _ReadDue(msgspec.Struct, frozen=True):
    pass


class _ReadRoundDue(msgspec.Struct, frozen=True):
    pass


class _RetryWrite(msgspec.Struct, frozen=True):
    pass


class _Stop(msgspec.Struct, frozen=True):
    pass


class _Deliver(msgspec.Struct, frozen=True):
    messages: list[messages.PeerMessage]


class _Propose(msgspec.Struct, frozen=True):
    data: bytes
    waiter: pending_requests.Waiter


class _Change(msgspec.Struct, frozen=True):
    change: memberships.Change
    waiter: pending_requests.Waiter


class _Read(msgspec.Struct, frozen=True):
    waiter: pending_requests.Waiter


class Replica:
    """One member; its task owns the Raft node, the store and the machine.

    Args:
        settings: see replica_loading.Settings.
        node: Raft node, loaded from the store.
        store: log store of this member.
        machine: state machine, restored from the stored snapshot.
        stored: the stored snapshot, None when there is none.
        timer_service: delivers ticks.
        send: takes a member id and a list of messages; must not block.

    Public methods may be called from any greenlet of the hub.
    """

    __slots__ = (
        "_settings",
        "_node",
        "_store",
        "_machine",
        "_applied",
        "_stored_index",
        "_timers",
        "_send",
        "_inbox",
        "_writer",
        "_tokens",
        "_requests",
        "_reads",
        "_read_due",
        "_snapshotter",
        "_was_leader",
        "_removed",
        "_stop_reason",
        "_failure",
        "_log",
        "_ticks",
        "_task",
    )

    def __init__(
        self,
        settings: Settings,
        node: core.Node,
        store: log_store.LogStore,
        machine: StateMachine,
        stored: messages.Snapshot | None,
        timer_service: timers.TimerService,
        send: Callable[[str, list[messages.PeerMessage]], None],
    ) -> None:
        self._settings = settings
        self._node = node
        self._store = store
        self._machine = machine
        self._applied = 0 if stored is None else stored.index
        self._stored_index = self._applied
        self._timers = timer_service
        self._send = send
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._writer = log_writer.make_log_writer(store, self._inbox)
        self._tokens = pending_requests.make_tokens()
        self._requests = pending_requests.PendingRequests(self._tokens)
        self._reads = pending_requests.PendingReads(self._tokens)
        self._read_due = True
        self._snapshotter = snapshots.make_snapshotter(
            settings, machine, self._inbox, stored
        )
        self._removed = False
        self._was_leader = False
        self._stop_reason: str | None = None
        self._failure: Exception | None = None
        self._log = logs.get_logger(member_id=settings.member_id)
        self._ticks = timer_service.every(
            settings.tick_s, self._inbox, _Tick()
        )
        self._task = tasks.spawn(self._run)

    @property
    def is_leader(self) -> bool:
        return self._stop_reason is None and self._node.is_leader

    @property
    def term(self) -> int:
        return self._node.term

    @property
    def leader_id(self) -> str | None:
        return self._node.leader_id

    @property
    def removed(self) -> bool:
        """Whether the group has removed this member's id permanently."""
        return self._removed

    @property
    def applied_since_start(self) -> bool:
        """Whether anything was applied beyond the stored snapshot."""
        return self._applied > self._stored_index

    @property
    def membership(self) -> memberships.Membership:
        """Membership in force in the log of this member."""
        return self._node.membership

    def propose(self, data: bytes, timeout_s: float) -> bytes:
        """Commit and apply a command.

        Returns: the result that the machine returned for the command.
        Raises:
            NotLeader: not run; the error names the leader if it is known.
            Unavailable: not run.
            Unknown: the command may have been run, or may be run later.
        """
        waiter = pending_requests.Waiter()
        self._put(_Propose(data, waiter))
        return waiter.wait(timeout_s)

    def confirm_read(self, timeout_s: float) -> int:
        """Wait until all entries committed before the call are applied.

        Returns: the read index, which a quorum confirmed after the call.
        Raises:
            Unavailable: no quorum confirmed the index within the timeout.
        """
        waiter = pending_requests.Waiter()
        self._put(_Read(waiter))
        return waiter.wait(timeout_s)

    def change_members(
        self, change: memberships.Change, timeout_s: float = 10.0
    ) -> None:
        """Commit one membership change.

        Raises:
            ChangeRefused: not allowed at present; nothing was changed.
            NotLeader: not run.
            Unavailable: not run.
            Unknown: the change may have taken effect, or may do so later.
        """
        waiter = pending_requests.Waiter()
        self._put(_Change(change, waiter))
        waiter.wait(timeout_s)

    def deliver(self, batch: list[messages.PeerMessage]) -> None:
        """Queue messages from peers; does not block."""
        if (
            self._stop_reason is None
            and self._inbox.qsize() < _MAX_INBOX_MESSAGES
        ):
            self._inbox.put(_Deliver(batch))

    def status(self) -> dict:
        """Returns: the state of this member as plain data, for inspection."""
        node = self._node
        return {
            "member_id": self._settings.member_id,
            "role": node.role.value,
            "term": node.term,
            "leader_id": node.leader_id,
            "members": msgspec.to_builtins(node.membership.members),
            "first_index": node.first_index,
            "last_index": node.last_index,
            "persisted": node.persisted,
            "commit": node.commit,
            "applied": self._applied,
            "snapshot_index": self._snapshotter.index,
            "match": node.match,
            "disk_full": node.disk_full,
            "removed": node.removed,
            "failure": self._stop_reason,
        }

    def stop(self) -> None:
        """Stop the task after the write in progress, and close the store."""
        if self._stop_reason is None:
            self._inbox.put(_Stop())
        self._task.join()

    def join(self) -> None:
        """Wait until the task has ended.

        Raises:
            StorageFailed: it ended because the store failed.
            Exception: the machine raised it.
        """
        self._task.join()
        if self._failure is not None:
            raise self._failure

    def _put(self, request: _Propose | _Change | _Read) -> None:
        if self._stop_reason is not None:
            raise errors.Unavailable(self._stop_reason)
        self._inbox.put(request)

    def _run(self) -> None:
        try:
            while self._stop_reason is None:
                batch = [self._inbox.get()]
                while (
                    len(batch) < _MAX_BATCH_MESSAGES
                    and not self._inbox.empty()
                ):
                    batch.append(self._inbox.get_nowait())
                self._handle(batch)
                # A queue that is never empty would starve other greenlets.
                gevent.sleep(0)
        except Exception as error:
            # A machine that failed to apply a command must not apply the
            # next one.
            self._log.exception("replica failed")
            self._stop_reason = f"the replica failed: {error!r}"
            self._failure = error
        self._ticks.cancel()
        self._log.info("replica_stopped", reason=self._stop_reason)
        self._fail_waiters()
        self._snapshotter.cancel()
        self._writer.join()
        self._store.close()

    def _handle(self, batch: list) -> None:
        node_inputs: list[inputs.Input] = []
        ticked = False
        for message in batch:
            match message:
                case _Tick():
                    # Ticks that accumulated while the task was busy count as
                    # one, as a burst of them would start an election.
                    if not ticked:
                        node_inputs.append(inputs.Tick())
                        self._reads.tick()
                    ticked = True
                case _Deliver(received):
                    node_inputs.extend(
                        inputs.Receive(each) for each in received
                    )
                case _Propose(data, waiter):
                    if not waiter.abandoned:
                        token = self._requests.add(waiter)
                        node_inputs.append(inputs.Propose(data, token))
                case _Change(change, waiter):
                    if not waiter.abandoned:
                        token = self._requests.add(waiter)
                        node_inputs.append(inputs.ChangeMembers(change, token))
                case _Read(waiter):
                    self._reads.add(waiter)
                case _ReadDue():
                    self._read_due = True
                case _ReadRoundDue():
                    node_inputs.append(inputs.ReadRoundDue())
                case log_writer.Written():
                    self._on_written(message, node_inputs)
                case snapshots.Encoded():
                    self._store_snapshot(message)
                case _RetryWrite():
                    self._writer.retry()
                case _Stop():
                    self._stop_reason = "the replica is stopped"
                    return
        self._start_read(node_inputs)
        self._process_ready(self._node.step(inputs.Batch(node_inputs)))
        # The step may have finished the read in progress.
        second_step_inputs: list[inputs.Input] = []
        if self._start_read(second_step_inputs):
            self._process_ready(
                self._node.step(inputs.Batch(second_step_inputs))
            )

    def _start_read(self, node_inputs: list[inputs.Input]) -> bool:
        """Add the next read of the node to the inputs.

        Returns: whether one was due.
        """
        if not self._read_due:
            return False
        read = self._reads.start()
        if read is None:
            return False
        self._read_due = False
        self._timers.after(READ_PERIOD_S, self._inbox, _ReadDue())
        node_inputs.append(read)
        return True

    def _on_written(
        self, written: log_writer.Written, node_inputs: list[inputs.Input]
    ) -> None:
        self._writer.on_finished(written)
        if isinstance(written.error, state_errors.LogFull):
            self._timers.after(_DISK_FULL_RETRY_S, self._inbox, _RetryWrite())
            if not self._node.disk_full:
                self._log.warning("disk_full", error=str(written.error))
            node_inputs.append(inputs.StorageFull())
            return
        if written.error is not None:
            self._stop_reason = f"the log store failed: {written.error}"
            self._failure = errors.StorageFailed(self._stop_reason)
            return
        if self._node.disk_full:
            self._log.info("disk_has_room_again")
            node_inputs.append(inputs.StorageFree())
        if written.write_id is not None:
            node_inputs.append(inputs.Persisted(written.write_id))
        if written.compacted is not None:
            self._snapshotter.on_stored(written.compacted)
            node_inputs.append(inputs.Compacted(written.compacted))

    def _process_ready(self, ready: inputs.Ready) -> None:
        for dropped in ready.dropped:
            self._reads.on_dropped(dropped.token)
            self._requests.on_dropped(dropped, self._node.leader_id)
        for appended in ready.appended:
            self._requests.on_appended(appended)
        if ready.write_id is not None:
            self._writer.submit(
                log_writer.Job(
                    ready.write_id,
                    ready.snapshot,
                    ready.hard_state,
                    ready.entries,
                )
            )
        self._send_all(ready.messages)
        if ready.snapshot is not None:
            self._restore(ready.snapshot)
        for entry in ready.committed:
            self._apply(entry)
        if ready.read_round_begun:
            self._timers.after(READ_PERIOD_S, self._inbox, _ReadRoundDue())
        for read in ready.reads:
            self._reads.on_confirmed(read)
        self._reads.on_applied(self._applied)
        self._start_snapshot_if_due()
        if self._node.is_leader != self._was_leader:
            self._was_leader = self._node.is_leader
            event = "leading" if self._was_leader else "not_leading"
            self._log.info(event, term=self._node.term)
        if ready.removed:
            self._removed = True
            self._stop_reason = "this member was removed"

    def _send_all(self, outgoing: list[messages.PeerMessage]) -> None:
        by_peer: dict[str, list[messages.PeerMessage]] = {}
        for message in outgoing:
            by_peer.setdefault(message.to, []).append(message)
        for peer, batch in by_peer.items():
            try:
                self._send(peer, batch)
            except Exception as error:
                # Raft repeats lost messages, so the member continues.
                self._log.warning("send_failed", to=peer, error=repr(error))

    def _apply(self, entry: log_entries.Entry) -> None:
        outcome = b""
        if entry.kind == log_entries.EntryKind.COMMAND:
            outcome = self._machine.apply(entry.index, entry.data)
        self._applied = entry.index
        self._snapshotter.on_applied(entry)
        self._requests.on_applied(entry, outcome, self._node.leader_id)

    def _restore(self, snapshot: messages.Snapshot) -> None:
        self._snapshotter.restore(snapshot)
        self._applied = snapshot.index
        self._log.info("snapshot_received", index=snapshot.index)
        self._requests.on_snapshot_installed(snapshot.index)

    def _start_snapshot_if_due(self) -> None:
        if not self._node.disk_full:
            self._snapshotter.start_if_due()

    def _store_snapshot(self, encoded: snapshots.Encoded) -> None:
        parts = self._snapshotter.take(encoded)
        if parts is not None:
            # The writer stores it after the entries that it covers.
            snapshot = self._node.make_snapshot(encoded.index, parts)
            self._writer.submit(log_writer.Job(snapshot=snapshot))

    def _fail_waiters(self) -> None:
        self._requests.fail_all(self._stop_reason)
        for waiter in self._reads.remove_all():
            waiter.fail(errors.Unavailable(self._stop_reason))
        while not self._inbox.empty():
            match self._inbox.get_nowait():
                case _Propose(_, waiter) | _Change(_, waiter) | _Read(waiter):
                    waiter.fail(errors.Unavailable(self._stop_reason))


def make_replica(
    settings: Settings,
    store: log_store.LogStore,
    machine: StateMachine,
    timer_service: timers.TimerService,
    send: Callable[[str, list[messages.PeerMessage]], None],
    bootstrap: memberships.Membership | None = None,
) -> Replica:
    """Load a member from its store and start its task.

    Args:
        settings: see replica_loading.Settings.
        store: log store, not yet loaded.
        machine: state machine in its initial state.
        timer_service: delivers ticks.
        send: takes a member id and a list of messages; must not block.
        bootstrap: first members of a new group, the same at each of them;
            used only when the store is empty. None for a member that joins an
            existing group or that lost its disk.
    Returns: the running replica.
    Raises:
        StorageFailed: the store cannot be read or written.
    """
    node, stored = replica_loading.load(settings, store, machine, bootstrap)
    return Replica(settings, node, store, machine, stored, timer_service, send)
