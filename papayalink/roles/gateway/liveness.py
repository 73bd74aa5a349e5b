"""Checks whether a silent replica can still be reached."""

from collections.abc import Iterable
import time

import gevent

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import change_signal
from papayalink.coordination import fleet_member
from papayalink.transport import errors
from papayalink.transport import upstream_channels

# A replica that answered or was reached this recently is not checked again.
HEARD_RECENTLY_S = 0.4
# Connection attempts that must fail in a row, since single packets get lost.
CONNECT_ATTEMPTS = 2
# Calls avoid an unreachable replica; a probe tries to connect this often.
PROBE_PERIOD_S = 0.5
# Probing stops after this, and goes on for replicas that are still listed.
PROBE_DURATION_S = 30.0
# A replica that this entry has reached within this time is checked again, and
# not given up, when other entries have lost it.
OWN_CONTACT_S = 3.0
# Once a lost replica is reached, the others are probed, since the same pause
# may have ended for them. Calls that wait are told this much later, a few
# round trips, so that not all of them choose the first.
OTHERS_WAIT_S = 0.02


class Liveness:
    """Checks a silent replica once for all calls that wait for it.

    A machine that lost power answers nothing, and connections to it stay
    open. A new connection shows within a few round trips whether it is up.

    Args:
        changed: notified when a lost replica is reached.
    """

    __slots__ = (
        "_channels",
        "_metrics",
        "_changed",
        "_reached",
        "_checking",
        "_probing",
        "_unverified",
        "_log",
    )

    def __init__(
        self,
        channels: upstream_channels.Channels,
        metrics: metrics_module.Metrics,
        changed: change_signal.ChangeSignal,
    ) -> None:
        self._channels = channels
        self._metrics = metrics
        self._changed = changed
        # Wakes the probes of all lost replicas.
        self._reached = change_signal.make_change_signal()
        # By record, not by id: a replica may start again under its id.
        self._checking: dict[fleet_member.Member, gevent.Greenlet] = {}
        self._probing: set[fleet_member.Member] = set()
        # Those of them that only other entries have failed to reach.
        self._unverified: set[fleet_member.Member] = set()
        self._log = logs.get_logger()

    def is_reachable(self, member: fleet_member.Member) -> bool:
        """Returns: whether the replica answered recently or accepts now."""
        if time.monotonic() - member.heard_at < HEARD_RECENTLY_S:
            return True
        if member in self._probing and member not in self._unverified:
            return False
        return self._join_check(member)

    def has_ended(self, member: fleet_member.Member) -> bool:
        """Returns: whether the replica's process is gone.

        Its machine refuses connections then. A replica that is silent or cut
        off does not, and may go on.
        """
        if time.monotonic() - member.refused_at < HEARD_RECENTLY_S:
            return True
        self._join_check(member)
        return time.monotonic() - member.refused_at < HEARD_RECENTLY_S

    def note_lost_to_others(self, member: fleet_member.Member) -> None:
        """Act on a replica that several other entries cannot reach.

        It gets no calls until this entry has reached it, so that not each
        entry finds out by calls of its own.
        """
        if time.monotonic() - member.reached_at > OWN_CONTACT_S:
            if member not in self._probing:
                self._unverified.add(member)
            self.note_not_reached(member)
        else:
            gevent.spawn(self.is_reachable, member)

    def note_not_reached(self, member: fleet_member.Member) -> None:
        """Send the replica no calls until a connection succeeds."""
        if member.reachable:
            member.lost_at = time.monotonic()
        member.set_reachable(False)
        if member not in self._probing:
            self._log.warning(
                "replica_lost",
                replica=member.replica.replica_id,
                address=member.replica.address,
            )
            self._metrics.count("replicas_lost")
            self._channels.close_idle(member.replica.address)
            member.reached_at = float("-inf")
            self._start_probing(member)

    def keep_probing(self, members: Iterable[fleet_member.Member]) -> None:
        """Go on with the lost replicas among those that are listed."""
        for member in members:
            if not member.reachable and member not in self._probing:
                self._start_probing(member)

    def _join_check(self, member: fleet_member.Member) -> bool:
        """Returns: whether a connection could be made."""
        check = self._checking.get(member)
        if check is None:
            check = gevent.spawn(self._check, member)
            self._checking[member] = check
        return check.get()

    def _check(self, member: fleet_member.Member) -> bool:
        try:
            for _ in range(CONNECT_ATTEMPTS):
                if self._connect(member):
                    return True
            self._unverified.discard(member)
            self.note_not_reached(member)
            return False
        finally:
            del self._checking[member]

    def _start_probing(self, member: fleet_member.Member) -> None:
        self._probing.add(member)
        gevent.spawn(self._probe, member)

    def _probe(self, member: fleet_member.Member) -> None:
        probe_until = time.monotonic() + PROBE_DURATION_S
        try:
            while time.monotonic() < probe_until:
                self._reached.wait(PROBE_PERIOD_S)
                if self._connect(member):
                    member.set_reachable(True)
                    self._log.info(
                        "replica_reached", replica=member.replica.replica_id
                    )
                    gevent.spawn(self._tell_reached)
                    return
        finally:
            self._probing.discard(member)
            self._unverified.discard(member)

    def _tell_reached(self) -> None:
        """Probe the other lost replicas, then wake the calls that wait."""
        self._reached.notify()
        gevent.sleep(OTHERS_WAIT_S)
        self._changed.notify()

    def _connect(self, member: fleet_member.Member) -> bool:
        try:
            self._channels.probe(member.replica.address)
        except errors.ConnectionRefused:
            member.refused_at = time.monotonic()
            return False
        except errors.NotConnected:
            member.unanswered_at = time.monotonic()
            return False
        member.heard_at = time.monotonic()
        member.reached_at = member.heard_at
        return True


def make_liveness(
    channels: upstream_channels.Channels,
    metrics: metrics_module.Metrics,
    changed: change_signal.ChangeSignal,
) -> Liveness:
    return Liveness(channels, metrics, changed)
