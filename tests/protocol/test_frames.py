"""Tests of answer frames."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.protocol import errors
from papayalink.protocol import frames


def _lines(attempt, parts):
    lines = [
        frames.encode(frames.Chunk(attempt, seq, part))
        for seq, part in enumerate(parts)
    ]
    return [*lines, frames.encode(frames.End(attempt, len(parts)))]


def _read(reader, lines):
    read = [reader.read(line) for line in lines]
    return [one.data for one in read if isinstance(one, frames.Chunk)]


@given(
    st.lists(st.text(max_size=8), max_size=8),
    st.lists(st.text(max_size=8), max_size=8),
    st.randoms(use_true_random=False),
)
def test_frames_of_another_answer_are_dropped(own, other, rng):
    """Guards against parts of one caller's answer in another's."""
    mine, crossed = _lines("a", own), _lines("b", other)
    mixed = []
    while mine or crossed:
        source = mine if mine and (not crossed or rng.random() < 0.5) else None
        mixed.append((source or crossed).pop(0))
    reader = frames.make_reader("a")
    assert _read(reader, mixed) == own
    assert reader.ended
    assert reader.dropped == len(other) + 1


@given(
    st.lists(st.text(max_size=8), min_size=1, max_size=8),
    st.data(),
)
def test_missing_frame_is_noticed(parts, data):
    """Guards against an answer with a hole that looks whole."""
    lines = _lines("a", parts)
    del lines[data.draw(st.integers(0, len(parts) - 1))]
    reader = frames.make_reader("a")
    with pytest.raises(errors.Truncated):
        _read(reader, lines)


@given(
    st.lists(st.text(max_size=8), min_size=1, max_size=8),
    st.data(),
)
def test_repeated_frames_are_dropped(parts, data):
    """Guards against text that a caller gets twice."""
    lines = _lines("a", parts)
    place = data.draw(st.integers(0, len(parts) - 1))
    again = data.draw(st.integers(place, len(parts) - 1))
    lines.insert(again + 1, lines[place])
    reader = frames.make_reader("a")
    assert _read(reader, lines) == parts
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
