"""Tests of what is known of the weights of replicas."""

import pytest

from papayalink.coordination import known_weights
from papayalink.state import replicas

_BOUND_S = known_weights.REPORT_PRECEDENCE_S


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


def _versions(known):
    return {each.replica_id: each.weights["m"] for each in known.replicas}


@pytest.mark.parametrize(
    ("listed", "delay_s", "version"),
    [
        (1, 0.0, 2),
        (1, 0.9 * _BOUND_S, 2),
        (1, _BOUND_S, 1),
        (3, 0.0, 3),
        (3, _BOUND_S, 3),
    ],
)
def test_report_overrides_an_older_list_for_a_time(listed, delay_s, version):
    """Guards against a replica that returns with older weights for good."""
    known = known_weights.make_known_weights()
    known.note_list([_replica("r", 1)], 9.0)
    known.note_report(_replica("r", 1), {"m": 2}, 10.0)
    assert _versions(known) == {"r": 2}
    known.note_list([_replica("r", listed)], 10.0 + delay_s)
    assert _versions(known) == {"r": version}
    assert known.listed_at == 10.0 + delay_s


def test_list_names_the_replicas():
    known = known_weights.make_known_weights()
    known.note_report(_replica("r", 1), {"m": 2}, 10.0)
    assert _versions(known) == {}
    known.note_list([_replica("s", 1)], 10.1)
    known.note_list([_replica("r", 1)], 10.2)
    assert _versions(known) == {"r": 1}


@pytest.mark.parametrize(
    ("targets", "behind"),
    [({}, False), ({"m": 1}, False), ({"m": 2}, True), ({"n": 2}, False)],
)
def test_replica_is_behind_if_it_has_older_weights(targets, behind):
    known = known_weights.make_known_weights()
    known.note_list([_replica("r", 1)], 1.0)
    assert known.is_behind(targets) is behind
