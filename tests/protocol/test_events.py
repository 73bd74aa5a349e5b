"""Tests of splitting event streams, also ones that never end."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.protocol import errors
from papayalink.protocol import events


def _feed(chunks):
    reader = events.make_event_reader()
    found = [event for chunk in chunks for event in reader.feed(chunk)]
    return found, reader.partial_event


@given(
    st.lists(
        st.sampled_from(
            [b"\n", b"\n\n", b"id: 1\n", b"id: 22\n", b"data: x\n", b"x"]
        ),
        max_size=30,
    ).map(b"".join),
    st.lists(st.integers(0, 200), max_size=12),
)
def test_any_split_of_the_bytes_gives_the_same_events(data, cuts):
    places = sorted({0, len(data), *(min(cut, len(data)) for cut in cuts)})
    chunks = [data[start:end] for start, end in zip(places, places[1:])]
    assert _feed(chunks) == _feed([data])


@pytest.mark.parametrize(
    ("block", "event_id"),
    [
        (b"id: 7\ndata: x", 7),
        (b"data: x\nid:8", 8),
        (b"data: x", None),
        (b"id: x", None),
        (b"id: " + b"9" * 5000, None),
    ],
    ids=["first", "last", "missing", "text", "huge"],
)
def test_event_id(block, event_id):
    found, _ = _feed([block + b"\n\n"])
    assert [event.event_id for event in found] == [event_id]


class _CountingBuffer(bytearray):
    """Counts the bytes that searches may look at."""

    searched = 0

    def find(self, separator, start=0):
        found = super().find(separator, start)
        end = len(self) if found < 0 else found + len(separator)
        self.searched += max(0, end - start)
        return found


def test_bytes_without_an_end_of_event_are_read_once_and_refused():
    """Guards against a reader that searches all bytes for each arrival."""
    reader = events.make_event_reader()
    reader._buffer = _CountingBuffer()
    fed = 0
    with pytest.raises(errors.EventTooLarge):
        while fed <= 100 * events.MAX_EVENT_BYTES:
            reader.feed(b"x" * 1024)
            fed += 1024
    assert fed <= events.MAX_EVENT_BYTES
    assert reader._buffer.searched <= 2 * (fed + 1024)
