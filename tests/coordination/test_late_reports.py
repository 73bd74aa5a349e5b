"""Tests of reports that a member reads late."""

import pytest

from papayalink.coordination import table_exchange

_NOW = 100.0


def _tables(limit_per_s, said_at):
    tables = table_exchange.make_table_set()
    tables.limits.note("r1", limit_per_s, said_at, said_at)
    return tables


# Guards against an older limit of a replica that replaces a newer one, because
# its age counts from when a member read the report.
@pytest.mark.parametrize("delay_s", [0.0, 2.0, 6.0])
@pytest.mark.parametrize(("older", "newer"), [(50.0, 2.0), (2.0, 50.0)])
def test_late_report_does_not_replace_a_newer_limit(older, newer, delay_s):
    member = table_exchange.make_table_set()
    late = table_exchange.make_table_exchange(_tables(older, _NOW))
    late_report = late.report(_NOW)
    other = table_exchange.make_table_exchange(_tables(newer, _NOW + 1.0))
    member.answer(other.report(_NOW + 1.0), _NOW + 1.0)
    # The member stands still before it reads the other report.
    member.answer(late_report, _NOW + delay_s)
    assert member.limits.limit_per_s("r1") == newer
