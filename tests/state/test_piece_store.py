"""Tests of the piece stores."""

import errno
import os

import msgspec
import pytest

from papayalink import clock as clocks
from papayalink.coordination import retention
from papayalink.protocol import pieces
from papayalink.state import disk_piece_store
from papayalink.state import errors
from papayalink.state import piece_store
from papayalink.state import tiered_piece_store


def _key(number, workspace="acme"):
    return pieces.PieceKey(workspace, "v1", f"{number:032x}")


def _piece(key, fill=b"k", size=100):
    return pieces.encode_piece(key, fill * size)


PIECE_BYTES = len(_piece(_key(0)))


def _make_store(kind, folder, piece_count, files=None):
    capacity = piece_count * PIECE_BYTES
    match kind:
        case "memory":
            return piece_store.MemoryPieceStore(capacity)
        case "disk":
            return disk_piece_store.DiskPieceStore(
                folder, capacity, files=files
            )
        case "tiered":
            return tiered_piece_store.make_store(
                folder,
                capacity,
                capacity,
                retention.LruPolicy(),
                clocks.ManualClock(),
            )


@pytest.fixture(params=["memory", "disk", "tiered"])
def make_store(request, tmp_path):
    return lambda piece_count: _make_store(
        request.param, str(tmp_path), piece_count
    )


def test_get_returns_what_was_put(make_store):
    store = make_store(4)
    store.put(_key(1), _piece(_key(1)))
    with store.get(_key(1)) as pin:
        assert pin.data == _piece(_key(1))
    with pytest.raises(errors.PinReleased):
        pin.data
    assert store.contains([_key(1), _key(2)]) == [True, False]
    assert store.get(_key(2)) is None
    assert store.usage().pins == 0


def test_second_put_keeps_the_published_bytes(make_store):
    """Guards against different bytes under the same generation."""
    store = make_store(4)
    store.put(_key(1), _piece(_key(1)))
    if isinstance(store, tiered_piece_store.TieredPieceStore):
        store._memory.drop(_key(1))
    store.put(_key(1), _piece(_key(1), b"x"), value=1)
    assert store.get(_key(1)).data == _piece(_key(1))


@pytest.mark.parametrize(
    "other",
    [
        pieces.PieceKey("other", "v1", _key(1).digest),
        pieces.PieceKey("acme", "v2", _key(1).digest),
    ],
)
def test_other_workspace_or_version_is_a_miss(make_store, other):
    """Guards against lookup by the digest alone."""
    store = make_store(4)
    store.put(_key(1), _piece(_key(1)))
    assert store.get(other) is None
    with pytest.raises(errors.PieceRejected):
        store.put(other, _piece(_key(1)))
    assert store.contains([other]) == [False]


def test_generation_distinguishes_publications(make_store):
    """Guards against taking a republished piece for the one freed before."""
    store = make_store(4)
    store.put(_key(1), _piece(_key(1)))
    first = store.get(_key(1)).generation
    assert store.get(_key(1), first) is not None
    store.drop(_key(1))
    assert store.get(_key(1), first) is None
    store.put(_key(1), _piece(_key(1)))
    assert store.get(_key(1), first) is None
    assert store.get(_key(1)).generation > first


def test_pinned_piece_is_not_evicted(make_store):
    """Guards against freeing bytes that are still being sent."""
    store = make_store(2)
    store.put(_key(1), _piece(_key(1)), value=1)
    store.put(_key(2), _piece(_key(2)), value=2)
    pin = store.get(_key(1))
    store.put(_key(3), _piece(_key(3)), value=3)
    assert store.contains([_key(1), _key(3)]) == [True, True]
    # Each tier evicts on its own, so the disk tier still has the other piece.
    is_tiered = isinstance(store, tiered_piece_store.TieredPieceStore)
    assert store.contains([_key(2)]) == [is_tiered]
    assert pin.data == _piece(_key(1))


