"""Tests of the places for loads that a leader's orders hold.

Few replicas may load at a time, so a place that is held in vain keeps others
on weights that are too old.
"""

import time
from types import SimpleNamespace

import gevent
from gevent import event
import msgspec
import pytest

from papayalink import metrics as metrics_module
from papayalink.coordination import upstream_client
from papayalink.coordination import weight_loads
from papayalink.roles.authority import weights
from papayalink.state import replicas
from papayalink.state import upstreams

_PERIOD_S = 0.01
_TIMEOUT_S = 5.0


class _Platform:
    """Replicas that begin a load when ordered and end it when told.

    Attributes:
        versions: weights of each replica.
        listed: weights of each replica on the list, which may differ.
        orders: replica and version of each order that arrived.
        reads: number of times that the list was read.
        reports: replica of each report that was asked for.
        reports_answered: unset while calls for reports hang.
        list_error: error of each reading of the list.
        errors: error of each call to a replica, None for a rejected order.
        unanswered: replicas whose answers to orders that they take are lost.
    """

    def __init__(self, versions):
        self.versions = dict(versions)
        self.listed = dict(versions)
        self.orders = []
        self.reads = 0
        self.reports = []
        self.list_error = None
        self.errors = {}
        self.unanswered = set()
        self.reports_answered = event.Event()
        self.reports_answered.set()
        self._loading = {}
        self._order_counts = {}

    def list_replicas(self):
        self.reads += 1
        if self.list_error is not None:
            raise self.list_error
        return [
            replicas.Replica(
                replica_id=name,
                service="s",
                address="127.0.0.1:1",
                zone="z",
                slots=1,
                condition=replicas.Condition.READY,
                weights={"m": version},
            )
            for name, version in self.listed.items()
        ]

    def read_report(self, replica):
        self.reports_answered.wait()
        name = replica.replica_id
        self.reports.append(name)
        if self.errors.get(name) is not None:
            raise self.errors[name]
        return upstream_client.Report(
            {"m": self.versions[name]},
            self._order_counts.get(name, 0),
            name in self._loading,
        )

    def order_weights(self, replica, model, version, holder, fence):
        name = replica.replica_id
        self.orders.append((name, version))
        if name in self.errors:
            if self.errors[name] is None:
                return False
            raise self.errors[name]
        if name in self._loading:
            return False
        self._loading[name] = version
        self._order_counts[name] = self._order_counts.get(name, 0) + 1
        if name in self.unanswered:
            raise upstream_client.UpstreamClientError("no answer")
        return True

    def find(self, name):
        """Returns: a replica of the list."""
        return next(
            each for each in self.list_replicas() if each.replica_id == name
        )

    def restart(self, name):
        """Let a replica start again under its id, with the same weights."""
        del self._loading[name]
        del self._order_counts[name]

    def end_load(self, name):
        self.versions[name] = self.listed[name] = self._loading.pop(name)


def _open_order(data, timeout_s):
    order = upstreams.Order("r0", 7, "load_weights", "m@2", "v1")
    return msgspec.msgpack.encode(upstreams.Opened(order))


class _Leader:
    """A leader of which the test decides what passes, and when."""

    def __init__(self, platform):
        self.platform = platform
        self.wanted = {"m": 2}
        self.relay = SimpleNamespace(number=0, listed=(), read_at=0.0)
        self._inboxes = []
        node = SimpleNamespace(
            settings=SimpleNamespace(
                name="v1", bounds=SimpleNamespace(lease_ms=0)
            ),
            timers=SimpleNamespace(
                every=lambda period_s, inbox, message: self._inboxes.append(
                    (inbox, message)
                )
            ),
            metrics=metrics_module.make_metrics(),
        )
        self.upkeep = weights.make_weight_upkeep(
            node,
            SimpleNamespace(confirm=lambda: None),
            SimpleNamespace(is_leader=True, propose=_open_order),
            SimpleNamespace(
                numbered=SimpleNamespace(weights=self.wanted),
                upstreams=SimpleNamespace(open_orders=()),
            ),
            platform,
            self.relay,
        )
        self.upkeep.start()

    def relay_list(self):
        """Hold a list that was just read for entries."""
        reads = self.platform.reads
        self.relay.listed = tuple(self.platform.list_replicas())
        self.relay.number += 1
        self.relay.read_at = time.monotonic()
        self.platform.reads = reads

    def wait_for(self, is_reached):
        """Let periods pass until a condition holds, or fail."""
        with gevent.Timeout(_TIMEOUT_S, AssertionError(self.platform.orders)):
            while not is_reached():
                self.pass_periods(1)

    def pass_periods(self, count):
        for _ in range(count):
            for inbox, message in self._inboxes:
                inbox.put(message)
            gevent.sleep(_PERIOD_S)


