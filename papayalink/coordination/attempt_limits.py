"""How much of the time of a call an attempt gets that others may follow."""

from papayalink.coordination import run_times

# Multiple of the slowest recent run of the route. A run that takes longer is
# likely to end sooner at another replica.
SLOWEST_RUN_FACTOR = 4.0
# Lower bound, in latency objectives of the route.
MIN_OBJECTIVES = 2.0
# Fraction of the time left that the limit may take up. A call without room for
# another attempt behind it gets all its time at once.
MAX_SHARE_OF_TIME_LEFT = 0.5


def run_limit_s(
    slowest: run_times.Run, objective_s: float, output_tokens: int
) -> float:
    """Returns: the time that a run at a sound replica hardly exceeds.

    Args:
        slowest: longest times of the recent runs of the route.
        objective_s: latency objective of the route.
        output_tokens: largest number of tokens that the run may generate.
    """
    run_s = slowest.first_s + output_tokens * slowest.token_s
    return max(SLOWEST_RUN_FACTOR * run_s, MIN_OBJECTIVES * objective_s)


def attempt_time_s(limit_s: float, left_s: float) -> float:
    """Returns: the time that a replica is given, of what the call has left."""
    if limit_s > MAX_SHARE_OF_TIME_LEFT * left_s:
        return left_s
    return limit_s