def test_dropped_pinned_piece_counts_until_released(make_store):
    """Guards against memory use above capacity while readers are slow."""
    store = make_store(2)
    store.put(_key(1), _piece(_key(1)), value=1)
    store.put(_key(2), _piece(_key(2)), value=9)
    pin = store.get(_key(1))
    assert store.drop(_key(1))
    assert store.get(_key(1)) is None
    assert pin.data == _piece(_key(1))
    if not isinstance(store, tiered_piece_store.TieredPieceStore):
        with pytest.raises(errors.StoreFull):
            store.put(_key(3), _piece(_key(3)), value=1)
        pin.release()
        pin.release()
    store.put(_key(3), _piece(_key(3)), value=1)


@pytest.mark.parametrize(
    "value, kept", [(0.5, [1, 2]), (1.0, [1, 2]), (1.5, [2, 3])]
)
def test_lowest_value_is_evicted(make_store, value, kept):
    store = make_store(2)
    store.put(_key(1), _piece(_key(1)), value=1.0)
    store.put(_key(2), _piece(_key(2)), value=2.0)
    if kept == [1, 2]:
        with pytest.raises(errors.StoreFull):
            store.put(_key(3), _piece(_key(3)), value=value)
    else:
        store.put(_key(3), _piece(_key(3)), value=value)
    published = [n for n in (1, 2, 3) if store.contains([_key(n)])[0]]
    assert published == kept


def test_piece_larger_than_the_store_is_refused(make_store):
    store = make_store(1)
    with pytest.raises(errors.StoreFull):
        store.put(_key(1), _piece(_key(1), size=1000), value=9)


def _damage(path, how):
    data = bytearray(path.read_bytes())
    match how:
        case "cut":
            path.write_bytes(data[:-1])
        case "changed":
            data[-1] ^= 1
            path.write_bytes(data)
        case "metadata":
            data[30] ^= 1
            path.write_bytes(data)
        case "removed":
            path.unlink()


@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize("how", ["cut", "changed", "metadata", "removed"])
def test_damaged_file_is_a_miss(tmp_path, how, restart):
    """Guards against serving a file that was damaged or partly written."""
    store = _make_store("disk", str(tmp_path), 4)
    store.put(_key(1), _piece(_key(1)))
    (path,) = tmp_path.glob("*.piece")
    _damage(path, how)
    if restart:
        store = _make_store("disk", str(tmp_path), 4)
        # A flipped payload byte is detected only by a read.
        assert store.contains([_key(1)]) == [how == "changed"]
    assert store.get(_key(1)) is None
    assert store.contains([_key(1)]) == [False]
    assert list(tmp_path.iterdir()) == []
    assert store.usage().corrupt == (0 if restart and how == "removed" else 1)
    assert store.usage().used_bytes == 0
    store.put(_key(1), _piece(_key(1)))
    assert store.get(_key(1)) is not None


def test_damaged_file_is_deleted_while_pinned(tmp_path):
    """Guards against a restart that publishes a damaged piece again."""
    store = _make_store("disk", str(tmp_path), 4)
    store.put(_key(1), _piece(_key(1)))
    with store.get(_key(1)) as pin:
        _damage(next(tmp_path.glob("*.piece")), "changed")
        assert store.get(_key(1)) is None
        assert list(tmp_path.iterdir()) == []
        assert pin.data == _piece(_key(1))


def test_file_under_another_name_is_a_miss(tmp_path):
    """Guards against serving a file that was renamed to another key's name."""
    store = _make_store("disk", str(tmp_path), 4)
    for number in (1, 2):
        store.put(_key(number), _piece(_key(number)))
    first, second = tmp_path.glob("*.piece")
    os.replace(first, second)
    assert [store.get(_key(n)) for n in (1, 2)] == [None, None]


