"""Tests of piece keys and the piece encoding."""

import hypothesis
from hypothesis import strategies
import pytest

from papayalink.adapters import engine
from papayalink.protocol import errors
from papayalink.protocol import pieces

SIZE = pieces.PIECE_TOKENS


def _prompt(count, first=0):
    return [first + index for index in range(count)]


@pytest.mark.parametrize(
    "count, expected",
    [(0, 0), (SIZE - 1, 0), (SIZE, 1), (SIZE + 1, 1), (3 * SIZE, 3)],
)
def test_only_full_pieces_have_keys(count, expected):
    assert len(pieces.piece_keys("acme", "v1", _prompt(count))) == expected


@pytest.mark.parametrize(
    "workspace, version",
    [("other", "v1"), ("acme", "v2"), ("acm", "ev1"), ("acmev", "1")],
)
def test_workspaces_and_versions_share_no_digest(workspace, version):
    """Guards against a cache hit across workspaces or weight versions."""
    prompt = _prompt(2 * SIZE)
    digests = {key.digest for key in pieces.piece_keys("acme", "v1", prompt)}
    others = pieces.piece_keys(workspace, version, prompt)
    assert digests.isdisjoint(key.digest for key in others)


@pytest.mark.parametrize(
    "digests_of", [pieces.piece_keys, engine.piece_digests]
)
def test_adapters_share_no_digest(digests_of):
    """Guards against one adapter's cache used by another or by none."""
    prompt = _prompt(2 * SIZE)
    scopes = [
        digests_of("acme", "v1", prompt),
        digests_of("acme", "v1", prompt, "a"),
        digests_of("acme", "v1", prompt, "b"),
        digests_of("acme", "v1a", prompt),
    ]
    assert len({digest for scope in scopes for digest in scope}) == 8


def test_digest_covers_the_pieces_before():
    """Guards against reuse of a piece after a different prefix."""
    first = pieces.piece_keys("acme", "v1", _prompt(3 * SIZE))
    changed = _prompt(3 * SIZE)
    changed[SIZE] = 7
    second = pieces.piece_keys("acme", "v1", changed)
    assert first[0] == second[0]
    assert first[1] != second[1]
    assert first[2] != second[2]


def test_digest_is_stable():
    """Guards against keys that differ between releases or machines."""
    keys = pieces.piece_keys("acme", "v1", _prompt(SIZE))
    assert keys[0].digest == "28d94711bed0f9a84d1fc27638801fab"


@pytest.mark.parametrize("token", [-1, 2**32])
def test_token_out_of_range_is_refused(token):
    with pytest.raises(ValueError):
        pieces.piece_keys("acme", "v1", [token] * SIZE)


KEY = pieces.PieceKey("acme", "v1", "ab" * 16)


@pytest.mark.parametrize(
    "changes",
    [{"workspace": "other"}, {"weight_version": "v2"}, {"digest": "cd" * 16}],
)
def test_piece_of_another_key_is_invalid(changes):
    """Guards against bytes stored or delivered under a wrong key."""
    fields = {"workspace": "acme", "weight_version": "v1", "digest": "ab" * 16}
    data = pieces.encode_piece(pieces.PieceKey(**(fields | changes)), b"kv")
    with pytest.raises(errors.PieceInvalid):
        pieces.decode_piece(KEY, data)


@hypothesis.given(strategies.binary(max_size=300), strategies.data())
def test_only_unchanged_bytes_decode(payload, data):
    """Guards against truncated, extended and modified pieces."""
    encoded = pieces.encode_piece(KEY, payload)
    assert pieces.decode_piece(KEY, encoded) == payload
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    flip = data.draw(strategies.integers(1, 255))
    changed = bytearray(encoded)
    changed[position] ^= flip
    for damaged in (encoded[:position], encoded + b"\0", bytes(changed)):
        with pytest.raises(errors.PieceInvalid):
            pieces.decode_piece(KEY, damaged)
