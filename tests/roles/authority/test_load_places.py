"""Tests of the places for loads that a leader's orders hold.

Few replicas may load at a time, so a place that is held in vain keeps others
on weights that are too old.
"""

from types import SimpleNamespace

import gevent
import pytest

from papayalink import metrics as metrics_module
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
    """

    def __init__(self, versions):
        self.versions = dict(versions)
        self.listed = dict(versions)
        self.orders = []
        self.reads = 0
        self._loading = {}

    def list_replicas(self):
        self.reads += 1
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

    def read_weights(self, replica):
        return {"m": self.versions[replica.replica_id]}

    def order_weights(self, replica, model, version, holder, fence):
        name = replica.replica_id
        self.orders.append((name, version))
        self._loading[name] = version
        return True

    def end_load(self, name):
        self.versions[name] = self.listed[name] = self._loading.pop(name)


class _Leader:
    """A leader of which the test decides what passes, and when."""

    def __init__(self, platform):
        self.platform = platform
        self.wanted = {"m": 2}
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
            SimpleNamespace(is_leader=True),
            SimpleNamespace(
                numbered=SimpleNamespace(weights=self.wanted),
                upstreams=SimpleNamespace(open_orders=()),
            ),
            platform,
        )
        self.upkeep.start()

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
    monkeypatch.setattr(weights, "STATUS_DELAY_S", _PERIOD_S)
    monkeypatch.setattr(weights, "ORDER_DELAY_S", _PERIOD_S)
    monkeypatch.setattr(weight_loads, "ORDER_REPEAT_S", 1000.0)

    def propose(self, command):
        name = getattr(command, "upstream", "")
        return SimpleNamespace(
            order=upstreams.Order(name, 7, "load_weights", "m@2", "v1")
        )

    monkeypatch.setattr(weights.WeightUpkeep, "_propose", propose)
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
