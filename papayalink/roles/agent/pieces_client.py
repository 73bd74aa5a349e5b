"""HTTP client of the stores."""

import msgspec

from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.protocol import piece_paths
from papayalink.protocol import pieces
from papayalink.transport import errors
from papayalink.transport import http_client


class PiecesClient:
    """Looks up, reads and writes pieces; every failure is a miss."""

    __slots__ = ("_client",)

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def lookup(
        self, store: str, keys: list[pieces.PieceKey]
    ) -> messages.LookupReply | None:
        """Ask a store which pieces it has published.

        Args:
            store: "IP:PORT" of the store.
            keys: keys of one prompt, in order, at least one.
        Returns: a flag for each key, None if the store did not answer. The
            flags are hints: a piece may be evicted before it is read.
        """
        lookup = messages.Lookup(
            keys[0].workspace,
            keys[0].weight_version,
            tuple(key.digest for key in keys),
        )
        try:
            response = self._client.send(
                store,
                "POST",
                piece_paths.LOOKUP_PATH,
                messages.encode(lookup),
            )
            body = _read(response)
            if response.status != 200:
                return None
            reply = messages.decode(body)
        except (errors.TransportError, protocol_errors.ProtocolError):
            return None
        if not isinstance(reply, messages.LookupReply):
            return None
        if len(reply.present) != len(keys):
            return None
        return reply

    def read(self, store: str, key: pieces.PieceKey) -> bytes | None:
        """Read and verify a piece.

        Returns: its payload, None if the store does not have it or sent
            anything but the complete piece of this key.
        """
        try:
            response = self._client.send(
                store, "GET", piece_paths.make_path(key)
            )
            data = _read(response)
            if response.status != 200:
                return None
            return pieces.decode_piece(key, data)
        except (errors.TransportError, protocol_errors.ProtocolError):
            return None

    def write(
        self,
        store: str,
        key: pieces.PieceKey,
        payload: bytes,
        facts: retention.PieceFacts,
    ) -> int:
        """Publish a piece.

        Returns: number of copies that the store considers worth keeping, 0
            if the store did not accept the piece.
        """
        headers = {
            piece_paths.FACTS_HEADER: msgspec.json.encode(facts).decode()
        }
        try:
            response = self._client.send(
                store,
                "PUT",
                piece_paths.make_path(key),
                pieces.encode_piece(key, payload),
                headers,
            )
            _read(response)
        except errors.TransportError:
            return 0
        if response.status != 201:
            return 0
        copies = response.header(piece_paths.COPIES_HEADER)
        return int(copies) if copies in ("1", "2") else 1


def _read(response: http_client.Response) -> bytes:
    try:
        return response.read()
    except BaseException:
        # Also when the calling greenlet is killed: the rest of the response
        # must not stay on a connection that is reused.
        response.close()
        raise
