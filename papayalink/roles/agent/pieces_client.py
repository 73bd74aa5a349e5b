"""Reads and writes pieces of stores."""

import msgspec

from papayalink.coordination import retention
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import messages
from papayalink.protocol import piece_paths
from papayalink.protocol import pieces
from papayalink.transport import errors
from papayalink.transport import http_client


class PiecesClient:
    """Talks to stores over HTTP; every failure is a miss."""

    __slots__ = ("_client",)

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def lookup(
        self, store: str, keys: list[pieces.PieceKey]
    ) -> tuple[bool, ...]:
        """Ask which pieces a store has published.

        Args:
            store: "IP:PORT" of the store.
            keys: keys of one prompt, in order, at least one.
        Returns: a flag for each key; a hint, since a piece can be freed
            before it is read.
        """
        lookup = messages.Lookup(
            keys[0].workspace,
            keys[0].weight_version,
            tuple(key.digest for key in keys),
        )
        try:
            answer = self._client.send(
                store,
                "POST",
                piece_paths.LOOKUP_PATH,
                messages.encode(lookup),
            )
            body = answer.read()
            if answer.status != 200:
                return (False,) * len(keys)
            return messages.decode(body).present
        except (errors.TransportError, protocol_errors.ProtocolError):
            return (False,) * len(keys)

    def read(self, store: str, key: pieces.PieceKey) -> bytes | None:
        """Read and verify a piece.

        Returns: its payload; None when the store does not have it, or sent
            anything but the whole piece of exactly this key.
        """
        try:
            answer = self._client.send(
                store, "GET", piece_paths.make_path(key)
            )
            data = answer.read()
            if answer.status != 200:
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
    ) -> bool:
        """Publish a piece. Returns: whether the store took it."""
        headers = {
            piece_paths.FACTS_HEADER: msgspec.json.encode(facts).decode()
        }
        try:
            answer = self._client.send(
                store,
                "PUT",
                piece_paths.make_path(key),
                pieces.encode_piece(key, payload),
                headers,
            )
            answer.read()
        except errors.TransportError:
            return False
        return answer.status == 201
