"""Tests of replicas that start again under their ids, without a gap."""

import time

import msgspec
import pytest

from papayalink.coordination import crash_suspects
from papayalink.coordination import fleet as fleets
from papayalink.coordination import table_exchange
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.state import replicas

_SHOWS = {
    "leaving": lambda member: member.leaving,
    "limit": lambda member: member.limit_per_s is not None,
    "permits": lambda member: member.permits(0.0) > 0,
    "parts": lambda member: member.held_tokens("s", _PARTS) > 0,
    "failures": lambda member: member.failures > 0,
    "pause": lambda member: member.avoided_s(0.0) > 0,
    "unreachable": lambda member: not member.reachable,
}
_PARTS = (calls.Part("p", 10),)


def _list_again(site, **fields):
    """Let all entries read a list with other fields of the first replica."""
    listed = list(site.listed)
    listed[0] = msgspec.structs.replace(listed[0], **fields)
    for entry in site.entries:
        entry.listing.apply(listed, False)
        entry.listing.note_age(0.0)
        entry.exchange()


@pytest.mark.parametrize("shows", _SHOWS.values(), ids=_SHOWS)
@pytest.mark.parametrize(
    ("born", "is_new"),
    [((7, 8), True), ((7, 7), False), ((0, 8), False), ((7, 0), False)],
    ids=["later", "same", "unknown-before", "unknown-now"],
)
def test_nothing_of_a_former_lifetime_is_kept(start_site, shows, born, is_new):
    """Guards against limits, marks and counts that outlive their replica."""
    site = start_site(size=2)
    _list_again(site, born_ms=born[0])
    first, second = site.entries
    member = first.fleet.find("models0")
    now = time.monotonic()
    first.tables.leaving.note("models0", now, member.born_ms)
    first.tables.limits.note("models0", 2.0, now, now, member.born_ms)
    first.departures.apply()
    first.limits.apply()
    first.exchange()
    second.exchange()
    member.add_permits(1, 0.0)
    member.note_parts("s", _PARTS, 100)
    member.note_result(True)
    member.note_full(0.0, 5.0)
    member.set_reachable(False)
    assert shows(member)
    _list_again(site, born_ms=born[1])
    assert shows(first.fleet.find("models0")) is not is_new
    for entry in site.entries:
        of_entry = entry.fleet.find("models0")
        assert of_entry.leaving is not is_new
        assert (of_entry.limit_per_s is not None) is not is_new


def test_restarted_replica_is_used_again(start_site):
    """Guards against restarted replicas that stay marked as leaving."""
    site = start_site(size=2)
    for replica in site.replicas:
        replica.headers = b"Server-Leaving: 1\r\n"
    _list_again(site, born_ms=7)
    statuses = [
        site.entries[0].prompt("resumed", "base", "own")[0] for _ in range(3)
    ]
    assert statuses == [200, 200, 503]
    site.replicas[0].headers = b""
    _list_again(site, born_ms=8)
    for entry in site.entries:
        assert entry.prompt("resumed", "base", "own")[0] == 200


def test_loading_goes_on_while_its_order_is_open():
    fleet = fleets.make_fleet("z", 10.0)
    replica = replicas.Replica(
        replica_id="r",
        service="s",
        address="10.0.0.1:80",
        zone="z",
        slots=1,
        condition=replicas.Condition.READY,
        born_ms=7,
    )
    fleet.update([replica])
    fleet.set_loading([messages.Loading("r", "m", 2)])
    fleet.update([msgspec.structs.replace(replica, born_ms=8)])
    assert fleet.find("r").loading == {"m"}
    fleet.set_loading([])
    assert not fleet.find("r").loading


# Guards against a part that ends the same replicas again and again.
def test_part_that_ends_restarting_replicas_is_blocked(start_site, skip_time):
    site = start_site(crashing=["bad"], size=2)
    returned = {}
    crashes = 0
    for number in range(12):
        for replica in list(site.replicas):
            if replica.name in site.crashed:
                # It starts again under its id, at another port.
                site.crashed.remove(replica.name)
                site.replicas.remove(replica)
                crashes += 1
                again = site.start_replica(replica.software)
                again.name = replica.name
                returned[replica.name] = returned.get(replica.name, 0) + 1
        listed = [
            msgspec.structs.replace(
                each, born_ms=1 + returned.get(each.replica_id, 0)
            )
            for each in site.listed
        ]
        for entry in site.entries:
            entry.listing.apply(listed, False)
            entry.listing.note_age(0.0)
            entry.exchange()
        for entry in site.entries:
            entry.exchange()
        entry = site.entries[number % 2]
        entry.prompt("resumed", "base", "bad", f"own{number}")
        skip_time(0.1)
    assert crashes <= 5
    assert all(entry.crashes.suspects.blocked for entry in site.entries)


@pytest.mark.parametrize(
    ("ends", "counted"),
    [
        # Reports of one end that come late, because their sender stood still.
        ([(7, 0.0), (7, 0.3), (7, 6.0)], 1),
        # Lifetimes that follow each other quickly.
        ([(7, 0.0), (8, 0.5), (9, 0.9)], 3),
        # Nothing but the time tells the lifetimes apart.
        ([(0, 0.0), (0, 0.9)], 1),
        ([(0, 0.0), (0, 2.0), (0, 4.0)], 3),
        # One reporter knew the lifetime, and the other did not.
        ([(0, 0.0), (7, 0.5), (7, 3.0)], 1),
        ([(7, 0.0), (0, 0.5), (0, 3.0)], 2),
        ([(7, 0.0), (0, 3.0), (8, 3.5)], 2),
    ],
)
def test_ends_of_a_replica_that_count(ends, counted):
    table = crash_suspects.make_crash_suspects()
    copy = crash_suspects.make_crash_suspects()
    for born_ms, at in ends:
        table.note_crash("r", ["bad"], True, at, "", born_ms)
        copy.merge(table.encode(at), at)
    for each in (table, copy):
        assert each._counts["bad"] == counted


def test_entries_that_see_the_same_ends_count_them_once():
    """Guards against one count for each process that sees an end."""
    entries = [crash_suspects.make_crash_suspects() for _ in range(3)]
    for end in range(2):
        for number, entry in enumerate(entries):
            at = 10.0 * end + 0.2 * number
            entry.note_crash("r", ["bad"], True, at)
        for entry in entries:
            for other in entries:
                entry.merge(other.encode(10.0 * end + 1.0), 10.0 * end + 1.0)
    assert [entry._counts["bad"] for entry in entries] == [2, 2, 2]


@pytest.mark.parametrize("name", ["leaving", "limits"])
def test_statement_of_a_later_lifetime_replaces_the_former(name):
    """Guards against a statement that is taken for a repeated one."""

    def note(tables, at, born_ms):
        if name == "leaving":
            tables.leaving.note("r", at, born_ms)
        else:
            tables.limits.note("r", 2.0, at, at, born_ms)

    def holds(tables, born_ms):
        if name == "leaving":
            return tables.leaving.is_leaving("r", born_ms)
        return tables.limits.limit_per_s("r", born_ms) is not None

    own, other = (
        table_exchange.make_table_set(),
        table_exchange.make_table_set(),
    )
    for tables, at, born_ms in [(own, 10.0, 7), (other, 10.4, 8)]:
        note(tables, at, born_ms)
    own.merge(other.changes({}, 10.5), 10.5)
    assert holds(own, 8) and not holds(own, 7)
    note(own, 10.6, 9)
    assert holds(own, 9) and not holds(own, 8)
