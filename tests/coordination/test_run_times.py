"""Tests of the times that recent calls took."""

import pytest

from papayalink.coordination import run_times


def _note(times, route, runs):
    for first_s, token_s in runs:
        times.note(route, run_times.Run(first_s, token_s))


@pytest.mark.parametrize(
    ("runs", "slowest", "typical"),
    [
        ([(0.1, 0.0)], (0.1, 0.0), (0.1, 0.0)),
        (
            [(0.1, 0.02), (0.9, 0.01), (0.2, 0.05)],
            (0.9, 0.05),
            (0.2, 0.02),
        ),
        (
            [(9.0, 1.0)] + [(0.1, 0.01)] * run_times.MAX_RUNS,
            (0.1, 0.01),
            (0.1, 0.01),
        ),
    ],
    ids=["one", "three", "oldest forgotten"],
)
def test_slowest_and_typical_run(runs, slowest, typical):
    times = run_times.make_run_times()
    _note(times, "r", runs)
    _note(times, "other", [(50.0, 5.0)])
    assert times.slowest("r") == run_times.Run(*slowest)
    assert times.typical("r") == run_times.Run(*typical)


@pytest.mark.parametrize(("count", "known"), [(0, 0), (2, 0), (3, 1), (40, 1)])
def test_slowest_run_is_known_from_enough_runs(count, known):
    times = run_times.make_run_times()
    _note(times, "r", [(0.1, 0.01)] * count)
    expected = run_times.Run(0.1, 0.01) if known else None
    assert times.slowest("r", 3) == expected


@pytest.mark.parametrize(
    ("runs", "usual"),
    [
        ([(0.1, 0.0)], (0.1, 0.0)),
        ([(0.1, 0.02), (0.9, 0.01), (0.2, 0.05), (0.3, 0.03)], (0.3, 0.03)),
        # A quarter waited for a replica that stood still.
        ([(6.0, 1.0)] * 8 + [(0.1, 0.01)] * 24, (0.1, 0.01)),
        ([(6.0, 1.0)] * 9 + [(0.1, 0.01)] * 23, (6.0, 1.0)),
    ],
)
def test_usual_run(runs, usual):
    """Guards against runs that count with the pause of their replica."""
    times = run_times.make_run_times()
    _note(times, "r", runs)
    assert times.usual("r") == run_times.Run(*usual)


def test_route_without_calls_has_no_times():
    times = run_times.make_run_times()
    assert times.slowest("r") is None
    assert times.typical("r") is None
    assert times.usual("r") is None


def test_routes_that_are_replaced_are_forgotten():
    """Guards against memory that grows with each change of the routes."""
    times = run_times.make_run_times()
    for number in range(run_times.MAX_ROUTES + 1):
        _note(times, f"r{number}", [(0.1, 0.0)])
    assert times.slowest("r0") is None
    assert times.slowest("r1") == run_times.Run(0.1, 0.0)


# Guards against long runs that are forgotten among many short ones, and
# against a route that is taken for a slow one for good.
@pytest.mark.parametrize(
    ("runs", "now", "longest"),
    [
        ([], 0.0, (0.0, 0.0)),
        ([(0.0, 0.3, 0.3), (1.0, 2.6, 2.6)], 2.0, (2.6, 2.6)),
        ([(1.0, 2.6, 2.6)] + [(2.0, 0.3, 0.3)] * 300, 3.0, (2.6, 2.6)),
        ([(0.0, 0.1, 5.1), (1.0, 0.9, 1.0)], 2.0, (0.9, 5.1)),
        (
            [(0.0, 2.6, 2.6), (50.0, 0.3, 0.3)],
            run_times.LONGEST_PERIOD_S - 1.0,
            (2.6, 2.6),
        ),
        (
            [(0.0, 2.6, 2.6), (run_times.LONGEST_PERIOD_S + 1.0, 0.3, 0.3)],
            2 * run_times.LONGEST_PERIOD_S + 2.0,
            (0.3, 0.3),
        ),
    ],
)
def test_longest_run(runs, now, longest):
    times = run_times.make_run_times()
    for at, first_s, total_s in runs:
        times.note_at_work("r", first_s, total_s, at)
    times.note_at_work("other", 9.0, 9.0, 0.0)
    found = times.longest_first_s("r", now), times.longest_s("r", now)
    assert found == longest


def test_longest_runs_of_replaced_routes_are_forgotten():
    """Guards against memory that grows with each change of the routes."""
    times = run_times.make_run_times()
    for number in range(run_times.MAX_ROUTES + 1):
        times.note_at_work(f"r{number}", 0.1, 0.1, 0.0)
    assert times.longest_s("r0", 0.0) == 0.0
    assert times.longest_s("r1", 0.0) == 0.1


@pytest.mark.parametrize(
    ("count", "established"),
    [(0, False), (run_times.MAX_RUNS - 1, False), (run_times.MAX_RUNS, True)],
)
def test_route_is_established_by_enough_runs(count, established):
    times = run_times.make_run_times()
    _note(times, "r", [(0.1, 0.01)] * count)
    assert times.is_established("r") is established
