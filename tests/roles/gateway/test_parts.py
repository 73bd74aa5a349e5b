"""Tests of the exchange of an entry with a control member."""

import time
from types import SimpleNamespace

import gevent
import pytest

from papayalink import metrics as metrics_module
from papayalink import node_settings
from papayalink.coordination import fleet as fleets
from papayalink.coordination import table_exchange
from papayalink.protocol import messages
from papayalink.roles.authority import service as services
from papayalink.roles.gateway import budgets
from papayalink.roles.gateway import crashes
from papayalink.roles.gateway import departures
from papayalink.roles.gateway import limits
from papayalink.roles.gateway import listing as listings
from papayalink.roles.gateway import parts
from papayalink.state import part_directory
from papayalink.state import replicas
from tests.roles.gateway import stubs


class _Liveness:
    """Records which replicas are given up and which are checked."""

    def __init__(self):
        self.given_up = []
        self.checked = []

    def note_lost_to_others(self, member):
        self.given_up.append(member.replica.replica_id)

    def is_reachable(self, member):
        self.checked.append(member.replica.replica_id)


class _Stores:
    """Stores of a member, which may not have been read yet."""

    def __init__(self):
        self.complete = True
        self.demands = 0
        self.directory = part_directory.make_part_directory()

    def note_demand(self):
        self.demands += 1


class _Relay:
    number = 0
    listed = ()

    def age_ms(self):
        return 0

    def note_demand(self):
        pass


class _State:
    """State of a member that leads until another one does."""

    def __init__(self):
        self.leading_term = 1

    def confirm(self):
        pass


class _Member:
    """A control member that answers exchanges in the same process."""

    def __init__(self, state=stubs.NOT_LEADING):
        self.stores = _Stores()
        self.service = services.make_service(
            state,
            None,
            None,
            True,
            None,
            self.stores,
            _Relay(),
        )

    def keep(self, key):
        self.stores.directory.apply([part_directory.Change("k", key, 10)])


class _Entry:
    """An entry with ten replicas that asks the members it is given."""

    def __init__(self, name, *members):
        self.members = list(members)
        self.fleet = fleets.make_fleet("z", 10.0)
        self.fleet.update(
            replicas.Replica(
                replica_id=f"r{number}",
                service="s",
                address=f"10.0.0.{number}:80",
                zone="z",
                slots=1,
                condition=replicas.Condition.READY,
            )
            for number in range(10)
        )
        self.liveness = _Liveness()
        self.directory = part_directory.make_part_directory()
        tables = table_exchange.make_table_set()
        self.follower = parts.make_parts_follower(
            SimpleNamespace(
                settings=SimpleNamespace(name=name),
                rpc_client=SimpleNamespace(call=self._call),
            ),
            lambda: [""],
            self.fleet,
            self.liveness,
            tables,
            crashes.make_crash_observer(
                tables.suspects, self.liveness, metrics_module.make_metrics()
            ),
            limits.make_limit_keeper(tables.limits, self.fleet),
            departures.make_departures(tables.leaving, self.fleet, None),
            listings.make_listing(
                None, self.fleet, None, metrics_module.make_metrics()
            ),
            self.directory,
        )

    def _call(self, address, method, message, timeout_s):
        assert method == "Parts"
        # As the message arrives, after it was encoded and decoded.
        message = messages.decode(messages.encode(message))
        reply = self.members[0].service.parts(message)
        return messages.decode(messages.encode(reply))

    def exchange(self):
        assert self.follower._exchange("")
        gevent.sleep(0.01)

    def lose(self, *names):
        for name in names:
            self.fleet.find(name).set_reachable(False)


@pytest.mark.parametrize(
    ("lost", "given_up", "checked"),
    [
        ([["r1"]], [], ["r1"]),
        ([["r1"], ["r1"]], ["r1"], []),
        ([["r1", "r2"], ["r1"]], ["r1"], ["r2"]),
        # Two entries that are cut off must not take all replicas from others.
        ([[f"r{n}" for n in range(6)]] * 2, [], [f"r{n}" for n in range(6)]),
    ],
    ids=["one-entry", "two-entries", "mixed", "most-replicas"],
)
def test_replicas_lost_to_other_entries(lost, given_up, checked):
    member = _Member()
    for number, names in enumerate(lost):
        other = _Entry(f"other{number}", member)
        other.lose(*names)
        other.exchange()
    entry = _Entry("e", member)
    entry.exchange()
    assert entry.liveness.given_up == given_up
    assert entry.liveness.checked == checked


def test_entries_are_counted_by_the_member_that_all_ask():
    member = _Member()
    entries = [_Entry(f"e{number}", member) for number in range(5)]
    for entry in entries:
        entry.exchange()
    assert entries[-1].follower.entries() == 5
    # A new leader knows few entries at first.
    entries[-1].members = [_Member()]
    entries[-1].exchange()
    assert entries[-1].follower.entries() == 5


def test_entries_still_count_after_a_time_without_a_member(skip_time):
    """Guards against entries that each use up what all of them share."""
    member = _Member()
    entries = [_Entry(f"e{number}", member) for number in range(5)]
    for entry in entries:
        entry.exchange()
    follower = entries[-1].follower
    skip_time(3 * parts.ENTRIES_PERIOD_S)
    assert follower.entries() == 5
    # Nor does a new leader know them at first.
    entries[-1].members = [_Member()]
    entries[-1].exchange()
    assert follower.entries() == 5
    for _ in range(3 * int(parts.ENTRIES_PERIOD_S)):
        skip_time(1.0)
        entries[-1].exchange()
    assert follower.entries() == 1


def test_directory_is_kept_until_a_new_leader_knows_the_stores():
    """Guards against prompts that are read again after a change of leader."""
    old, new = _Member(), _Member()
    old.keep("s/a")
    entry = _Entry("e", old)
    entry.exchange()
    assert entry.directory.holders("s/a") == ["k"]
    entry.members = [new]
    new.stores.complete = False
    entry.exchange()
    assert new.stores.demands == 1
    assert entry.directory.holders("s/a") == ["k"]
    new.keep("s/b")
    new.stores.complete = True
    entry.exchange()
    assert not entry.directory.holders("s/a")
    assert entry.directory.holders("s/b") == ["k"]


# Guards against sides of a cut that each use the whole retry allowance: every
# member hears some of the entries, and none leads.
def test_sides_of_a_cut_share_one_allowance(skip_time):
    bounds = node_settings.Bounds(retry_ratio=0.0, retry_slack=100.0)
    leader = _Member(_State())
    entries = [_Entry(f"e{number}", leader) for number in range(4)]
    shares = [
        budgets.make_budgets(bounds, entry.follower.retry_share, float("-inf"))
        for entry in entries
    ]

    def count_allowed():
        allowed = 0.0
        for each in shares:
            allowed += each.for_service("s", time.monotonic()).constant
        return allowed

    def exchange(seconds):
        for _ in range(seconds):
            skip_time(1.0)
            for entry in entries:
                entry.exchange()

    exchange(20)
    assert count_allowed() == pytest.approx(100.0 * budgets.ALLOWANCE_SHARE)
    near, far = _Member(), _Member()
    for entry in entries[:2]:
        entry.members = [near]
    for entry in entries[2:]:
        entry.members = [far]
    for _ in range(30):
        exchange(1)
        assert count_allowed() <= 100.0 * budgets.ALLOWANCE_SHARE
