"""Tests of the log of replicas that have older weights."""

from types import SimpleNamespace

from papayalink.coordination import weight_loads
from papayalink.roles.authority import behind_log
from papayalink.state import replicas


def _replica(name, version):
    return replicas.Replica(
        replica_id=name,
        service="models",
        address="10.0.0.1:80",
        zone="z",
        slots=64,
        condition=replicas.Condition.READY,
        weights={"m": version},
    )


def _make_log():
    lines = []
    log = behind_log.make_behind_log()
    log._log = SimpleNamespace(
        info=lambda event, **fields: lines.append((event, fields))
    )
    return log, lines


def test_replica_is_logged_once_for_each_version_that_it_lacks():
    log, lines = _make_log()
    for version, target in [(1, 2), (1, 2), (1, 3), (3, 3), (1, 3)]:
        log.note([_replica("r", version)], {"m": target}, {"r"}, {}, 0.0)
    assert [fields["target"] for _, fields in lines] == [2, 3, 3]
    assert {event for event, _ in lines} == {"replica_behind"}


def test_reason_for_a_missing_order_is_logged_once_in_a_period():
    log, lines = _make_log()
    known = [_replica("r", 1), _replica("s", 1), _replica("t", 1)]
    failures = {"s": weight_loads.note_failure(None, 0.0)}
    period_s = behind_log.WAITING_PERIOD_S
    for now in (0.0, 0.9 * period_s, period_s):
        log.note(known, {"m": 2}, {"t"}, failures, now)
    waiting = [fields for event, fields in lines if event == "loads_waiting"]
    assert waiting == [{"replicas": "r", "failed": "s", "loading": "t"}] * 2
