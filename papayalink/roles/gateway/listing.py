"""Task that updates the fleet from the platform's list of replicas."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import time

import gevent

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import tasks
from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import upstream_client
from papayalink.state import replicas

# A leaving upstream must get no more work after 3 s. Control members read the
# list every 0.6 s and pass it on. An entry whose list is older than this reads
# the list itself, and again after the same time.
MAX_LIST_AGE_S = 1.5
CHECK_PERIOD_S = 0.3


class Listing:
    """Applies lists from control members, or reads the list itself.

    Args:
        note_left: called with each replica that is no longer ready or listed.
    """

    __slots__ = (
        "_client",
        "_fleet",
        "_note_left",
        "_metrics",
        "_read_at",
        "_failing",
        "_relayed",
        "_log",
    )

    def __init__(
        self,
        client: upstream_client.UpstreamClient,
        fleet: fleets.Fleet,
        note_left: Callable[[fleet_member.Member], None],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._note_left = note_left
        self._metrics = metrics
        self._read_at: float | None = None
        self._failing = False
        self._relayed = False
        self._log = logs.get_logger()

    def age_s(self) -> float:
        """Returns: seconds since the list was read."""
        if self._read_at is None:
            return float("inf")
        return time.monotonic() - self._read_at

    def start(self) -> None:
        tasks.spawn_again(self._run)

    @property
    def relayed(self) -> bool:
        """Whether the newest list came from a control member."""
        return self._relayed

    def apply(
        self, listed: Iterable[replicas.Replica], relayed: bool = True
    ) -> None:
        """Apply a list that a control member or this entry has read."""
        listed = list(listed)
        self._relayed = relayed
        if self._failing or self._read_at is None:
            self._log.info("list_read", replicas=len(listed))
        self._failing = False
        for member in self._fleet.update(listed):
            again = self._fleet.find(member.replica.replica_id)
            starts_again = again is not None and again is not member
            self._log.info(
                "replica_starts_again" if starts_again else "replica_leaves",
                replica=member.replica.replica_id,
                service=member.replica.service,
                address=member.replica.address,
            )
            self._note_left(member)
        self._read_at = self._read_at or 0.0

    def note_age(self, age_s: float) -> None:
        """Record how long ago the applied list was read."""
        read_at = time.monotonic() - age_s
        self._read_at = max(self._read_at or 0.0, read_at)

    def _run(self) -> None:
        while True:
            if self.age_s() > MAX_LIST_AGE_S:
                self._read()
            gevent.sleep(CHECK_PERIOD_S * random.uniform(0.9, 1.1))

    def _read(self) -> None:
        # The answer shows the list as it was at the time of the request.
        asked_at = time.monotonic()
        try:
            listed = self._client.list_replicas()
        except upstream_client.UpstreamClientError as error:
            if not self._failing:
                self._log.warning("list_lost", reason=error)
            self._failing = True
            self._metrics.count("list_reads", result="failed")
            return
        self._metrics.count("list_reads", result="read")
        if self._read_at is not None and self._read_at > asked_at:
            # A member has told a newer list meanwhile.
            return
        self.apply(listed, False)
        self.note_age(time.monotonic() - asked_at)


def make_listing(
    client: upstream_client.UpstreamClient,
    fleet: fleets.Fleet,
    note_left: Callable[[fleet_member.Member], None],
    metrics: metrics_module.Metrics,
) -> Listing:
    return Listing(client, fleet, note_left, metrics)
