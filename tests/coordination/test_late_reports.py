"""Tests of reports that a member reads late."""

import pytest

from papayalink.coordination import named_limits
from papayalink.coordination import table_exchange
from papayalink.protocol import shared_tables

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


class _Entry:
    """An entry whose clock is behind that of the member."""

    def __init__(self):
        self.tables = table_exchange.make_table_set()
        self._exchange = table_exchange.make_table_exchange(self.tables)

    def note(self, limit_per_s, said_at):
        said_at -= _BEHIND_S
        self.tables.limits.note("r1", limit_per_s, said_at - 0.05, said_at)

    def tell(self, member, sent_at, read_at=None):
        read_at = sent_at if read_at is None else read_at
        told = self._exchange.report(sent_at - _BEHIND_S)
        reply = member.answer(told, read_at)
        self._exchange.merge(reply, sent_at - _BEHIND_S, read_at - _BEHIND_S)

    def limit_per_s(self):
        return self.tables.limits.limit_per_s("r1")


_BEHIND_S = 60.0
_LIMITS = [(50.0, 2.0), (2.0, 50.0), (2.0, None)]


# Guards against an older limit that replaces a newer one in the table of a
# member that both entries have asked before.
@pytest.mark.parametrize("delay_s", [1.1, 2.0, 6.0, 20.0])
@pytest.mark.parametrize(("older", "newer"), _LIMITS)
def test_late_report_of_a_known_entry_is_older(older, newer, delay_s):
    member = table_exchange.make_table_set()
    early, late = _Entry(), _Entry()
    for entry in (early, late):
        entry.note(9.0, _NOW - 3.0)
        entry.tell(member, _NOW - 2.0)
    late.note(older, _NOW)
    early.note(newer, _NOW + 1.0)
    early.tell(member, _NOW + 1.0)
    late.tell(member, _NOW, _NOW + delay_s)
    assert member.limits.limit_per_s("r1") == newer
    early.tell(member, _NOW + delay_s + 0.1)
    assert [early.limit_per_s(), late.limit_per_s()] == [newer, newer]


# Guards against a newer limit that a member leaves out for good, because it
# came with an entry's first report.
@pytest.mark.parametrize("delay_s", [0.0, 2.0, 6.0])
@pytest.mark.parametrize(("older", "newer"), _LIMITS)
def test_newest_limit_holds_after_two_reports_of_each(older, newer, delay_s):
    member = table_exchange.make_table_set()
    first, second = _Entry(), _Entry()
    first.note(older, _NOW)
    second.note(older, _NOW - 1.0)
    second.note(newer, _NOW + 1.0)
    first.tell(member, _NOW, _NOW + delay_s)
    second.tell(member, _NOW + 1.0, _NOW + 1.0 + delay_s)
    for now in (_NOW + 8.0, _NOW + 8.2):
        first.tell(member, now)
        second.tell(member, now + 0.1)
    assert member.limits.limit_per_s("r1") == newer
    assert [first.limit_per_s(), second.limit_per_s()] == [newer, newer]


# Guards against a member that holds back the limits of entries of an earlier
# version, which never tell when a report was made.
@pytest.mark.parametrize(("older", "newer"), _LIMITS)
def test_limits_of_an_earlier_version_hold_at_once(older, newer):
    member = table_exchange.make_table_set()
    limits = named_limits.make_named_limits()
    known = shared_tables.Tables()
    for limit_per_s, now in ((older, _NOW), (newer, _NOW + 1.0)):
        limits.note("r1", limit_per_s, now - 0.1, now)
        rows = tuple(
            shared_tables.NamedLimit(row.replica_id, row.limit_per_s, 0)
            for row in limits.encode(now)
        )
        told = shared_tables.Tables(known.run, known.versions, limits=rows)
        known = member.answer(told, now)
        assert member.limits.limit_per_s("r1") == limit_per_s
