"""Tests of the decision to leave a silent replica."""

import time
from types import SimpleNamespace

import pytest

from papayalink.coordination import attempts
from papayalink.coordination import fleet_member
from papayalink.coordination import retry
from papayalink.coordination import run_times
from papayalink.roles.gateway import repeat_charges
from papayalink.roles.gateway import silence
from papayalink.roles.gateway import silent_replicas
from papayalink.state import replicas
from papayalink.state import traffic
from papayalink.transport import errors
from tests.roles.gateway import stubs


def _make_member(name):
    return fleet_member.make_member(
        replicas.Replica(
            replica_id=name,
            service="desk",
            address="10.0.0.1:80",
            zone="z",
            slots=1,
            condition=replicas.Condition.READY,
        )
    )


# Guards against a retry budget that is charged more than once for one repeat:
# what arrives during a check keeps the call at its replica until the next one.
def test_budget_is_charged_once_for_each_repeat():
    silent, other = _make_member("silent"), _make_member("other")
    # Room for two repeats.
    budget = retry.Budget(ratio=0.0, constant=2)
    shared = SimpleNamespace(
        liveness=SimpleNamespace(is_reachable=lambda member: member is other),
        crashes=SimpleNamespace(blocked_key=lambda keys, repeated: None),
        fleet=SimpleNamespace(
            choose=lambda request, tried, now: SimpleNamespace(member=other),
            find={"silent": silent, "other": other}.get,
            members=lambda service: [silent, other],
        ),
        metrics=SimpleNamespace(count=lambda name, **labels: None),
        run_times=run_times.make_run_times(),
    )
    repeat = traffic.RepeatPolicy.IDEMPOTENT
    charges = repeat_charges.make_repeat_charges(
        shared.fleet,
        SimpleNamespace(for_service=lambda service, now: budget),
        "desk",
    )
    route = stubs.make_route("safe", repeat)
    record = SimpleNamespace(call_id="c1", expected_s=0.0, tried=["silent"])
    check = silence.make_silence_check(
        shared,
        route,
        None,
        attempts.make_attempts(repeat, 2),
        charges,
        None,
        record,
        silent_replicas.make_silent_replicas(shared, route, record),
        lambda: 5.0,
    )
    for _ in range(3):
        with pytest.raises(errors.ConnectionLost):
            check.check(silent, SimpleNamespace(service="desk"), 0.5)
    assert charges.reserved
    assert budget.used(time.monotonic()) == 1
    now = time.monotonic()
    assert budget.take(now)
    assert not budget.take(now)
