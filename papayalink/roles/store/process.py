"""The store process."""

from collections.abc import Callable

from gevent import queue
import msgspec

from papayalink import tasks
from papayalink.coordination import configuration_poller
from papayalink.coordination import retention
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.roles.store import pieces_service
from papayalink.state import tiered_piece_store
from papayalink.transport import http_server

# Revaluing 100,000 pieces takes 200 s; values change over minutes to days.
REVALUE_PERIOD_S = 1.0
# Takes about 5 ms of processor time.
PIECES_PER_REVALUATION = 500


class _RevalueDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class StoreProcess(process.Process):
    """Stores pieces in memory and on disk."""

    __slots__ = (
        "_poller",
        "_store",
        "_document",
        "_server",
        "_inbox",
        "_stopping",
    )

    def __init__(self, node: nodes.Node) -> None:
        super().__init__(node)
        settings = node.settings
        self._stopping = False
        self._inbox = queue.Queue()
        self._poller = configuration_poller.make_configuration_poller(
            node.identity,
            list(settings.controls.values()),
            node.rpc_client,
            node.clock,
            node.timers,
        )
        self._store = tiered_piece_store.make_store(
            settings.data_folder,
            settings.memory_bytes,
            settings.disk_bytes,
            retention.ReturnPolicy(),
            node.clock,
        )
        self._document = self._poller.document
        self._poller.add_listener(self._on_reply)
        service = pieces_service.make_pieces_service(
            self._store, lambda: self._stopping, node.metrics
        )
        self._server = http_server.make_server(
            nodes.parse_address(settings.listen),
            http_server.require_signature(service, node.signer),
        )

    @property
    def accepting(self) -> bool:
        return self._poller.confirmed and not self._stopping

    def start(self) -> None:
        self._poller.start()
        self._server.start()
        self._node.timers.every(REVALUE_PERIOD_S, self._inbox, _RevalueDue())
        tasks.spawn(self._run)

    def drain(self) -> None:
        self._stopping = True
        self._server.stop()
        self._poller.stop()

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "lease_left_s": lambda: self._poller.lease_left_s,
            "configuration_version": lambda: self._poller.version,
            "disk_used_bytes": lambda: self._store.usage().used_bytes,
            "pieces": lambda: self._store.usage().pieces,
        }

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "version": self._poller.version,
            "lease_left_s": self._poller.lease_left_s,
            "in_flight": self._server.in_flight,
            "usage": self._store.usage_by_tier(),
        }

    def _run(self) -> None:
        while True:
            self._inbox.get()
            self._store.revalue(PIECES_PER_REVALUATION)

    def _on_reply(self) -> None:
        document = self._poller.document
        if document is not self._document:
            self._document = document
            self._store.set_entitlements(
                {
                    workspace.name: workspace.cache_share
                    for workspace in document.workspaces
                    if workspace.cache_share
                }
            )


def make_process(node: nodes.Node) -> StoreProcess:
    return StoreProcess(node)
