"""The times of a planned stop within its grace period."""

import msgspec

# The load balancer checks readiness once a second, and sends no more calls
# after two failed checks.
BALANCER_NOTICE_S = 2.3
# Calls that were sent before the balancer turned to other entries arrive in
# this time. A call accepted later may not end before the kill.
LAST_ANSWERS_S = 0.4
# Part of the grace period that is left for the last answers and the exit.
EXIT_MARGIN_S = 0.5
# Upper bounds of these times where the grace period is short. The balancer
# sends calls for as long as it can, so most of the time goes to its notice.
# Calls that can't end in the rest are refused at once and need little of it.
NOTICE_SHARE = 0.7
LAST_ANSWERS_SHARE = 0.15
# A replica may be at work until the last sixth of the grace period.
EXIT_MARGIN_SHARE = 0.125
# Part of the margin for the answers to calls that no replica has answered, and
# for the rest of answers that have begun.
END_SHARE = 0.7
# Part of the margin for the end of the connections that are left then.
CUT_SHARE = 0.1


class StopPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a stop, all in seconds.

    Attributes:
        notice_s: how long the balancer may go on sending calls.
        last_answers_s: time after that until idle connections are closed.
            All answers since the signal have announced it.
        answer_s: time after the signal until which calls may be run.
        end_s: time after that for the last answers.
        cut_s: time after that for the end of answers that are cut.
    """

    notice_s: float
    last_answers_s: float
    answer_s: float
    end_s: float
    cut_s: float


def make_stop_plan(grace_s: float) -> StopPlan:
    """Args: grace_s: time between the signal to stop and the kill."""
    margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)
    answer_s = grace_s - margin_s
    return StopPlan(
        notice_s=min(BALANCER_NOTICE_S, NOTICE_SHARE * answer_s),
        last_answers_s=min(LAST_ANSWERS_S, LAST_ANSWERS_SHARE * answer_s),
        answer_s=answer_s,
        end_s=END_SHARE * margin_s,
        cut_s=CUT_SHARE * margin_s,
    )
