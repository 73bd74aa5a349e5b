"""Tests of limits that replicas name, and of their division."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import named_limits


@pytest.mark.parametrize(
    ("statements", "limit_per_s"),
    [
        # Limit, when the request was sent, and when its answer arrived.
        ([(4.0, 0.0, 1.0)], 4.0),
        ([(4.0, 0.0, 1.0), (3.0, 1.0, 2.0)], 3.0),
        ([(4.0, 0.0, 1.0), (None, 1.5, 2.0)], None),
        # The answer may have been made before the limit was.
        ([(4.0, 0.0, 1.0), (None, 0.9, 2.0)], 4.0),
        ([(None, 0.0, 1.0)], None),
        ([(0.0, 0.0, 1.0)], named_limits.MIN_LIMIT_PER_S),
    ],
)
def test_limit_after_statements(statements, limit_per_s):
    limits = named_limits.make_named_limits()
    for named, sent_at, now in statements:
        limits.note("r", named, sent_at, now)
    assert limits.limit_per_s("r") == limit_per_s
    assert limits.limited() == ([] if limit_per_s is None else ["r"])


def test_limit_that_is_named_on_is_kept_and_one_that_is_not_is_forgotten():
    limits = named_limits.make_named_limits()
    for now in range(100):
        limits.note("r", 4.0, now - 0.5, float(now))
        limits.expire(float(now))
    assert limits.limit_per_s("r") == 4.0
    limits.expire(99.0 + named_limits.KEEP_S)
    assert limits.limit_per_s("r") is None


def test_table_is_bounded():
    limits = named_limits.make_named_limits()
    for number in range(2 * named_limits.MAX_REPLICAS):
        limits.note(f"r{number}", 1.0, 0.0, 1.0)
    assert len(limits.limited()) == named_limits.MAX_REPLICAS


@pytest.mark.parametrize("entries", [1, 8, 70, 360])
@pytest.mark.parametrize("limit_per_s", [0.5, 3.6, 50.0])
def test_permits_of_all_entries_keep_to_the_limit(entries, limit_per_s):
    """At most half more than the limit and 5 can be sent in any 4 s."""
    limits = named_limits.make_named_limits()
    limits.note("r", limit_per_s, 0.0, 0.0)
    source = named_limits.make_permit_source(limits)
    granted_at = []
    wanted = max(1, int(limit_per_s / 4))
    for step in range(20 * 5 * entries):
        now = step * 0.2 / entries
        limits.note("r", limit_per_s, now, now)
        for _, count in source.grant([("r", wanted)], now):
            granted_at.extend([now] * count)
    # A permit may be used a second after it was granted.
    assert all(
        sum(begin <= at < begin + 5.0 for at in granted_at)
        <= 1.5 * limit_per_s * 4.0 + 5
        for begin in range(15)
    )
    assert len(granted_at) >= 0.8 * limit_per_s * 20 - 1


_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from([None, 2.0, 3.0, "exchange"]),
        st.sampled_from(["r1", "r2"]),
    ),
    max_size=30,
)


@given(_EVENTS)
def test_tables_agree_on_the_newest_statements_and_stop_changing(events):
    member = named_limits.make_named_limits(5)
    entries = [named_limits.make_named_limits() for _ in range(3)]
    now = 0.0

    def exchange(entry):
        member.merge(entry.encode(now), now + 0.01)
        entry.merge(member.encode(now + 0.01), now + 0.02)

    for index, event, replica_id in events:
        now += 0.3
        if event == "exchange":
            exchange(entries[index])
        else:
            entries[index].note(replica_id, event, now - 0.1, now)
    for _ in range(4):
        now += 0.1
        for entry in entries:
            exchange(entry)
    versions = [table.version for table in (member, *entries)]
    for entry in entries:
        now += 0.1
        exchange(entry)
    assert versions == [table.version for table in (member, *entries)]
    for replica_id in ("r1", "r2"):
        expected = member.limit_per_s(replica_id)
        assert [each.limit_per_s(replica_id) for each in entries] == (
            [expected] * 3
        )
