"""Tests of replicas that say in their answers that they leave."""

import pytest

from papayalink.coordination import leaving_replicas
from tests.roles.gateway import sites

_LEAVING = b"Server-Leaving: 1\r\n"


def _send(site, count=12):
    """Returns: status of the answers to prompts at both entries in turn."""
    return [
        site.entries[number % 2].prompt("resumed", "base", f"own{number}")[0]
        for number in range(count)
    ]


@pytest.mark.parametrize(
    "change",
    [None, sites.Site.replace_member, sites.Site.replace_entry],
    ids=["calm", "new-leader", "restarted-entry"],
)
def test_replica_that_says_it_leaves_gets_no_more_calls(start_site, change):
    """Guards against calls to a replica that the list still shows as ready."""
    site = start_site(size=3)
    leaving = site.replicas[0]
    leaving.headers = _LEAVING
    while not leaving.arrived_at:
        site.entries[0].prompt("resumed", "base", "own")
    site.settle()
    if change is not None:
        change(site)
        site.settle()
    del leaving.arrived_at[:]
    assert _send(site) == [200] * 12
    assert not leaving.arrived_at


def test_entry_that_is_told_obeys_at_once(start_site):
    site = start_site(size=2)
    for replica in site.replicas:
        replica.headers = _LEAVING
    statuses = [
        site.entries[0].prompt("resumed", "base", "own")[0] for _ in range(6)
    ]
    assert statuses == [200, 200, 503, 503, 503, 503]


def test_head_that_tells_it_counts_if_the_answer_breaks_off(start_site):
    """Guards against what is learnt from a head and lost with the answer."""
    site = start_site(size=3)
    leaving = site.replicas[0]
    leaving.headers = _LEAVING
    leaving.breaks_off = True
    while not leaving.arrived_at:
        site.entries[0].prompt("resumed", "base", "own")
    del leaving.arrived_at[:]
    site.settle()
    assert _send(site) == [200] * 12
    assert not leaving.arrived_at


def test_replica_that_starts_again_under_its_id_is_used(start_site, skip_time):
    """Guards against a restarted replica that gets no calls for minutes."""
    site = start_site(size=1)
    replica = site.replicas[0]
    replica.headers = _LEAVING
    assert _send(site, 1) == [200]
    site.settle()
    assert _send(site, 2) == [503] * 2
    # It leaves the list and returns.
    skip_time(1.0)
    site.replicas.remove(replica)
    site.settle()
    skip_time(leaving_replicas.GONE_S)
    site.settle()
    skip_time(1.0)
    site.replicas.append(replica)
    site.settle()
    replica.headers = b""
    assert _send(site) == [200] * 12
    # What it says now counts.
    replica.headers = _LEAVING
    assert _send(site, 1) == [200]
    site.settle()
    assert _send(site, 2) == [503] * 2


@pytest.mark.parametrize(
    ("listed", "said_again_at", "leaving"),
    [
        ([{"r"}, {"r"}], None, True),
        ([{"r"}, set(), set(), set(), {"r"}], None, False),
        # Its entry could not be read once.
        ([{"r"}, set(), {"r"}], None, True),
        ([{"r"}, set(), set(), {"r"}, set(), set(), {"r"}], None, True),
        # The process has started, and has not read the list yet.
        ([set(), set(), set(), {"r"}], None, True),
        ([{"r"}, set(), set(), set(), {"r"}], 6.5, True),
        # Another process tells late what the former run said.
        ([{"r"}, set(), set(), set(), {"r"}], 1.0, False),
    ],
)
def test_replica_that_was_gone_is_another_run(listed, said_again_at, leaving):
    table = leaving_replicas.make_leaving_replicas()
    table.note("r", 0.5)
    for second, names in enumerate(listed):
        table.note_listed(names, 1.0 + second)
    if said_again_at is not None:
        table.note("r", said_again_at)
    assert table.is_leaving("r") is leaving


def test_replica_of_the_same_id_is_used_again_in_time():
    table = leaving_replicas.make_leaving_replicas()
    table.note("r", 0.0)
    copy = leaving_replicas.make_leaving_replicas()
    copy.merge(table.encode(10.0), 10.1)
    for each in (table, copy):
        each.expire(100.0)
        assert each.is_leaving("r")
        each.expire(0.2 + leaving_replicas.KEEP_S)
        assert not each.is_leaving("r")


def test_table_is_bounded_and_changes_seldom():
    table = leaving_replicas.make_leaving_replicas()
    for tenth in range(100):
        table.note("r", tenth / 10)
    assert table.version <= 3
    for number in range(leaving_replicas.MAX_REPLICAS + 10):
        table.note(f"r{number}", 11.0)
    assert len(table.encode(11.0)) == leaving_replicas.MAX_REPLICAS
