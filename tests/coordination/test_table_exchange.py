"""Tests of the exchange of tables between processes."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from papayalink.coordination import table_exchange
from papayalink.protocol import shared_tables


class _Process:
    """A process with tables, which asks members for theirs."""

    def __init__(self):
        self.tables = table_exchange.make_table_set()
        self.exchange = table_exchange.make_table_exchange(self.tables)
        self.rows_sent = 0

    def ask(self, member, now):
        told = _transfer(self.exchange.report(now))
        self.rows_sent = _count_rows(told)
        reply = _transfer(member.tables.answer(told, now))
        return self.exchange.merge(reply, now), reply

    def state(self):
        limits = self.tables.limits
        origins = self.tables.origins.encode(0.0)
        return (
            self.tables.suspects.blocked,
            {name: limits.limit_per_s(name) for name in limits.limited()},
            {(each.stream, each.software) for each in origins},
        )


def _transfer(tables):
    data = msgspec.msgpack.encode(tables)
    return msgspec.msgpack.decode(data, type=shared_tables.Tables)


def _count_rows(tables):
    return sum(
        len(rows)
        for rows in (
            tables.suspects,
            tables.limits,
            tables.origins,
            tables.software,
        )
    )


def _learn(process, now):
    for number in range(2):
        process.tables.suspects.note_crash(
            f"r{number}", [], True, now - number, "request x"
        )
    process.tables.limits.note("r1", 2.0, now, now)
    process.tables.origins.note("c1", "models", "v1", now)
    process.tables.software.note({"models": {"v1"}}, now)


def test_entries_know_after_one_exchange_of_each():
    member, first, second = (_Process() for _ in range(3))
    _learn(first, 10.0)
    first.ask(member, 10.1)
    changed, _ = second.ask(member, 10.2)
    assert changed == {"suspects", "limits", "origins", "software"}
    assert second.state() == first.state() == member.state()
    assert first.state()[0]


def test_nothing_is_sent_that_the_other_knows():
    member, first, second = (_Process() for _ in range(3))
    _learn(first, 10.0)
    for now in (10.1, 10.3):
        for entry in (first, second):
            entry.ask(member, now)
    for entry in (first, second):
        changed, reply = entry.ask(member, 10.5)
        assert not entry.rows_sent
        assert not _count_rows(reply) and not changed


def test_only_new_streams_are_sent():
    """Guards against a table with a row for each stream that is sent whole."""
    member, entry = _Process(), _Process()
    for number in range(100):
        now = 10.0 + number / 10
        entry.tables.origins.note(f"c{number}", "models", "v1", now)
        told = entry.exchange.report(now)
        assert [row.stream for row in told.origins] == [f"c{number}"]
        reply = member.tables.answer_entry(told, now)
        assert not reply.origins
        entry.exchange.merge(reply, now)
    assert len(member.tables.origins) == 100


def test_new_leader_learns_all_from_an_entry():
    """Guards against a leader that gets only the newest changes."""
    old, new, entry = (_Process() for _ in range(3))
    _learn(entry, 10.0)
    entry.ask(old, 10.1)
    entry.ask(old, 10.3)
    entry.ask(new, 10.5)
    entry.ask(new, 10.7)
    assert new.state() == entry.state()
    # The same if it goes back to a member that has restarted.
    restarted = _Process()
    for now in (11.0, 11.2):
        entry.ask(restarted, now)
    assert restarted.state() == entry.state()


_STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["crash", "limit", "stream", "ask", "change_leader"]),
        st.integers(0, 3),
    ),
    max_size=25,
)


@given(_STEPS)
def test_copies_agree_after_any_course(steps):
    members = [_Process(), _Process()]
    entries = [_Process() for _ in range(3)]
    leader = members[0]
    now = 0.0
    for index, kind, number in steps:
        now += 0.1
        tables = entries[index].tables
        match kind:
            case "crash":
                tables.suspects.note_crash(
                    f"r{number}", [], True, now, f"request {number % 2}"
                )
            case "limit":
                tables.limits.note(f"r{number}", 1.0 + index, now, now)
            case "stream":
                tables.origins.note(f"c{number}", "models", f"v{index}", now)
            case "ask":
                entries[index].ask(leader, now)
            case "change_leader":
                leader = members[number % 2]
    for _ in range(3):
        for process in entries:
            now += 0.1
            process.ask(leader, now)
    states = [process.state() for process in (leader, *entries)]
    assert all(state == states[0] for state in states)
