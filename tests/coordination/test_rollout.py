"""Tests of the rollout plan."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from papayalink.coordination import rollout

PHASES = list(rollout.Phase)


def _replica(number, phase=rollout.Phase.SERVING, version="old", running=0):
    return rollout.Replica(f"r{number}", phase, version, running, 100.0)


@pytest.mark.parametrize(
    "states, urgent_demand, expected, blocked_by",
    [
        ([("s", 0)] * 4, 0, ["Drain r0", "Drain r1"], "loading"),
        # The replica with the least work drains first.
        ([("s", 5), ("s", 2), ("s", 9)], 150, ["Drain r1"], "demand"),
        ([("s", 0)] * 4, 300, [], "demand"),
        ([("d", 0), ("d", 3), ("s", 0)], 50, ["Load r0"], "loading"),
        ([("l", 0), ("l", 0), ("d", 0), ("s", 0)], 0, [], "loading"),
        (
            [("u", 0), ("s", 0), ("s", 0)],
            0,
            ["Load r0", "Drain r1"],
            "loading",
        ),
        # Demand has risen during the rollout.
        ([("d", 1), ("d", 4), ("s", 0)], 150, ["Resume r1"], "demand"),
        ([("s", 0)], 0, ["Drain r0"], ""),
        ([("s", 0), ("l", 0)], 0, [], "demand"),
        ([("x", 0), ("n", 0), ("n", 0)], 0, [], ""),
    ],
)
def test_plan(states, urgent_demand, expected, blocked_by):
    """Guards against a rollout that takes urgent capacity or stalls."""
    kinds = {
        "s": (rollout.Phase.SERVING, "old"),
        "d": (rollout.Phase.DRAINING, "old"),
        "l": (rollout.Phase.LOADING, "new"),
        "u": (rollout.Phase.UNLOADED, ""),
        "x": (rollout.Phase.DOWN, "old"),
        "n": (rollout.Phase.SERVING, "new"),
    }
    replicas = [
        _replica(number, *kinds[kind], running)
        for number, (kind, running) in enumerate(states)
    ]
    outcome = rollout.plan(
        replicas, "new", {"urgent": urgent_demand}, "urgent"
    )
    actions = [f"{type(a).__name__} {a.replica}" for a in outcome.actions]
    assert actions == expected
    assert outcome.blocked_by == blocked_by


def _step(replica, actions, finish):
    """Returns: the replica after the actions.

    Args:
        finish: whether it completes its loading or draining.
    """
    phase, version = replica.phase, replica.version
    running = replica.running
    for action in actions:
        if action.replica != replica.name:
            continue
        match action:
            case rollout.Drain():
                phase = rollout.Phase.DRAINING
            case rollout.Resume():
                phase = rollout.Phase.SERVING
            case rollout.Load(version=wanted):
                assert running == 0
                phase, version = rollout.Phase.LOADING, wanted
                return msgspec.structs.replace(
                    replica, phase=phase, version=version
                )
    if finish and phase is rollout.Phase.LOADING:
        phase = rollout.Phase.SERVING
    if finish and phase is rollout.Phase.DRAINING:
        running = 0
    return msgspec.structs.replace(
        replica, phase=phase, version=version, running=running
    )


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(PHASES),
            st.sampled_from(["old", "new", "older"]),
            st.integers(0, 3),
        ),
        min_size=1,
        max_size=8,
    ),
    st.lists(st.booleans(), min_size=8, max_size=8),
    st.floats(0, 400),
)
def test_rollout_resumes_from_any_state(states, progress, urgent_demand):
    """Guards against a rollout that stalls after a change of leader.

    It must not overload the weight store or take urgent capacity either.
    """
    replicas = []
    for number, (phase, version, running) in enumerate(states):
        if phase in (rollout.Phase.LOADING, rollout.Phase.UNLOADED):
            running = 0
        replicas.append(_replica(number, phase, version, running))
    for step in range(60):
        demand = urgent_demand if step < 20 else 0.0
        outcome = rollout.plan(replicas, "new", {"urgent": demand}, "urgent")
        loading = sum(r.phase is rollout.Phase.LOADING for r in replicas)
        loads = sum(isinstance(a, rollout.Load) for a in outcome.actions)
        assert loads == 0 or loading + loads <= rollout.MAX_LOADING_REPLICAS
        if any(isinstance(a, rollout.Drain) for a in outcome.actions):
            drained = {
                a.replica
                for a in outcome.actions
                if isinstance(a, rollout.Drain)
            }
            remaining = sum(
                r.capacity
                for r in replicas
                if r.phase is rollout.Phase.SERVING and r.name not in drained
            )
            resumed = sum(
                isinstance(a, rollout.Resume) for a in outcome.actions
            )
            assert remaining + 100.0 * resumed >= 1.2 * demand
        replicas = [
            _step(replica, outcome.actions, progress[step % 8] or step > 25)
            for replica in replicas
        ]
    live = [each for each in replicas if each.phase is not rollout.Phase.DOWN]
    assert all(each.version == "new" for each in live)
    assert rollout.plan(replicas, "new", {}, "urgent") == rollout.Plan([], 0)


def test_baseline_drains_all_at_once():
    """Guards against a baseline that limits loading as the plan does."""
    replicas = [_replica(number) for number in range(4)]
    assert len(rollout.plan_at_once(replicas, "new").actions) == 4
