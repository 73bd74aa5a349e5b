"""Paths and headers of the store's HTTP interface."""

from urllib import parse

from papayalink.protocol import errors
from papayalink.protocol import pieces

PIECES_PATH = "/pieces"
LOOKUP_PATH = "/lookup"
FACTS_HEADER = "X-Piece-Facts"
COPIES_HEADER = "X-Piece-Copies"


def make_path(key: pieces.PieceKey) -> str:
    """Returns: the path and query that address a piece."""
    query = parse.urlencode(
        {
            "workspace": key.workspace,
            "weight_version": key.weight_version,
            "digest": key.digest,
        }
    )
    return f"{PIECES_PATH}?{query}"


def parse_query(query: str) -> pieces.PieceKey:
    """Returns: the piece key in a query string.

    Raises:
        errors.MessageInvalid: a part of the key is missing.
    """
    fields = dict(parse.parse_qsl(query))
    try:
        return pieces.PieceKey(
            fields["workspace"], fields["weight_version"], fields["digest"]
        )
    except KeyError as error:
        raise errors.MessageInvalid(f"query has no field {error}") from error
