"""Tests of tables that a restart of all processes must not forget."""

import pytest

from papayalink.coordination import table_exchange
from papayalink.roles.authority import tables_keeper


def _make(folder):
    tables = table_exchange.make_table_set()
    return tables, tables_keeper.make_tables_keeper(
        str(folder / "data"), tables
    )


def _learn(tables, keeper, writes=1):
    now = tables_keeper.time.monotonic()
    for write in range(writes):
        for number in range(3):
            tables.suspects.note_crash(
                f"r{number}", ["bad"], True, now - number
            )
        tables.origins.note(f"c{write}", "models", "v1", now)
        tables.software.note({"models": {"v1"}}, now)
        keeper.write_changes()


@pytest.mark.parametrize("writes", [1, 3])
def test_tables_are_known_after_a_restart(tmp_path, monkeypatch, writes):
    """Guards against suspects and streams that a power loss makes unknown."""
    _learn(*_make(tmp_path), writes)
    tables, keeper = _make(tmp_path)
    keeper.read()
    now = tables_keeper.time.monotonic()
    assert tables.suspects.find_blocked(["bad"]) == "bad"
    for write in range(writes):
        assert tables.origins.find(f"c{write}", now).software == "v1"
    # An hour later they are forgotten.
    tables, keeper = _make(tmp_path)
    later = tables_keeper.time.time() + 3600
    monkeypatch.setattr(tables_keeper.time, "time", lambda: later)
    keeper.read()
    assert tables.suspects.find_blocked(["bad"]) is None
    assert tables.origins.find("c0", now) is None


def test_only_changes_are_appended_and_the_file_is_bounded(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(tables_keeper, "MAX_APPENDED_BYTES", 20_000)
    tables, keeper = _make(tmp_path)
    now = tables_keeper.time.monotonic()
    path = tmp_path / "data" / "tables"
    sizes = []
    for number in range(1000):
        tables.origins.note(f"call-{number}", "models", "v1", now)
        keeper.write_changes()
        sizes.append(path.stat().st_size)
    growths = [after - before for before, after in zip(sizes, sizes[1:])]
    assert sorted(growths)[len(growths) // 2] < 200
    assert max(sizes) < 100_000
    tables, keeper = _make(tmp_path)
    keeper.read()
    assert len(tables.origins) == 1000


@pytest.mark.parametrize("cut_bytes", [0, 1, 30])
def test_torn_end_costs_the_last_record_only(tmp_path, cut_bytes):
    """A write may be missing or torn after a loss of power."""
    _learn(*_make(tmp_path), 2)
    path = tmp_path / "data" / "tables"
    data = path.read_bytes()
    path.write_bytes(data[: len(data) - cut_bytes] + b"\0" * cut_bytes)
    tables, keeper = _make(tmp_path)
    keeper.read()
    assert len(tables.origins) == (1 if cut_bytes else 2)
    assert tables.suspects.blocked


@pytest.mark.parametrize("data", [None, b"", b"{", b"\0" * 100])
def test_missing_or_damaged_file_is_no_error(tmp_path, data):
    tables, keeper = _make(tmp_path)
    if data is not None:
        (tmp_path / "data").mkdir()
        (tmp_path / "data" / "tables").write_bytes(data)
    keeper.read()
    assert not tables.suspects.blocked


def test_full_disk_is_no_error_and_all_is_written_later(tmp_path, monkeypatch):
    tables, keeper = _make(tmp_path)

    def fail(path, data):
        raise OSError("disk is full")

    with monkeypatch.context() as patch:
        patch.setattr(tables_keeper, "_replace_file", fail)
        _learn(tables, keeper)
    keeper.write_changes()
    tables, keeper = _make(tmp_path)
    keeper.read()
    assert tables.suspects.blocked and len(tables.origins) == 1


# Guards against ages that begin anew when the time of day is set back while a
# member is down.
@pytest.mark.parametrize(
    ("set_back_s", "rebooted", "age_s"),
    [(0.0, False, 7.0), (0.0, True, 7.0), (60.0, False, 7.0)],
)
def test_ages_go_on_while_a_member_is_down(
    tmp_path, monkeypatch, set_back_s, rebooted, age_s
):
    tables, keeper = _make(tmp_path)
    now = tables_keeper.time.monotonic()
    today = tables_keeper.time.time()
    tables.weights.observe({"m": 1}, now - 3.0)
    tables.weights.observe({"m": 2}, now)
    keeper.write_changes()
    monkeypatch.setattr(
        tables_keeper.time, "time", lambda: today + 4.0 - set_back_s
    )
    later = 1.0 if rebooted else now + 4.0
    monkeypatch.setattr(tables_keeper.time, "monotonic", lambda: later)
    tables, keeper = _make(tmp_path)
    keeper.read()
    tables.weights.observe({"m": 2}, later)
    known_s = tables.weights.outdated_s("m", 1, later)
    assert known_s == pytest.approx(age_s, abs=0.5)
