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

# Import rate of the engine before the first import. Far above the rate of a
# network link, since agent and engine are on the same VM.
ASSUMED_ENGINE_BYTES_PER_S = 2**30


class PieceRead(msgspec.Struct):
    """A read of a piece that is in progress.

    Attributes:
        store: store from which the piece is read.
        size_bytes: expected length of the piece.
        started_at: start of the read in seconds of the clock.
    """

    store: str
    size_bytes: int
    started_at: float


class Transfers:
    """Clients, links and rates shared by all imports of one agent.

    Args:
        engine: imports pieces.
        client: reads pieces from stores.
        agent_links: links to the stores.
        clock: measures transfers.
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
        """Returns: rate and queueing time of each link, import included."""
        link_rates = {}
        for name in stores:
            link = self._links.link(name)
            read_rate = link.estimate.bytes_per_s
            rate = 1 / (1 / read_rate + 1 / self._engine_rate.bytes_per_s)
            queue_s = link.queued_bytes(priority) / read_rate
            link_rates[name] = restores.Link(rate, queue_s)
        return link_rates

    def record(self, piece_read: PieceRead, payload: bytes | None) -> None:
        """Update the rate of a link after a read has ended in any way."""
        now = self._clock.now()
        estimate = self._links.link(piece_read.store).estimate
        elapsed = now - piece_read.started_at
        if payload is not None:
            self._links.piece_bytes = len(payload)
            estimate.record(len(payload), elapsed, now)
        elif piece_read.size_bytes < elapsed * estimate.bytes_per_s:
            # The read took longer than estimated before it was stopped, so
            # the link is no faster than this.
            estimate.record(piece_read.size_bytes, elapsed, now)

    def import_piece(
        self, key: pieces.PieceKey, digest: str, payload: bytes
    ) -> bool:
        """Import one piece. Returns: whether the engine accepted it."""
        started_at = self._clock.now()
        try:
            self._engine.import_piece(
                key.workspace, key.weight_version, digest, payload
            )
        except adapter_errors.AdapterError as error:
            # Includes status 409: the engine has other weights by this time.
            self._log.warning("import_failed", reason=error)
            return False
        now = self._clock.now()
        self._engine_rate.record(len(payload), now - started_at, now)
        return True

    def count(self, name: str) -> None:
        """Increment a counter of pieces or imports."""
        self._metrics.count(name)

    def report(self, imported: int, started_at: float) -> None:
        """Record an import that has ended."""
        if imported:
            seconds = self._clock.now() - started_at
            self._metrics.observe("restore", seconds)
            self._metrics.count("pieces_restored", imported)
            self._log.info(
                "cache_restored", pieces=imported, seconds=round(seconds, 4)
            )
