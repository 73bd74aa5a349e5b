"""Tests of the simulated engines."""

import pytest

from tests.load import engines


def _run(urgency, arrived_at, memory=20_000):
    return engines.Run(urgency, 100, memory, 10, arrived_at)


# Guards against simulations in which an engine preempts other prompts than
# the platform's, which take the newest of the least urgent.
@pytest.mark.parametrize(
    ("running", "preempted"),
    [
        ([(1, 0.0), (2, 1.0)], [(2, 1.0)]),
        ([(2, 0.0), (1, 1.0)], [(2, 0.0)]),
        ([(2, 0.0), (2, 1.0)], [(2, 1.0)]),
        ([(0, 0.0), (2, 1.0)], [(2, 1.0)]),
        ([(0, 0.0), (0, 1.0)], []),
    ],
)
def test_newest_of_the_least_urgent_prompts_is_preempted(running, preempted):
    engine = engines.Engine()
    engine.waiting = [_run(*each) for each in running]
    engine.begin_step()
    engine.waiting.append(_run(0, 2.0))
    engine.begin_step()
    assert [
        (each.urgency, each.arrived_at)
        for each in engine.running + engine.waiting
        if each.preempted
    ] == preempted
