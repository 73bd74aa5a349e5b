"""Task that exchanges reports with a control member five times a second."""

from collections.abc import Callable
import time

import gevent

from papayalink import clock as clocks
from papayalink import logs
from papayalink import tasks
from papayalink.coordination import fleet as fleets
from papayalink.coordination import retry_shares
from papayalink.coordination import table_exchange
from papayalink.coordination import windows
from papayalink.protocol import messages
from papayalink.roles import node as nodes
from papayalink.roles.gateway import crashes as crash_observers
from papayalink.roles.gateway import departures
from papayalink.roles.gateway import limits as limit_keepers
from papayalink.roles.gateway import listing as listings
from papayalink.roles.gateway import liveness as livenesses
from papayalink.state import part_directory
from papayalink.transport import errors

CALL_TIMEOUT_S = 0.8
# An entry learns of the work of other entries with this delay, which is about
# the time that a replica takes to prefill a long prompt.
EXCHANGE_PERIOD_S = 0.2
RETRY_DELAY_S = 0.3
# A member that did not answer is asked again after this, unless no other one
# has answered since.
FAILURE_MEMORY_S = 1.0
# The directory is cleared after this long without a reply, since the contents
# of stores may have changed; a restart of a store is reported within about a
# second.
DIRECTORY_TIMEOUT_S = 3.0
# An entry uses a share of its own of the limits of replicas after this long
# without a reply.
PERMITS_TIMEOUT_S = 1.5
# The number of entries counts for this long at least, since a new leader knows
# few of them at first.
ENTRIES_PERIOD_S = 10.0
# Share of the replicas up to which the reports of other entries are trusted
# without a check. Outages take up to half of a service at once.
MAX_LOST_SHARE = 0.5


