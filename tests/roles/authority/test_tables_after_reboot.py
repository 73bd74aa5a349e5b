"""Tests of the ages of old weights after a restart of a machine."""

import pytest

from papayalink.coordination import table_exchange
from papayalink.roles.authority import tables_keeper


def _make(folder):
    tables = table_exchange.make_table_set()
    return tables, tables_keeper.make_tables_keeper(
        str(folder / "data"), tables
    )


# Guards against prompts on weights that were replaced longer ago than allowed,
# because the machine was down and its clock was set back meanwhile.
@pytest.mark.parametrize("set_back_s", [0.0, 60.0])
def test_old_weights_do_not_get_younger_while_a_machine_restarts(
    tmp_path, monkeypatch, set_back_s
):
    tables, keeper = _make(tmp_path)
    now = tables_keeper.time.monotonic()
    today = tables_keeper.time.time()
    tables.weights.observe({"m": 1}, now - 3.0)
    tables.weights.observe({"m": 2}, now)
    keeper.write_changes()
    down_s = 8.0
    monkeypatch.setattr(
        tables_keeper.time, "time", lambda: today + down_s - set_back_s
    )
    monkeypatch.setattr(tables_keeper.time, "monotonic", lambda: 1.0)
    tables, keeper = _make(tmp_path)
    keeper.read()
    tables.weights.observe({"m": 2}, 1.0)
    # An unknown time counts as long ago.
    assert tables.weights.outdated_s("m", 1, 1.0) >= 3.0 + down_s - 0.5
