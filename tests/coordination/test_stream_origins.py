"""Tests of the table of versions that began streams."""

import pytest

from papayalink.coordination import stream_origins


def _find(table, stream, now):
    origin = table.find(stream, now)
    return origin and (origin.service, origin.software)


def test_newest_origin_holds_and_is_forgotten_in_time():
    table = stream_origins.make_stream_origins()
    table.note("c", "models", "v1", 0.0)
    assert _find(table, "c", 1.0) == ("models", "v1")
    table.note("c", "others", "v2", 20.0)
    assert _find(table, "c", 49.0) == ("others", "v2")
    assert _find(table, "c", 51.0) is None
    assert _find(table, "d", 20.0) is None
    table.expire(51.0)
    assert len(table) == 0


@pytest.mark.parametrize("delay_s", [0.0, 0.3])
def test_copies_agree_on_the_newest_origin(delay_s):
    first = stream_origins.make_stream_origins()
    second = stream_origins.make_stream_origins()
    first.note("c", "models", "v1", 0.0)
    second.note("c", "models", "v2", 5.0)
    second.merge(first.encode(6.0), 6.0 + delay_s)
    first.merge(second.encode(6.0), 6.0 + delay_s)
    for table in (first, second):
        assert _find(table, "c", 6.0) == ("models", "v2")
    # What is told back changes nothing.
    versions = first.version, second.version
    second.merge(first.encode(6.5), 6.5 + delay_s)
    first.merge(second.encode(6.5), 6.5 + delay_s)
    assert (first.version, second.version) == versions


def test_only_changed_rows_are_encoded():
    table = stream_origins.make_stream_origins()
    table.note("a", "models", "v1", 0.0)
    table.note("b", "models", "v1", 0.0)
    version = table.version
    table.note("c", "models", "v1", 1.0)
    table.note("a", "models", "v1", 1.0)
    changed = [row.stream for row in table.encode(1.0, version)]
    assert changed == ["c", "a"]
    assert not table.encode(1.0, table.version)
    assert len(table.encode(1.0)) == 3


def test_streams_are_bounded_and_ids_too():
    table = stream_origins.make_stream_origins()
    for number in range(stream_origins.MAX_STREAMS + 10):
        table.note(f"c{number}" + "y" * 5000, "models", "v1", 1.0)
    assert len(table) == stream_origins.MAX_STREAMS
    rows = table.encode(1.0)
    assert max(len(row.stream) for row in rows) <= 32
    newest = f"c{stream_origins.MAX_STREAMS + 9}" + "y" * 5000
    assert _find(table, newest, 1.0) == ("models", "v1")
