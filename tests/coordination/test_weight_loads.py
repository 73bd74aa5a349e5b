"""Tests of the choice of replicas that load weights."""

import pytest

from papayalink.coordination import weight_loads
from papayalink.state import replicas

_READY = replicas.Condition.READY
_LEAVING = replicas.Condition.LEAVING


def _replica(name, version, condition=_READY):
    return replicas.Replica(
        replica_id=name,
        service="models",
        address="10.0.0.1:80",
        zone="z",
        slots=64,
        condition=condition,
        weights={"m": version},
    )


def _choose(replica_list, ordered_at=None, now=100.0):
    loads = weight_loads.choose_loads(
        replica_list, {"m": 2}, ordered_at or {}, now
    )
    return [load.replica.replica_id for load in loads]


def test_number_of_concurrent_loads_is_limited():
    replica_list = [_replica(f"r{number}", 1) for number in range(6)]
    assert _choose(replica_list) == ["r0", "r1"]


def test_loading_replicas_count_towards_the_limit():
    replica_list = [_replica(f"r{number}", 1) for number in range(6)]
    assert _choose(replica_list, {"r0": 99.5, "r1": 99.5}) == []
    assert _choose(replica_list, {"r0": 99.5}) == ["r1"]


def test_order_without_effect_is_repeated_after_the_others():
    replica_list = [_replica(f"r{number}", 1) for number in range(3)]
    stale = 100.0 - weight_loads.ORDER_REPEAT_S
    assert _choose(replica_list, {"r0": stale}) == ["r1", "r2"]
    assert _choose(replica_list[:1], {"r0": stale}) == ["r0"]


def test_leaving_replicas_come_last():
    replica_list = [
        _replica("r0", 1, _LEAVING),
        _replica("r1", 1),
        _replica("r2", 1),
    ]
    assert _choose(replica_list) == ["r1", "r2"]


@pytest.mark.parametrize("version", [2, 3])
def test_replicas_with_current_weights_get_no_order(version):
    assert _choose([_replica("r0", version)]) == []


def test_oldest_weights_are_replaced_first():
    """Guards against a replica that waits on the oldest weights.

    Calls can use it for the shortest time.
    """
    replica_list = [
        _replica("r0", 8),
        _replica("r1", 9),
        _replica("r2", 7),
        _replica("r3", 8, _LEAVING),
        _replica("r4", 6, _LEAVING),
        _replica("r5", 8),
    ]
    loads = weight_loads.choose_loads(replica_list, {"m": 10}, {}, 100.0)
    assert [load.replica.replica_id for load in loads] == ["r2", "r0"]


def test_failed_orders_hold_no_place_and_come_behind_sound_replicas():
    """Guards against crashed replicas that keep sound ones from loading."""
    replica_list = [_replica("r0", 1), _replica("r1", 1), _replica("r2", 1)]
    failure = weight_loads.note_failure(None, 99.9)
    failures = {"r0": failure, "r1": failure}

    def choose(now):
        loads = weight_loads.choose_loads(
            replica_list, {"m": 2}, {}, now, failures
        )
        return [load.replica.replica_id for load in loads]

    assert choose(100.0) == ["r2"]
    assert choose(failure.retry_at) == ["r2", "r0"]


@pytest.mark.parametrize(
    ("failures", "delay_s"), [(1, 0.5), (2, 1.0), (3, 2.0), (50, 2.0)]
)
def test_delay_after_failed_orders_grows_up_to_a_bound(failures, delay_s):
    """Guards against orders that are repeated without a pause."""
    failure = None
    for _ in range(failures):
        failure = weight_loads.note_failure(failure, 100.0)
    assert failure.retry_at == 100.0 + delay_s
