"""Settings of a replica, and loading of its node from the log store."""

from collections.abc import Iterable
from collections.abc import Iterator
import secrets
from typing import Protocol

import msgspec

from papayalink.coordination import errors
from papayalink.coordination.raft import core
from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.state import errors as state_errors
from papayalink.state import log_store


class StateMachine(Protocol):
    """State machine to which a replica applies committed commands."""

    def apply(self, index: int, data: bytes) -> bytes: ...

    def snapshot(self) -> Iterator[bytes]:
        """Return the state as of the call, in parts.

        The iterator is consumed while later commands are applied. It is
        closed when it is not consumed to the end.
        """

    def restore(self, parts: Iterable[bytes]) -> None:
        """Replace the state after the last part has been consumed."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one replica.

    Attributes:
        member_id: id of this member; a lost disk requires a new one.
        tick_s: seconds between ticks.
        election_ticks: shortest election timeout; the longest is one tick
            less than twice this.
        first_election_ticks: shortest election timeout after a start, until
            a leader is known; it grows by as much with each election that
            nobody wins, up to election_ticks. Pre-votes keep a short one from
            disturbing a live leader. None to use election_ticks.
        heartbeat_ticks: ticks between heartbeats.
        snapshot_entries: applied entries after which a snapshot is taken.
        snapshot_bytes: applied bytes after which a snapshot is taken. In
            both cases as many bytes as the last snapshot holds must have
            been applied, so that snapshots write no more than the log does.
        seed: seed of the election timeouts, None for a random one.
    """

    member_id: str
    tick_s: float = 0.05
    election_ticks: int = 10
    first_election_ticks: int | None = None
    heartbeat_ticks: int = 2
    snapshot_entries: int = 1000
    # Besides the snapshot, a restart reads at most this much of the log, or
    # as much as the snapshot if that is larger.
    snapshot_bytes: int = 16 * 1024 * 1024
    seed: int | None = None


def load(
    settings: Settings,
    store: log_store.LogStore,
    machine: StateMachine,
    bootstrap: memberships.Membership | None,
) -> tuple[core.Node, messages.Snapshot | None]:
    """Load a member, or initialize a new one.

    Returns: its node, and the snapshot it starts from, if any.
    Raises:
        StorageFailed: the store cannot be read or written.
    """
    try:
        stored = store.load()
        snapshot = None
        if stored.snapshot is not None:
            snapshot = messages.decode_snapshot(stored.snapshot.parts)
            machine.restore(snapshot.parts)
        elif bootstrap is not None and not stored.entries:
            snapshot = messages.Snapshot(
                0, 0, bootstrap, tuple(machine.snapshot())
            )
            store.save_snapshot(0, 0, messages.encode_snapshot(snapshot))
    except state_errors.StateError as error:
        store.close()
        raise errors.StorageFailed(str(error)) from error
    seed = settings.seed
    node = core.make_node(
        inputs.Config(
            member_id=settings.member_id,
            seed=secrets.randbits(64) if seed is None else seed,
            hard_state=stored.hard_state,
            snapshot=snapshot,
            entries=stored.entries,
            election_ticks=settings.election_ticks,
            first_election_ticks=settings.first_election_ticks,
            heartbeat_ticks=settings.heartbeat_ticks,
            paced_reads=True,
        )
    )
    return node, snapshot
