"""Task that keeps the fleet as the platform lists it."""

from collections.abc import Callable
import random
import time

import gevent

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import tasks
from papayalink.coordination import fleet as fleets
from papayalink.coordination import upstream_client

# A leaving upstream gets no more work after 3 s; the list lags by up to a
# second and an answer may be lost once.
PERIOD_S = 1.0
RETRY_S = 0.3


class Listing:
    """Reads the list once a period.

    Args:
        forget: called with the address of each replica that left.
    """

    __slots__ = (
        "_client",
        "_fleet",
        "_forget",
        "_metrics",
        "_read_at",
        "_failing",
        "_log",
    )

    def __init__(
        self,
        client: upstream_client.UpstreamClient,
        fleet: fleets.Fleet,
        forget: Callable[[str], None],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._forget = forget
        self._metrics = metrics
        self._read_at: float | None = None
        self._failing = False
        self._log = logs.get_logger()

    def age_s(self) -> float:
        """Returns: seconds since the list was read."""
        if self._read_at is None:
            return float("inf")
        return time.monotonic() - self._read_at

    def start(self) -> None:
        tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            period_s = PERIOD_S if self._read() else RETRY_S
            gevent.sleep(period_s * random.uniform(0.9, 1.1))

    def _read(self) -> bool:
        try:
            listed = self._client.list_replicas()
        except upstream_client.UpstreamClientError as error:
            if not self._failing:
                self._log.warning("list_lost", reason=error)
            self._failing = True
            self._metrics.count("list_reads", result="failed")
            return False
        if self._failing or self._read_at is None:
            self._log.info("list_read", replicas=len(listed))
        self._failing = False
        self._read_at = time.monotonic()
        self._metrics.count("list_reads", result="read")
        for member in self._fleet.update(listed):
            self._log.info(
                "replica_leaves",
                replica=member.replica.replica_id,
                service=member.replica.service,
                address=member.replica.address,
            )
            self._forget(member.replica.address)
        return True


def make_listing(
    client: upstream_client.UpstreamClient,
    fleet: fleets.Fleet,
    forget: Callable[[str], None],
    metrics: metrics_module.Metrics,
) -> Listing:
    return Listing(client, fleet, forget, metrics)
