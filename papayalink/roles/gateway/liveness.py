"""Finds out whether a replica that is silent can still be reached."""

import time

import gevent

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import fleet_member
from papayalink.transport import errors
from papayalink.transport import upstream_channels

# A replica that was heard or reached this lately is not asked again.
FRESH_S = 0.4
# Connections that must fail in a row: single packets get lost.
ATTEMPTS = 2
# A replica that was not reached is tried apart from calls this often.
PROBE_PERIOD_S = 0.5
# Given up after this; the list will have dropped it by then.
PROBE_FOR_S = 30.0


class Liveness:
    """Connects to replicas that say nothing, once for all calls that wait.

    A machine without power does not answer at all, and a connection to it
    stays open. A new connection tells within a few round trips.
    """

    __slots__ = ("_channels", "_metrics", "_checking", "_probing", "_log")

    def __init__(
        self,
        channels: upstream_channels.Channels,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._channels = channels
        self._metrics = metrics
        self._checking: dict[str, gevent.Greenlet] = {}
        self._probing: set[str] = set()
        self._log = logs.get_logger()

    def is_reachable(self, member: fleet_member.Member) -> bool:
        """Returns: whether the replica was heard lately or answers now."""
        if time.monotonic() - member.heard_at < FRESH_S:
            return True
        name = member.replica.replica_id
        check = self._checking.get(name)
        if check is None:
            check = gevent.spawn(self._check, member)
            self._checking[name] = check
        return check.get()

    def note_not_reached(self, member: fleet_member.Member) -> None:
        """Keep calls away until a connection was made."""
        member.set_reachable(False)
        name = member.replica.replica_id
        if name not in self._probing:
            self._probing.add(name)
            self._log.warning(
                "replica_lost", replica=name, address=member.replica.address
            )
            self._metrics.count("replicas_lost")
            self._channels.forget(member.replica.address)
            gevent.spawn(self._probe, member)

    def _check(self, member: fleet_member.Member) -> bool:
        try:
            for _ in range(ATTEMPTS):
                if self._connect(member):
                    return True
            self.note_not_reached(member)
            return False
        finally:
            del self._checking[member.replica.replica_id]

    def _probe(self, member: fleet_member.Member) -> None:
        name = member.replica.replica_id
        until = time.monotonic() + PROBE_FOR_S
        try:
            while time.monotonic() < until:
                gevent.sleep(PROBE_PERIOD_S)
                if self._connect(member):
                    member.set_reachable(True)
                    self._log.info("replica_reached", replica=name)
                    return
        finally:
            self._probing.discard(name)

    def _connect(self, member: fleet_member.Member) -> bool:
        try:
            self._channels.check(member.replica.address)
        except errors.NotConnected:
            return False
        member.heard_at = time.monotonic()
        return True


def make_liveness(
    channels: upstream_channels.Channels, metrics: metrics_module.Metrics
) -> Liveness:
    return Liveness(channels, metrics)
