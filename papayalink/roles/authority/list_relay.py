"""Reads the list of replicas once for all entries that ask this member."""

import time

import gevent
from gevent import event

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import tasks
from papayalink.coordination import software_history
from papayalink.coordination import upstream_client
from papayalink.state import replicas

# Entries read the list themselves once this member's is older than 1.5 s.
READ_PERIOD_S = 0.6
# Reading stops when no entry has asked for this long.
DEMAND_TIMEOUT_S = 2.0


class ListRelay:
    """Holds the newest list, and reads it only while entries ask for it."""

    __slots__ = (
        "_client",
        "_metrics",
        "_listed",
        "_software",
        "_number",
        "_read_at",
        "_demanded_at",
        "_demanded",
        "_failing",
        "_log",
    )

    def __init__(
        self,
        client: upstream_client.UpstreamClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._listed: tuple[replicas.Replica, ...] = ()
        self._software: dict[str, set[str]] = {}
        self._number = 0
        self._read_at = 0.0
        self._demanded_at = 0.0
        self._demanded = event.Event()
        self._failing = False
        self._log = logs.get_logger()

    @property
    def number(self) -> int:
        """Increases with each list that differs; 0 before the first one."""
        return self._number

    @property
    def listed(self) -> tuple[replicas.Replica, ...]:
        return self._listed

    @property
    def software(self) -> dict[str, set[str]]:
        """Software versions of the listed replicas, by service."""
        return self._software

    @property
    def read_at(self) -> float:
        """Time in seconds at which the list was read, 0 before that."""
        return self._read_at

    def age_ms(self) -> int:
        """Returns: milliseconds since the list was read."""
        return int((time.monotonic() - self._read_at) * 1000)

    def note_demand(self) -> None:
        """Record that an entry has asked for the list."""
        self._demanded_at = time.monotonic()
        self._demanded.set()

    def start(self) -> None:
        tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._demanded.wait()
            if time.monotonic() - self._demanded_at > DEMAND_TIMEOUT_S:
                self._demanded.clear()
                continue
            self._read()
            gevent.sleep(READ_PERIOD_S)

    def _read(self) -> None:
        # The answer shows the list as it was at the time of the request.
        asked_at = time.monotonic()
        try:
            listed = tuple(self._client.list_replicas())
        except upstream_client.UpstreamClientError as error:
            if not self._failing:
                self._log.warning("list_lost", reason=error)
            self._failing = True
            self._metrics.count("list_reads", result="failed")
            return
        if self._failing:
            self._log.info("list_read", replicas=len(listed))
        self._failing = False
        self._metrics.count("list_reads", result="read")
        self._read_at = asked_at
        if listed != self._listed or not self._number:
            self._listed = listed
            self._software = software_history.versions_by_service(listed)
            self._number += 1


def make_list_relay(
    client: upstream_client.UpstreamClient, metrics: metrics_module.Metrics
) -> ListRelay:
    return ListRelay(client, metrics)
