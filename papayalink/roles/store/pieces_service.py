"""HTTP interface of a store: lookups, reads and writes of pieces."""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from papayalink import blocking
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.protocol import piece_paths
from papayalink.protocol import pieces
from papayalink.state import errors as state_errors
from papayalink.state import piece_store
from papayalink.state import tiered_piece_store
from papayalink.transport import http_server

# Concurrent disk calls. Writes are synced and mostly belong to background
# copies, so they have their own threads, and reads for urgent restores never
# wait for them.
READ_THREADS = 8
WRITE_THREADS = 4


class PiecesService:
    """WSGI application of a store; disk calls run in threads.

    Args:
        store: memory and disk store of the pieces.
        stopping: returns whether the store is stopping and refuses writes.
        metrics: counts lookups, reads and writes.
    """

    __slots__ = (
        "_store",
        "_stopping",
        "_metrics",
        "_reads",
        "_writes",
        "_log",
    )

    def __init__(
        self,
        store: tiered_piece_store.TieredPieceStore,
        stopping: Callable[[], bool],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._store = store
        self._stopping = stopping
        self._metrics = metrics
        self._reads = blocking.make_pool(READ_THREADS)
        self._writes = blocking.make_pool(WRITE_THREADS)
        self._log = logs.get_logger()

    def __call__(
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
            self._log.warning("request_invalid", reason=error)
            return _respond(start_response, "400 Bad Request", b"invalid")
        return _respond(start_response, "405 Method Not Allowed", b"")

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
        self._metrics.count("lookups")
        reply = messages.LookupReply(
            tuple(self._store.lookup(keys)),
            tuple(self._store.copies(keys)),
        )
        return _respond(start_response, "200 OK", messages.encode(reply))

    def _get(
        self, key: pieces.PieceKey, start_response: Callable
    ) -> Iterable[bytes]:
        pin = self._reads.run(self._store.get, key)
        if pin is None:
            self._metrics.count("pieces_missed")
            return _respond(start_response, "404 Not Found", b"not kept")
        self._metrics.count("pieces_read")
        length = str(len(pin.data))
        start_response("200 OK", [("Content-Length", length)])
        return _read(pin)

    def _put(
        self, key: pieces.PieceKey, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        if self._stopping():
            return _respond(
                start_response, "503 Service Unavailable", b"stopping"
            )
        facts = None
        header = environ.get("HTTP_X_PIECE_FACTS")
        if header:
            facts = msgspec.json.decode(header, type=retention.PieceFacts)
        try:
            self._writes.run(
                self._store.put,
                key,
                environ[http_server.BODY_KEY],
                facts=facts,
            )
        except (state_errors.StoreFull, state_errors.StoreFailed) as error:
            self._metrics.count("pieces_refused")
            return _respond(
                start_response, "507 Insufficient Storage", str(error).encode()
            )
        self._metrics.count("pieces_written")
        copies = str(max(1, *self._store.copies([key])))
        start_response(
            "201 Created",
            [("Content-Length", "0"), (piece_paths.COPIES_HEADER, copies)],
        )
        return [b""]


def _read(pin: piece_store.Pin) -> Iterable[bytes]:
    # The pin keeps the bytes until they are sent.
    with pin:
        yield pin.data


def _respond(
    start_response: Callable, status: str, body: bytes
) -> list[bytes]:
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


def make_pieces_service(
    store: tiered_piece_store.TieredPieceStore,
    stopping: Callable[[], bool],
    metrics: metrics_module.Metrics,
) -> PiecesService:
    return PiecesService(store, stopping, metrics)
