"""Settings of a replica, and its node as loaded from the log store."""

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
    """What a replica applies committed commands to."""

    def apply(self, index: int, data: bytes) -> bytes: ...

    def snapshot(self) -> Iterator[bytes]:
        """Returns: parts of the state as it is at the call.

        They are taken while commands are applied, and closed when not all
        of them are taken.
        """

    def restore(self, parts: Iterable[bytes]) -> None:
        """Replace the state, once the last part has been taken."""


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one replica.

    Attributes:
        member_id: own id; a member whose disk was lost needs a new one.
        tick_s: seconds between ticks.
        election_ticks: shortest election timeout; the longest is below
            twice as long.
        first_election_ticks: shortest timeout of the first election after
            a start; pre-votes keep it from disturbing a living leader.
        heartbeat_ticks: ticks between heartbeats.
        snapshot_entries: applied entries after which a snapshot is taken.
        snapshot_bytes: applied bytes after which a snapshot is taken. Both
            wait until as many bytes were applied as the last snapshot has,
            so that snapshots cost no more than the log.
        seed: seed of the election timeouts, None to draw one.
    """

    member_id: str
    tick_s: float = 0.05
    election_ticks: int = 10
    first_election_ticks: int | None = None
    heartbeat_ticks: int = 2
    snapshot_entries: int = 1000
    # A restart reads at most this much besides the snapshot, or as much
    # again as the snapshot.
    snapshot_bytes: int = 16 * 1024 * 1024
    seed: int | None = None


def load(
    settings: Settings,
    store: log_store.LogStore,
    machine: StateMachine,
    bootstrap: memberships.Membership | None,
) -> tuple[core.Node, messages.Snapshot | None]:
    """Load a member, or set up a new one.

    Returns: its node, and the snapshot that the machine was restored from.
    Raises:
        StorageFailed: the store cannot be read, or not be written.
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
