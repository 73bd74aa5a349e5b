"""Reads the platform's list once for all entries that ask here."""

import time

import gevent
from gevent import event

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink import tasks
from papayalink.coordination import upstream_client
from papayalink.state import replicas

# Entries read the list by themselves once it is older than 1.5 s here.
PERIOD_S = 0.6
# The list is not read while no entry asked for this long.
WANTED_S = 2.0


class ListRelay:
    """Newest reading of the list, read only while entries ask for it."""

    __slots__ = (
        "_client",
        "_metrics",
        "_listed",
        "_number",
        "_read_at",
        "_wanted_at",
        "_wanted",
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
        self._number = 0
        self._read_at = 0.0
        self._wanted_at = 0.0
        self._wanted = event.Event()
        self._failing = False
        self._log = logs.get_logger()

    @property
    def number(self) -> int:
        """Goes up with each reading that differs, 0 before the first."""
        return self._number

    @property
    def listed(self) -> tuple[replicas.Replica, ...]:
        return self._listed

    def age_ms(self) -> int:
        """Returns: milliseconds since the list was read."""
        return int((time.monotonic() - self._read_at) * 1000)

    def note_wanted(self) -> None:
        """An entry asks; the list is read from now on."""
        self._wanted_at = time.monotonic()
        self._wanted.set()

    def start(self) -> None:
        tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            if time.monotonic() - self._wanted_at > WANTED_S:
                self._wanted.clear()
                continue
            self._read()
            gevent.sleep(PERIOD_S)

    def _read(self) -> None:
        # The answer shows the list as it was when it was asked for.
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
            self._number += 1


def make_list_relay(
    client: upstream_client.UpstreamClient, metrics: metrics_module.Metrics
) -> ListRelay:
    return ListRelay(client, metrics)