class PartsFollower:
    """Copies a member's directory of stored parts, and exchanges reports.

    It reports work, lost replicas and changes of the shared tables, and learns
    what the other entries reported.

    Args:
        members: returns the addresses of members, the preferred one first.
            All entries should follow the same member, which then knows the
            work of all of them.
        fleet: reports the work of this entry, and takes that of the others.
        liveness: checks replicas that other entries cannot reach.
        tables: shared with the other entries through the member.
        crashes: relates the ends of replicas to calls.
        limit_keeper: uses the limits that replicas name.
        departing: avoids replicas that say that they leave.
        listing: applies the list that the member has read.
        directory: this entry's copy of the member's directory.
    """

    __slots__ = (
        "_node",
        "_members",
        "_failed_at",
        "_fleet",
        "_liveness",
        "_crashes",
        "_tables",
        "_table_exchange",
        "_limit_keeper",
        "_departures",
        "_listing",
        "_list_number",
        "_list_member",
        "_directory",
        "_source",
        "_number",
        "_entries",
        "_answered_s",
        "_read_at",
        "_retry_share",
        "_retry_share_asked_at",
        "_clock",
        "_log",
    )

    def __init__(
        self,
        node: nodes.Node,
        members: Callable[[], list[str]],
        fleet: fleets.Fleet,
        liveness: livenesses.Liveness,
        tables: table_exchange.TableSet,
        crashes: crash_observers.CrashObserver,
        limit_keeper: limit_keepers.LimitKeeper,
        departing: departures.Departures,
        listing: listings.Listing,
        directory: part_directory.PartDirectory,
    ) -> None:
        self._node = node
        self._members = members
        # By address of a member, when it last gave no answer.
        self._failed_at: dict[str, float] = {}
        self._fleet = fleet
        self._liveness = liveness
        self._crashes = crashes
        self._limit_keeper = limit_keeper
        self._departures = departing
        self._tables = tables
        self._table_exchange = table_exchange.make_table_exchange(tables)
        self._listing = listing
        # Number of the list in use, 0 for none, at the member asked last.
        self._list_number = 0
        self._list_member = ""
        self._directory = directory
        self._source = ""
        self._number = 0
        self._entries = windows.TwoWindows(ENTRIES_PERIOD_S)
        # Time in which a member answered, for the number of entries: while
        # none does, it stays as it was.
        self._answered_s = 0.0
        self._read_at = time.monotonic()
        # Its lease goes on while this VM is paused.
        self._clock = clocks.make_clock()
        self._retry_share = 0.0
        self._retry_share_asked_at = float("-inf")
        self._log = logs.get_logger()

    def entries(self) -> int:
        """Returns: number of entries that use the same replicas."""
        return int(self._entries.largest(self._answered_s))

    def retry_share(self) -> float:
        """Returns: share of the constant part of the retry allowance."""
        age_s = self._clock.now() - self._retry_share_asked_at
        return self._retry_share if age_s < retry_shares.LEASE_S else 0.0

    def start(self) -> None:
        tasks.spawn_again(self._run)

    def _run(self) -> None:
        while True:
            self._liveness.keep_probing(self._fleet.all_members())
            member = self._choose_member()
            if self._exchange(member):
                gevent.sleep(EXCHANGE_PERIOD_S)
                continue
            self._failed_at[member] = time.monotonic()
            if time.monotonic() - self._read_at > PERMITS_TIMEOUT_S:
                self._limit_keeper.add_own_permits(self.entries())
            if time.monotonic() - self._read_at > DIRECTORY_TIMEOUT_S:
                self._directory.clear()
                self._source = ""
            gevent.sleep(RETRY_DELAY_S)

    def _choose_member(self) -> str:
        """Returns: the preferred member of those that may answer.

        A member that is preferred since the last failure, for example a new
        leader, comes before those that have yet to fail.
        """
        oldest = time.monotonic() - FAILURE_MEMORY_S
        self._failed_at = {
            member: failed_at
            for member, failed_at in self._failed_at.items()
            if failed_at > oldest
        }
        return min(
            self._members(),
            key=lambda member: self._failed_at.get(member, float("-inf")),
        )

    def _exchange(self, address: str) -> bool:
        now = time.monotonic()
        asked_at = self._clock.now()
        self._note_software()
        if address != self._list_member:
            # Each member numbers the lists that it reads by itself.
            self._list_member, self._list_number = address, 0
        message = messages.Parts(
            self._node.settings.name,
            self._source,
            self._number,
            self._fleet.own_work(),
            self._fleet.lost(),
            self._list_number if self._listing.relayed else 0,
            self._table_exchange.report(now),
            self._crashes.refused_keys(),
            self._limit_keeper.wanted(),
            self.retry_share(),
        )
        try:
            reply = self._node.rpc_client.call(
                address, "Parts", message, CALL_TIMEOUT_S
            )
        except errors.TransportError as error:
            self._log.debug("parts_not_read", member=address, reason=error)
            return False
        if reply.whole:
            self._directory.clear()
        self._directory.apply(reply.changes)
        # The ages in a reply count from its making. This process may have
        # stood still since, so they are taken from the time of the request.
        self._apply_list(reply, time.monotonic() - now)
        self._note_software()
        self._source = reply.source
        self._number = reply.number
        self._answered_s += min(now - self._read_at, PERMITS_TIMEOUT_S)
        self._read_at = now
        if reply.retry_share is not None:
            self._retry_share = reply.retry_share
            self._retry_share_asked_at = asked_at
        self._entries.raise_to(reply.entries, self._answered_s)
        self._fleet.update_other_work(reply.work, self._read_at)
        self._note_lost(reply)
        self._merge_tables(reply)
        return True

    def _note_software(self) -> None:
        """Record the versions that the newest list names."""
        age_s = self._listing.age_s()
        if age_s < float("inf"):
            now = time.monotonic()
            self._tables.software.note(self._fleet.software(), now, age_s)

    def _merge_tables(self, reply: messages.PartsReply) -> None:
        """Merge what the other entries know of parts and of limits."""
        now = self._read_at
        self._crashes.permit_trials(reply.trials)
        if "suspects" in self._table_exchange.merge(
            reply.tables, now, time.monotonic()
        ):
            self._crashes.log_changes()
        # Also applies them to replicas that are newly listed.
        self._limit_keeper.apply()
        self._departures.apply()
        self._limit_keeper.add_permits(reply.granted, now)

    def _note_lost(self, reply: messages.PartsReply) -> None:
        """Act on replicas that other entries cannot reach."""
        widely_lost: frozenset[str] = frozenset(reply.widely_lost)
        if len(widely_lost) > MAX_LOST_SHARE * self._fleet.size:
            # More likely the others are cut off than the replicas gone.
            widely_lost = frozenset()
        for replica_id in reply.lost:
            member = self._fleet.find(replica_id)
            if member is None or not member.reachable:
                continue
            if replica_id in widely_lost:
                self._liveness.note_lost_to_others(member)
            else:
                gevent.spawn(self._liveness.is_reachable, member)

    def _apply_list(
        self, reply: messages.PartsReply, waited_s: float = 0.0
    ) -> None:
        """Apply the list that the member has read, unless it is older.

        Args:
            waited_s: time since the request, by which the list may be older.
        """
        age_s = reply.list_age_ms / 1000 + waited_s
        if not reply.list_number or age_s >= self._listing.age_s():
            self._list_number = 0
            return
        if reply.listed:
            self._listing.apply(reply.listed)
            self._list_number = reply.list_number
        elif not self._listing.relayed:
            # The list that the member calls unchanged was replaced meanwhile.
            self._list_number = 0
            return
        self._listing.note_age(age_s)


def make_parts_follower(
    node: nodes.Node,
    members: Callable[[], list[str]],
    fleet: fleets.Fleet,
    liveness: livenesses.Liveness,
    tables: table_exchange.TableSet,
    crashes: crash_observers.CrashObserver,
    limit_keeper: limit_keepers.LimitKeeper,
    departing: departures.Departures,
    listing: listings.Listing,
    directory: part_directory.PartDirectory,
) -> PartsFollower:
    return PartsFollower(
        node,
        members,
        fleet,
        liveness,
        tables,
        crashes,
        limit_keeper,
        departing,
        listing,
        directory,
    )
