"""Tests of the time that an attempt gets of its call's."""

import pytest

from papayalink.coordination import attempt_limits
from papayalink.coordination import run_times


@pytest.mark.parametrize(
    ("run", "longest_s", "objective_s", "tokens", "limit_s"),
    [
        # A plain call.
        (run_times.Run(0.3), 0.0, 0.4, 0, 1.5),
        # Runs that are short beside the objective.
        (run_times.Run(0.02), 0.0, 0.4, 0, 0.4),
        # A stream.
        (run_times.Run(0.2, 0.01), 0.0, 0.4, 50, 3.5),
        # A stream whose tokens are not known.
        (run_times.Run(0.1, 0.3), 0.0, 0.4, 0, 2.0),
        # Most runs of the route are short, and some are long.
        (run_times.Run(0.3), 2.6, 0.4, 0, 5.2),
        (run_times.Run(0.0, 0.3), 2.6, 0.4, 0, 5.2),
        (run_times.Run(0.1, 0.01), 2.2, 0.4, 50, 4.4),
        # All take about as long.
        (run_times.Run(0.3), 0.4, 0.4, 0, 1.5),
    ],
)
def test_limit_of_a_run(run, longest_s, objective_s, tokens, limit_s):
    found_s = attempt_limits.run_limit_s(run, longest_s, objective_s, tokens)
    assert found_s == pytest.approx(limit_s)


@pytest.mark.parametrize(
    ("limit_s", "left_s", "given_s"),
    [
        (0.8, 6.0, 0.8),
        (3.0, 6.0, 3.0),
        # No room for another attempt of the same kind.
        (3.1, 6.0, 6.0),
        (0.8, 1.0, 1.0),
    ],
)
def test_attempt_is_limited_if_another_fits_behind_it(
    limit_s, left_s, given_s
):
    assert attempt_limits.attempt_time_s(limit_s, left_s) == given_s


@pytest.mark.parametrize(
    ("first_s", "longest_s", "expected_s", "limit_s"),
    [
        (0.1, 0.0, 0.0, 0.4),
        (0.1, 0.0, 0.5, 2.0),
        (0.1, 0.2, 0.0, 0.4),
        (0.1, 2.0, 0.0, 3.0),
    ],
)
def test_time_until_a_call_is_overdue(first_s, longest_s, expected_s, limit_s):
    run = run_times.Run(first_s, 0.5)
    found_s = attempt_limits.overdue_limit_s(run, longest_s, expected_s)
    assert found_s == pytest.approx(limit_s)


@pytest.mark.parametrize(
    ("first_s", "longest_s", "expected_s", "objective_s", "limit_s"),
    [
        (0.1, 0.0, 0.0, 0.2, 0.2),
        (0.1, 0.0, 0.0, 0.4, 0.2),
        (0.1, 0.0, 0.5, 0.4, 1.0),
        (0.1, 0.0, 0.0, 1.0, 0.5),
        (0.1, 2.0, 0.0, 0.4, 3.0),
    ],
)
def test_silence_that_is_expected(
    first_s, longest_s, expected_s, objective_s, limit_s
):
    run = run_times.Run(first_s, 0.5)
    found_s = attempt_limits.silence_limit_s(
        run, longest_s, expected_s, objective_s
    )
    assert found_s == pytest.approx(limit_s)
