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
    "states, urgent, expected, held",
    [
        ([("s", 0)] * 4, 0, ["Drain r0", "Drain r1"], "loading"),
        # The replica with the least work goes first.
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
        # Demand that rose during the rollout.
        ([("d", 1), ("d", 4), ("s", 0)], 150, ["Resume r1"], "demand"),
        ([("s", 0)], 0, ["Drain r0"], ""),
        ([("s", 0), ("l", 0)], 0, [], "demand"),
        ([("x", 0), ("n", 0), ("n", 0)], 0, [], ""),
    ],
)
def test_plan(states, urgent, expected, held):
    # Guards against a rollout that takes urgent capacity or gets stuck.
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
    outcome = rollout.plan(replicas, "new", {"urgent": urgent}, "urgent")
    actions = [f"{type(a).__name__} {a.replica}" for a in outcome.actions]
    assert actions == expected
    assert outcome.held == held


def _step(replica, actions, finish):
    """Observed state after the actions and some progress."""
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
def test_rollout_resumes_from_any_state(states, progress, urgent):
    # Guards against a rollout that overloads the weight store, cuts urgent
    # capacity, or stops for good after a change of leader.
    replicas = []
    for number, (phase, version, running) in enumerate(states):
        if phase in (rollout.Phase.LOADING, rollout.Phase.UNLOADED):
            running = 0
        replicas.append(_replica(number, phase, version, running))
    for step in range(60):
        demand = urgent if step < 20 else 0.0
        outcome = rollout.plan(replicas, "new", {"urgent": demand}, "urgent")
        before = sum(r.phase is rollout.Phase.LOADING for r in replicas)
        loads = sum(isinstance(a, rollout.Load) for a in outcome.actions)
        assert loads == 0 or before + loads <= rollout.MAX_LOADING
        if any(isinstance(a, rollout.Drain) for a in outcome.actions):
            touched = {
                a.replica
                for a in outcome.actions
                if isinstance(a, rollout.Drain)
            }
            left = sum(
                r.capacity
                for r in replicas
                if r.phase is rollout.Phase.SERVING and r.name not in touched
            )
            resumed = sum(
                isinstance(a, rollout.Resume) for a in outcome.actions
            )
            assert left + 100.0 * resumed >= 1.2 * demand
        replicas = [
            _step(one, outcome.actions, progress[step % 8] or step > 25)
            for one in replicas
        ]
    live = [one for one in replicas if one.phase is not rollout.Phase.DOWN]
    assert all(one.version == "new" for one in live)
    assert rollout.plan(replicas, "new", {}, "urgent") == rollout.Plan([], 0)


def test_baseline_takes_all_at_once():
    # Guards against a baseline that is as careful as the plan.
    replicas = [_replica(number) for number in range(4)]
    assert len(rollout.plan_at_once(replicas, "new").actions) == 4
