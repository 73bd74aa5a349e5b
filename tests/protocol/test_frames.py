"""Tests of answer frames."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.protocol import errors
from papayalink.protocol import frames


def _encode_answer(attempt_id, parts):
    lines = [
        frames.encode(frames.Chunk(attempt_id, seq, part))
        for seq, part in enumerate(parts)
    ]
    return [*lines, frames.encode(frames.End(attempt_id, len(parts)))]


def _read_chunks(reader, lines):
    read = [reader.read(line) for line in lines]
    return [frame.data for frame in read if isinstance(frame, frames.Chunk)]


@given(
    st.lists(st.text(max_size=8), max_size=8),
    st.lists(st.text(max_size=8), max_size=8),
    st.randoms(use_true_random=False),
)
def test_frames_of_another_answer_are_dropped(own, other, rng):
    """Guards against parts of one caller's answer in another's."""
    mine, others = _encode_answer("a", own), _encode_answer("b", other)
    mixed = []
    while mine or others:
        source = mine if mine and (not others or rng.random() < 0.5) else None
        mixed.append((source or others).pop(0))
    reader = frames.make_reader("a")
    assert _read_chunks(reader, mixed) == own
    assert reader.ended
    assert reader.dropped == len(other) + 1


@given(
    st.lists(st.text(max_size=8), min_size=1, max_size=8),
    st.data(),
)
def test_missing_frame_is_noticed(parts, data):
    """Guards against an answer that lacks a chunk but passes as complete."""
    lines = _encode_answer("a", parts)
    del lines[data.draw(st.integers(0, len(parts) - 1))]
    reader = frames.make_reader("a")
    with pytest.raises(errors.Truncated):
        _read_chunks(reader, lines)


@given(
    st.lists(st.text(max_size=8), min_size=1, max_size=8),
    st.data(),
)
def test_repeated_frames_are_dropped(parts, data):
    """Guards against text that a caller receives twice."""
    lines = _encode_answer("a", parts)
    repeated = data.draw(st.integers(0, len(parts) - 1))
    position = data.draw(st.integers(repeated, len(parts) - 1))
    lines.insert(position + 1, lines[repeated])
    reader = frames.make_reader("a")
    assert _read_chunks(reader, lines) == parts
    assert reader.dropped == 1


@pytest.mark.parametrize(
    "line, error",
    [
        (b"", errors.Truncated),
        (b'{"t":"c","id":"a","seq":0,"data":"x"}', errors.Truncated),
        (b"{}\n", errors.MessageInvalid),
        (b'{"t":"e","id":"a","count":3}\n', errors.Truncated),
    ],
)
def test_broken_streams_raise(line, error):
    """Guards against a stream that ends early without an error."""
    with pytest.raises(error):
        frames.make_reader("a").read(line)