@pytest.fixture
def make_leader(monkeypatch):
    """Makes leaders whose places are given back by events alone."""
    monkeypatch.setattr(weights, "PERIOD_S", _PERIOD_S)
    monkeypatch.setattr(weights, "IDLE_LIST_PERIOD_S", _PERIOD_S)
    monkeypatch.setattr(weights, "STATUS_DELAY_S", _PERIOD_S)
    monkeypatch.setattr(weights, "ORDER_DELAY_S", _PERIOD_S)
    monkeypatch.setattr(weight_loads, "ORDER_REPEAT_S", 1000.0)
    monkeypatch.setattr(weights, "UNANSWERED_RETRY_S", 1000.0)
    monkeypatch.setattr(
        weight_loads, "FIRST_RETRY_S", _PERIOD_S, raising=False
    )

    return lambda versions: _Leader(_Platform(versions))


def test_load_that_ended_holds_no_place_for_newer_weights(make_leader):
    """Guards against a wait when a version is named during a load."""
    leader = make_leader({"r0": 1, "r1": 1, "r2": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 2)
    leader.wanted["m"] = 3
    platform.end_load("r0")
    platform.end_load("r1")
    leader.wait_for(lambda: len(platform.orders) == 4)
    assert platform.orders == [("r0", 2), ("r1", 2), ("r2", 3), ("r0", 3)]


@pytest.mark.parametrize(
    "error",
    [
        upstream_client.ReplicaEnded("refused"),
        upstream_client.ReplicaNotReached("timed out"),
        None,
    ],
    ids=["ended", "not-reached", "rejected"],
)
def test_order_that_was_not_taken_holds_no_place(make_leader, error):
    """Guards against crashed replicas that keep sound ones from loading."""
    leader = make_leader({"r0": 1, "r1": 1, "r2": 1, "r3": 1})
    platform = leader.platform
    platform.errors = {"r0": error, "r1": error}
    leader.wait_for(lambda: len(platform.orders) >= 4)
    assert platform.orders[:4] == [("r0", 2), ("r1", 2), ("r2", 2), ("r3", 2)]


def test_replica_that_ends_during_its_load_gives_its_place_back(make_leader):
    """Guards against places that crashed replicas hold for seconds."""
    leader = make_leader({"r0": 1, "r1": 1, "r2": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 2)
    platform.errors = {"r0": upstream_client.ReplicaEnded("refused")}
    leader.wait_for(lambda: len(platform.orders) == 3)
    assert platform.orders[2] == ("r2", 2)


def test_replica_that_returns_is_ordered_again(make_leader):
    """Guards against a replica under its old id that keeps old weights."""
    leader = make_leader({"r0": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 1)
    platform.errors = {"r0": upstream_client.ReplicaEnded("refused")}
    leader.wait_for(lambda: len(platform.orders) == 2)
    platform.errors = {}
    leader.wait_for(lambda: len(platform.orders) == 3)
    platform.end_load("r0")
    leader.pass_periods(10)
    assert platform.orders == [("r0", 2)] * 3


def test_replica_that_was_off_the_list_is_ordered_at_once(
    make_leader, monkeypatch
):
    """Guards against a delay that is left from before a replica's return."""
    leader = make_leader({"r0": 1})
    platform = leader.platform
    monkeypatch.setattr(weight_loads, "FIRST_RETRY_S", 1000.0, raising=False)
    monkeypatch.setattr(weight_loads, "MAX_RETRY_S", 1000.0, raising=False)
    platform.errors = {"r0": upstream_client.ReplicaEnded("refused")}
    leader.wait_for(lambda: len(platform.orders) == 1)
    version = platform.listed.pop("r0")
    platform.errors = {}
    reads = platform.reads
    leader.wait_for(lambda: platform.reads >= reads + 2)
    platform.listed["r0"] = version
    leader.wait_for(lambda: len(platform.orders) == 2)
    assert platform.orders == [("r0", 2)] * 2


def test_replica_that_restarts_during_its_load_is_ordered_again(make_leader):
    """Guards against an order that a restart has cleared and is waited for."""
    leader = make_leader({"r0": 1, "r1": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 2)
    platform.restart("r0")
    leader.wait_for(lambda: len(platform.orders) == 3)
    leader.pass_periods(10)
    assert platform.orders == [("r0", 2), ("r1", 2), ("r0", 2)]


def test_replica_that_returns_with_older_weights_is_ordered_again(make_leader):
    """Guards against a replica under its old id that keeps old weights.

    It reported newer ones before it restarted.
    """
    leader = make_leader({"r0": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 1)
    platform.end_load("r0")
    leader.pass_periods(5)
    platform.versions["r0"] = platform.listed["r0"] = 1
    leader.wait_for(lambda: len(platform.orders) == 2)
    assert platform.orders == [("r0", 2)] * 2


def test_list_that_lags_behind_a_load_causes_no_order(make_leader):
    leader = make_leader({"r0": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 1)
    platform.end_load("r0")
    platform.listed["r0"] = 1
    leader.pass_periods(20)
    platform.listed["r0"] = 2
    leader.pass_periods(20)
    assert platform.orders == [("r0", 2)]


def test_replica_is_seen_soon_on_the_list_of_entries(make_leader, monkeypatch):
    """Guards against a replica that returns with old weights unseen.

    The leader itself seldom reads the list while no replica is behind.
    """
    leader = make_leader({"r0": 2})
    platform = leader.platform
    monkeypatch.setattr(weights, "IDLE_LIST_PERIOD_S", 1000.0)
    leader.wait_for(lambda: platform.reads == 1)
    platform.versions["r1"] = platform.listed["r1"] = 1
    leader.relay_list()
    leader.wait_for(lambda: platform.orders)
    assert platform.orders == [("r1", 2)]
    assert platform.reads == 1


def test_leader_does_not_read_a_list_that_is_read_for_entries(make_leader):
    """Guards against calls to the platform that tell nothing new."""
    leader = make_leader({"r0": 1})
    leader.relay_list()
    leader.pass_periods(20)
    assert leader.platform.orders == [("r0", 2)]
    assert leader.platform.reads == 0


@pytest.mark.parametrize("age_s", [0.0, 1000.0])
def test_leader_reads_the_list_itself_when_no_entry_asks(make_leader, age_s):
    leader = make_leader({"r0": 1})
    if age_s:
        leader.relay_list()
        leader.relay.read_at -= age_s
    leader.wait_for(lambda: leader.platform.reads >= 3)
    assert leader.platform.orders == [("r0", 2)]


def test_order_is_not_repeated_while_its_report_is_waited_for(
    make_leader, monkeypatch
):
    """Guards against an open order that the end of an earlier one closes."""
    leader = make_leader({"r0": 1})
    platform = leader.platform
    monkeypatch.setattr(weight_loads, "ORDER_REPEAT_S", 5 * _PERIOD_S)
    platform.reports_answered.clear()
    leader.pass_periods(20)
    assert platform.orders == [("r0", 2)]
    platform.reports_answered.set()
    leader.wait_for(lambda: len(platform.orders) == 2)


def test_loads_go_on_while_the_list_is_down(make_leader):
    """Guards against replicas that stay on old weights during an outage."""
    leader = make_leader({"r0": 1, "r1": 1, "r2": 1})
    platform = leader.platform
    leader.wait_for(lambda: len(platform.orders) == 2)
    platform.list_error = upstream_client.UpstreamClientError("status 503")
    platform.end_load("r0")
    leader.wait_for(lambda: len(platform.orders) == 3)
    assert platform.orders[2] == ("r2", 2)


def test_reports_are_read_for_as_long_as_a_load_holds_its_place(
    make_leader, monkeypatch
):
    """Guards against a place that is held while nothing watches its load."""
    leader = make_leader({"r0": 1})
    platform = leader.platform
    monkeypatch.setattr(weight_loads, "ORDER_REPEAT_S", 30 * _PERIOD_S)
    monkeypatch.setattr(weights, "STATUS_DELAY_S", 20 * _PERIOD_S)
    leader.wait_for(lambda: len(platform.orders) == 2)
    assert platform.reports[:1] == ["r0"]


def test_replica_whose_load_the_list_shows_is_not_put_behind(
    make_leader, monkeypatch
):
    """Guards against orders without a known end that put replicas last."""
    leader = make_leader({"r0": 1, "r1": 2, "r2": 2})
    platform = leader.platform
    monkeypatch.setattr(weight_loads, "ORDER_REPEAT_S", 5 * _PERIOD_S)
    leader.wait_for(lambda: len(platform.orders) == 1)
    platform.errors = {"r0": upstream_client.UpstreamClientError("no answer")}
    platform.end_load("r0")
    leader.pass_periods(20)
    leader.wanted["m"] = 3
    leader.wait_for(lambda: len(platform.orders) == 3)
    assert sorted(platform.orders[1:]) == [("r0", 3), ("r1", 3)]


@pytest.mark.parametrize("silent", [("r0",), ("r0", "r1")])
@pytest.mark.parametrize(
    "kind", ["answer-lost", "reports-lost", "earlier-leader"]
)
def test_replica_that_is_loading_already_holds_its_place(
    make_leader, monkeypatch, kind, silent
):
    """Guards against more loads at once than may run.

    The order of a replica that stood still, or of an earlier leader, is under
    way, so that another one is rejected.
    """
    monkeypatch.setattr(weights, "UNANSWERED_RETRY_S", _PERIOD_S)
    leader = make_leader({"r0": 1, "r1": 1, "r2": 1, "r3": 1})
    platform = leader.platform
    if kind == "earlier-leader":
        for name in silent:
            platform.order_weights(platform.find(name), "m", 2, "v0", 1)
    else:
        platform.unanswered = set(silent)
    earlier = len(platform.orders)
    leader.wait_for(lambda: len(platform.orders) >= earlier + 2)
    if kind == "reports-lost":
        error = upstream_client.UpstreamClientError("no answer")
        platform.errors = dict.fromkeys(silent, error)
        leader.pass_periods(20)
        platform.errors = {}
    leader.pass_periods(20)
    assert sorted(platform.orders[earlier:]) == [("r0", 2), ("r1", 2)]
    platform.unanswered = set()
    platform.end_load("r0")
    leader.wait_for(lambda: ("r2", 2) in platform.orders)
    leader.pass_periods(20)
    assert ("r3", 2) not in platform.orders
    platform.end_load("r1")
    leader.wait_for(lambda: ("r3", 2) in platform.orders)


def test_replica_that_ends_an_older_load_is_ordered_soon(make_leader):
    """Guards against a place that is held for a load that has ended."""
    leader = make_leader({"r0": 1})
    platform = leader.platform
    platform.order_weights(platform.find("r0"), "m", 2, "v0", 1)
    leader.wanted["m"] = 3
    leader.wait_for(lambda: ("r0", 3) in platform.orders)
    platform.end_load("r0")
    leader.wait_for(lambda: platform.orders.count(("r0", 3)) >= 2)
    platform.end_load("r0")
    assert platform.versions == {"r0": 3}


def test_order_that_was_lost_is_repeated(make_leader, monkeypatch):
    """Guards against a wait for a load that has never begun."""
    monkeypatch.setattr(weights, "UNANSWERED_RETRY_S", _PERIOD_S)
    leader = make_leader({"r0": 1})
    platform = leader.platform
    error = upstream_client.UpstreamClientError("no answer")
    platform.errors = {"r0": error}
    leader.wait_for(lambda: platform.orders)
    platform.errors = {}
    leader.wait_for(lambda: len(platform.orders) == 2)
    platform.end_load("r0")
    leader.pass_periods(10)
    assert platform.orders == [("r0", 2)] * 2
