"""Keys and encoding of stored KV cache pieces."""

from collections.abc import Sequence
import hashlib
import struct

import msgspec

from papayalink.protocol import errors

# KV cache is stored and transferred in pieces of this many tokens. Smaller
# pieces cost more requests and syncs; with larger ones, a longer tail of each
# prompt is not stored.
PIECE_TOKENS = 2000

# 16 bytes keep the chance of a collision among all pieces of a fleet
# negligible.
_DIGEST_BYTES = 16

_MAGIC = b"PKV1"
# Magic, header length and payload length, both in bytes.
_PREFIX = struct.Struct("<4sIQ")
_FIXED_BYTES = _PREFIX.size + _DIGEST_BYTES

# A header holds three short strings; a greater length means that the prefix
# is corrupt.
_MAX_HEADER_BYTES = 4096

# Number of leading bytes of an encoded piece that decode_header needs at most.
MAX_HEAD_BYTES = _FIXED_BYTES + _MAX_HEADER_BYTES


class PieceKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a piece of one workspace under one weight version.

    Attributes:
        workspace: name of the workspace.
        weight_version: version of the weights that computed the piece.
        digest: 32 hexadecimal digits over the piece and all pieces before it.
    """

    workspace: str
    weight_version: str
    digest: str


class PieceHeader(msgspec.Struct, frozen=True):
    """What the start of an encoded piece declares; not verified.

    Attributes:
        key: key of the piece.
        total_bytes: length of the whole encoded piece.
    """

    key: PieceKey
    total_bytes: int


def piece_keys(
    workspace: str,
    weight_version: str,
    tokens: Sequence[int],
    adapter: str = "",
) -> list[PieceKey]:
    """Derive the keys of the full pieces of a prompt.

    Args:
        workspace: name of the workspace.
        weight_version: version of the weights.
        tokens: token ids, each from 0 to 2**32 - 1.
        adapter: adapter applied to the model, "" for the base model.
    Returns: one key for each PIECE_TOKENS tokens; a shorter tail has no key.
    Raises: ValueError when a token id is out of range.
    """
    # The length prefixes distinguish ("ab", "c") from ("a", "bc").
    scope = [workspace.encode(), weight_version.encode()]
    if adapter:
        scope.append(adapter.encode())
    chain = hashlib.blake2b(
        b"".join(struct.pack("<I", len(part)) + part for part in scope),
        digest_size=_DIGEST_BYTES,
    ).digest()
    layout = struct.Struct(f"<{PIECE_TOKENS}I")
    keys = []
    for start in range(0, len(tokens) - PIECE_TOKENS + 1, PIECE_TOKENS):
        try:
            packed = layout.pack(*tokens[start : start + PIECE_TOKENS])
        except struct.error as error:
            raise ValueError(f"token id out of range: {error}") from error
        chain = hashlib.blake2b(
            chain + packed, digest_size=_DIGEST_BYTES
        ).digest()
        keys.append(PieceKey(workspace, weight_version, chain.hex()))
    return keys


def encode_piece(key: PieceKey, payload: bytes) -> bytes:
    """Encode a piece with its key, length and checksum.

    Args:
        key: key of the piece.
        payload: KV cache as exported by an engine.
    Returns: the encoded piece.
    """
    header = msgspec.msgpack.encode(key)
    prefix = _PREFIX.pack(_MAGIC, len(header), len(payload))
    checksum = _checksum(prefix, header, payload)
    return b"".join((prefix, checksum, header, payload))


def decode_header(data: bytes) -> PieceHeader:
    """Read the header at the start of an encoded piece.

    Args:
        data: the encoded piece, or at least its first MAX_HEAD_BYTES.
    Returns: the header; its content is not verified.
    Raises: PieceInvalid when the data does not start like an encoded piece.
    """
    if len(data) < _FIXED_BYTES:
        raise errors.PieceInvalid("piece is truncated before its header")
    magic, header_bytes, payload_bytes = _PREFIX.unpack_from(data)
    if magic != _MAGIC or header_bytes > _MAX_HEADER_BYTES:
        raise errors.PieceInvalid(
            "unknown piece format or corrupt header length"
        )
    header = bytes(data[_FIXED_BYTES : _FIXED_BYTES + header_bytes])
    try:
        key = msgspec.msgpack.decode(header, type=PieceKey)
    except msgspec.MsgspecError as error:
        raise errors.PieceInvalid(
            f"cannot decode piece header: {error}"
        ) from error
    return PieceHeader(key, _FIXED_BYTES + header_bytes + payload_bytes)


def decode_piece(key: PieceKey, data: bytes) -> bytes:
    """Verify that the data is the piece of a key, and extract its payload.

    Args:
        key: the expected key.
        data: an encoded piece.
    Returns: the payload.
    Raises: PieceInvalid when the key differs, or the data is truncated or
        corrupt.
    """
    view = memoryview(data)
    payload = view[_verify(key, view) :]
    return bytes(payload)


def verify_piece(key: PieceKey, data: bytes) -> None:
    """Verify that the data is the piece of a key, without copying it.

    Args:
        key: the expected key.
        data: an encoded piece.
    Raises: PieceInvalid when the key differs, or the data is truncated or
        corrupt.
    """
    _verify(key, memoryview(data))


def _verify(key: PieceKey, view: memoryview) -> int:
    """Returns: offset of the payload in the verified piece."""
    header = decode_header(view)
    if header.key != key:
        raise errors.PieceInvalid(f"piece does not belong to key {key}")
    if header.total_bytes != len(view):
        raise errors.PieceInvalid(
            f"piece has {len(view)} bytes, its header declares"
            f" {header.total_bytes}"
        )
    prefix = view[: _PREFIX.size]
    _, header_bytes, _ = _PREFIX.unpack(prefix)
    start = _FIXED_BYTES + header_bytes
    checksum = _checksum(prefix, view[_FIXED_BYTES:start], view[start:])
    if checksum != view[_PREFIX.size : _FIXED_BYTES]:
        raise errors.PieceInvalid("piece checksum does not match")
    return start


def _checksum(*parts: bytes | memoryview) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(part)
    return digest.digest()
