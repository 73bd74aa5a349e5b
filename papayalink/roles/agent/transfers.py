"""Transfers of pieces from stores to the engine, and their rates."""

import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import links
from papayalink.coordination import restore as restores
from papayalink.protocol import pieces
from papayalink.roles.agent import pieces_client
from papayalink.roles.agent import store_links

# Rate at which the engine takes pieces before the first one; far above that
# of a network link, since both are on one VM.
ASSUMED_ENGINE_BYTES_PER_S = 2**30


class Reading(msgspec.Struct):
    """The piece that is on its way.

    Attributes:
        store: store it is read from.
        size_bytes: its expected length.
        began: time in seconds.
    """

    store: str
    size_bytes: int
    began: float


class Transfers:
    """What all imports of one agent share.

    Args:
        engine: takes pieces.
        client: reads pieces.
        agent_links: links to the stores.
        clock: time of transfers.
        metrics: counts pieces and times.
    """

    __slots__ = (
        "_engine",
        "_client",
        "_links",
        "_clock",
        "_metrics",
        "_engine_rate",
        "_log",
    )

    def __init__(
        self,
        engine: engines.Engine,
        client: pieces_client.PiecesClient,
        agent_links: store_links.StoreLinks,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._engine = engine
        self._client = client
        self._links = agent_links
        self._clock = clock
        self._metrics = metrics
        self._engine_rate = links.RateEstimate(ASSUMED_ENGINE_BYTES_PER_S)
        self._log = logs.get_logger()

    @property
    def client(self) -> pieces_client.PiecesClient:
        return self._client

    @property
    def agent_links(self) -> store_links.StoreLinks:
        return self._links

    @property
    def clock(self) -> clocks.Clock:
        return self._clock

    def rates(
        self, stores: set[str], priority: links.Priority
    ) -> dict[str, restores.Link]:
        """Returns: links as a plan sees them, from read to import."""
        seen = {}
        for name in stores:
            link = self._links.link(name)
            read_rate = link.estimate.bytes_per_s
            rate = 1 / (1 / read_rate + 1 / self._engine_rate.bytes_per_s)
            queue_s = link.queued_bytes(priority) / read_rate
            seen[name] = restores.Link(rate, queue_s)
        return seen

    def record(self, reading: Reading, payload: bytes | None) -> None:
        """Learn from a transfer that has ended, in any way."""
        now = self._clock.now()
        estimate = self._links.link(reading.store).estimate
        elapsed = now - reading.began
        if payload is not None:
            self._links.piece_bytes = len(payload)
            estimate.record(len(payload), elapsed, now)
        elif reading.size_bytes < elapsed * estimate.bytes_per_s:
            # It was stopped late, so the link is no faster than this.
            estimate.record(reading.size_bytes, elapsed, now)

    def give(self, key: pieces.PieceKey, digest: str, payload: bytes) -> bool:
        """Import one piece. Returns: whether the engine took it."""
        began = self._clock.now()
        try:
            self._engine.import_piece(
                key.workspace, key.weight_version, digest, payload
            )
        except adapter_errors.AdapterError as error:
            # Among them 409: the engine has other weights by now.
            self._log.warning("import_failed", reason=error)
            return False
        now = self._clock.now()
        self._engine_rate.record(len(payload), now - began, now)
        return True

    def count(self, name: str) -> None:
        """Count what happened to a piece or an import."""
        self._metrics.count(name)

    def report(self, imported: int, began: float) -> None:
        """Count an import that has ended."""
        if imported:
            seconds = self._clock.now() - began
            self._metrics.observe("restore", seconds)
            self._metrics.count("pieces_restored", imported)
            self._log.info(
                "cache_restored", pieces=imported, seconds=round(seconds, 4)
            )
