"""Tests of suspected parts that a restart of all processes must not forget."""

import pytest

from papayalink.coordination import crash_suspects
from papayalink.roles.authority import suspects_keeper


def _make(folder):
    suspects = crash_suspects.make_crash_suspects()
    return suspects, suspects_keeper.make_suspects_keeper(
        str(folder / "data"), suspects
    )


def test_blocked_part_is_known_after_a_restart(tmp_path, monkeypatch):
    """Guards against a known part that ends replicas after a power loss."""
    suspects, keeper = _make(tmp_path)
    now = suspects_keeper.time.monotonic()
    for number in range(3):
        suspects.note_crash(f"r{number}", ["bad"], True, now - number)
    keeper.write_changes()
    suspects, keeper = _make(tmp_path)
    keeper.read()
    assert suspects.find_blocked(["bad"]) == "bad"
    # An hour later it is forgotten.
    suspects, keeper = _make(tmp_path)
    later = suspects_keeper.time.time() + 3600
    monkeypatch.setattr(suspects_keeper.time, "time", lambda: later)
    keeper.read()
    assert suspects.find_blocked(["bad"]) is None


@pytest.mark.parametrize("data", [None, b"", b"{", b'{"written_at": 1}'])
def test_missing_or_damaged_file_is_no_error(tmp_path, data):
    suspects, keeper = _make(tmp_path)
    if data is not None:
        (tmp_path / "data").mkdir()
        (tmp_path / "data" / "suspects.json").write_bytes(data)
    keeper.read()
    assert not suspects.blocked
