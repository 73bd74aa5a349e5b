"""The store process."""

from collections.abc import Callable
from collections.abc import Iterable

from gevent import queue
import msgspec

from papayalink import tasks
from papayalink.coordination import follower as followers
from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.protocol import piece_paths
from papayalink.protocol import pieces
from papayalink.roles import node as nodes
from papayalink.roles import process
from papayalink.state import errors as state_errors
from papayalink.state import piece_store
from papayalink.state import tiered_piece_store
from papayalink.transport import http_server

# A round over 100,000 pieces takes 200 s; values change over minutes to days.
REVALUE_PERIOD_S = 1.0
# About 5 ms of processor time.
REVALUE_PIECES = 500


class _RevalueDue(msgspec.Struct):
    """Delivered by the timer service once a period."""


class StoreProcess(process.Process):
    """Keeps pieces in memory and on disk."""

    __slots__ = (
        "_follower",
        "_pieces",
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
        self._follower = followers.make_follower(
            node.identity,
            list(settings.controls.values()),
            node.rpc_client,
            node.clock,
            node.timers,
        )
        self._pieces = tiered_piece_store.make_store(
            settings.data_folder,
            settings.memory_bytes,
            settings.disk_bytes,
            retention.ReturnPolicy(),
            node.clock,
        )
        self._document = self._follower.document
        self._follower.listen(self._on_reply)
        self._server = http_server.make_server(
            nodes.parse_address(settings.listen),
            http_server.require_signature(self._serve, node.signer),
        )

    @property
    def accepting(self) -> bool:
        return self._follower.confirmed and not self._stopping

    def start(self) -> None:
        self._follower.start()
        self._server.start()
        self._node.timers.every(REVALUE_PERIOD_S, self._inbox, _RevalueDue())
        tasks.spawn(self._run)

    def drain(self) -> None:
        self._stopping = True
        self._server.stop()
        self._follower.stop()

    def gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "lease_left_s": lambda: self._follower.lease_left_s,
            "configuration_version": lambda: self._follower.version,
            "disk_used_bytes": lambda: self._pieces.usage().used_bytes,
            "pieces": lambda: self._pieces.usage().pieces,
        }

    def dump(self) -> dict:
        return {
            "process": self._node.identity,
            "version": self._follower.version,
            "lease_left_s": self._follower.lease_left_s,
            "in_flight": self._server.in_flight,
            "usage": self._pieces.usage_by_tier(),
        }

    def _run(self) -> None:
        while True:
            self._inbox.get()
            self._pieces.revalue(REVALUE_PIECES)

    def _on_reply(self) -> None:
        document = self._follower.document
        if document is not self._document:
            self._document = document
            self._pieces.set_entitlements(
                {
                    space.name: space.cache_share
                    for space in document.workspaces
                    if space.cache_share
                }
            )

    def _lookup(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        lookup = messages.decode(environ[http_server.BODY_KEY])
        if not isinstance(lookup, messages.Lookup):
            raise protocol_errors.MessageInvalid("a lookup is expected")
        keys = [
            pieces.PieceKey(lookup.workspace, lookup.weight_version, digest)
            for digest in lookup.digests
        ]
        self._node.metrics.count("lookups")
        reply = messages.LookupReply(
            tuple(self._pieces.lookup(keys)),
            tuple(self._pieces.copies(keys)),
        )
        return _respond(start_response, "200 OK", messages.encode(reply))

    def _serve(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        try:
            if environ["PATH_INFO"] == piece_paths.LOOKUP_PATH:
                return self._lookup(environ, start_response)
            key = piece_paths.parse_query(environ["QUERY_STRING"])
            match environ["REQUEST_METHOD"]:
                case "GET":
                    return self._get(key, start_response)
                case "PUT":
                    return self._put(key, environ, start_response)
        except (
            protocol_errors.ProtocolError,
            msgspec.MsgspecError,
            state_errors.PieceRejected,
        ) as error:
            self._node.log.warning("request_invalid", reason=error)
            return _respond(start_response, "400 Bad Request", b"invalid")
        return _respond(start_response, "405 Method Not Allowed", b"")

    def _get(
        self, key: pieces.PieceKey, start_response: Callable
    ) -> Iterable[bytes]:
        pin = self._pieces.get(key)
        if pin is None:
            self._node.metrics.count("pieces_missed")
            return _respond(start_response, "404 Not Found", b"not kept")
        self._node.metrics.count("pieces_read")
        length = str(len(pin.data))
        start_response("200 OK", [("Content-Length", length)])
        return _read(pin)

    def _put(
        self, key: pieces.PieceKey, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        if self._stopping:
            return _respond(
                start_response, "503 Service Unavailable", b"stopping"
            )
        facts = None
        header = environ.get("HTTP_X_PIECE_FACTS")
        if header:
            facts = msgspec.json.decode(header, type=retention.PieceFacts)
        try:
            self._pieces.put(key, environ[http_server.BODY_KEY], facts=facts)
        except (state_errors.StoreFull, state_errors.StoreFailed) as error:
            self._node.metrics.count("pieces_refused")
            return _respond(
                start_response, "507 Insufficient Storage", str(error).encode()
            )
        self._node.metrics.count("pieces_written")
        copies = str(max(1, *self._pieces.copies([key])))
        start_response(
            "201 Created",
            [("Content-Length", "0"), (piece_paths.COPIES_HEADER, copies)],
        )
        return [b""]


def _read(pin: piece_store.Pin) -> Iterable[bytes]:
    # The pin holds the bytes until they are sent.
    with pin:
        yield pin.data


def _respond(
    start_response: Callable, status: str, body: bytes
) -> list[bytes]:
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


def make_process(node: nodes.Node) -> StoreProcess:
    return StoreProcess(node)