def test_restart_rebuilds_the_index(tmp_path):
    facts = retention.PieceFacts("f", "", 0, 0.25)
    store = _make_store("disk", str(tmp_path), 4)
    store.put(_key(1), _piece(_key(1)), value=1, facts=facts)
    store.put(_key(2), _piece(_key(2)), value=2)
    generation = store.get(_key(1)).generation
    (tmp_path / "left.piece.tmp").write_bytes(b"partly written")
    store = _make_store("disk", str(tmp_path), 4)
    assert store.get(_key(1), generation).data == _piece(_key(1))
    assert store.describe(_key(1)) == (1, facts)
    assert not list(tmp_path.glob("*.tmp"))
    store = _make_store("disk", str(tmp_path), 1)
    assert store.contains([_key(1), _key(2)]) == [False, True]
    assert len(list(tmp_path.iterdir())) == 1


class _FullDisk(disk_piece_store.Files):
    """Disk with space for a limited number of files."""

    def __init__(self, folder, count, code=errno.ENOSPC):
        self.folder = folder
        self.count = count
        self.code = code

    def write(self, path, parts):
        super().write(path, parts[:2])
        if len(os.listdir(self.folder)) > self.count:
            raise OSError(self.code, os.strerror(self.code))
        os.remove(path)
        super().write(path, parts)


@pytest.mark.parametrize(
    "code, value, expected, kept",
    [
        (errno.ENOSPC, 3, None, [2, 3]),
        (errno.EDQUOT, 3, None, [2, 3]),
        (errno.ENOSPC, 0, errors.StoreFull, [1, 2]),
        (errno.EIO, 3, errors.StoreFailed, [1, 2]),
    ],
)
def test_full_disk(tmp_path, code, value, expected, kept):
    """Guards against publication of a partly written piece."""
    files = _FullDisk(str(tmp_path), 2, code)
    store = _make_store("disk", str(tmp_path), 9, files)
    store.put(_key(1), _piece(_key(1)), value=1)
    store.put(_key(2), _piece(_key(2)), value=2)
    if expected:
        with pytest.raises(expected):
            store.put(_key(3), _piece(_key(3)), value=value)
    else:
        store.put(_key(3), _piece(_key(3)), value=value)
    assert [n for n in (1, 2, 3) if store.get(_key(n))] == kept
    assert len(list(tmp_path.iterdir())) == 2
    assert store.usage().used_bytes == 2 * PIECE_BYTES
    reopened = _make_store("disk", str(tmp_path), 9)
    assert [n for n in (1, 2, 3) if reopened.get(_key(n))] == kept


def test_tiers(tmp_path):
    """Memory holds the most valuable pieces, the disk all of them."""
    clock = clocks.ManualClock()
    store = tiered_piece_store.make_store(
        str(tmp_path),
        PIECE_BYTES,
        3 * PIECE_BYTES,
        retention.LruPolicy(),
        clock,
    )
    keys = [_key(n) for n in range(3)]
    for key, facts in zip(keys, retention.make_facts(keys)):
        clock.advance(1)
        store.lookup([key])
        store.put(key, _piece(key), facts=facts)
    usage = store.usage_by_tier()
    assert (usage["memory"].pieces, usage["disk"].pieces) == (1, 3)
    clock.advance(1)
    assert store.lookup([keys[0]]) == [True]
    for _ in range(3):
        store.revalue(max_pieces=1)
    on_disk = store.get(keys[0])
    assert store.get(keys[0]).generation == on_disk.generation
    assert store.usage_by_tier()["memory"].evicted == 3
    assert store.copies([*keys, _key(9)]) == [1, 1, 1, 0]
    for key in keys:
        assert store.drop(key)
    assert store.contains(keys) == [False] * 3


def test_copies_depend_on_value_and_room(tmp_path):
    """Guards against copies of pieces that already are second copies."""
    store = tiered_piece_store.make_store(
        str(tmp_path),
        10**6,
        10**6,
        retention.ReturnPolicy(),
        clocks.ManualClock(),
    )
    keys = pieces.piece_keys("acme", "v1", list(range(6000)))
    facts = retention.make_facts(keys)
    for key, fact in zip(keys[:2], (facts[0], _as_copy(facts[1]))):
        store.put(key, pieces.encode_piece(key, b"kv"), facts=fact)
    assert store.copies(keys) == [2, 1, 0]


def _as_copy(facts):
    return msgspec.structs.replace(facts, is_copy=True)
