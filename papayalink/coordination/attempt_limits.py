"""How much of the time of a call one attempt gets."""

from papayalink.coordination import run_times

# Multiple of the usual time of a run of the route. A run that takes longer is
# likely to end sooner at another replica.
USUAL_RUN_FACTOR = 5.0
# Multiple of the longest recent run of the route, whose calls may differ in
# length.
LONGEST_RUN_FACTOR = 2.0
# Multiple of the longest recent time until something came. A call that waits
# for longer, at a replica that speaks, is likely to have been lost there.
LONGEST_WAIT_FACTOR = 1.5
# A call is overdue once nothing has come for this many times as long as it
# usually takes until something comes, or as expected.
OVERDUE_FACTOR = 4.0
# A replica may stand still once nothing has come from it for both this many
# times as long and this fraction of the latency objective, whatever waits.
SILENCE_FACTOR = 2.0
SILENCE_OBJECTIVE_FRACTION = 0.5
# Fraction of the time left that the limit may take up. A call without room for
# another attempt behind it gets all its time at once.
MAX_SHARE_OF_TIME_LEFT = 0.5


def run_limit_s(
    usual: run_times.Run,
    longest_s: float,
    objective_s: float,
    output_tokens: int,
) -> float:
    """Returns: the time that a run at a sound replica hardly exceeds.

    Args:
        usual: times that most recent runs of the route do not exceed.
        longest_s: time that no recent run of the route exceeds.
        objective_s: latency objective of the route.
        output_tokens: largest number of tokens that the run may generate.
    """
    return max(
        USUAL_RUN_FACTOR * usual.total_s(output_tokens),
        LONGEST_RUN_FACTOR * longest_s,
        objective_s,
    )


def overdue_limit_s(
    usual: run_times.Run, longest_s: float, expected_s: float
) -> float:
    """Returns: the longest silence that is expected of a sound replica.

    Args:
        longest_s: longest recent time until something came, 0 if the time
            can be predicted.
        expected_s: predicted time to the first token, 0 for a plain call.
    """
    return max(
        OVERDUE_FACTOR * max(usual.first_s, expected_s),
        LONGEST_WAIT_FACTOR * longest_s,
    )


def silence_limit_s(
    usual: run_times.Run,
    longest_s: float,
    expected_s: float,
    objective_s: float,
) -> float:
    """Returns: the silence after which a replica may stand still.

    Args:
        longest_s: see `overdue_limit_s`.
        expected_s: predicted time to the first token, 0 for a plain call.
        objective_s: latency objective of the route.
    """
    return max(
        SILENCE_FACTOR * max(usual.first_s, expected_s),
        LONGEST_WAIT_FACTOR * longest_s,
        SILENCE_OBJECTIVE_FRACTION * objective_s,
    )


def attempt_time_s(limit_s: float, left_s: float) -> float:
    """Returns: the time that a replica is given, of what the call has left."""
    if limit_s > MAX_SHARE_OF_TIME_LEFT * left_s:
        return left_s
    return limit_s
