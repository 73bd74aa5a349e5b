"""The times of a planned stop within its grace period."""

import msgspec

# The load balancer checks readiness once a second, and sends no more calls
# after two failed checks.
BALANCER_NOTICE_S = 2.3
# Callers on keep-alive connections learn from one more answer that their
# connection closes.
LAST_ANSWERS_S = 0.4
# Calls are taken for longer while callers keep coming: some balancers send to
# all entries once most of them stop. A closed port costs such a caller a try.
# This much time is kept for the last of them, since a sound replica may be
# silent for nearly that long.
RESERVE_S = 2.0
# Part of the grace period that is left for the last answers and the exit.
EXIT_MARGIN_S = 0.5
# Upper bounds of these times where the grace period is short. The balancer
# sends calls for as long as it can, so most of the time goes to its notice.
# Calls that can't end in the rest are refused at once and need little of it.
NOTICE_SHARE = 0.7
LAST_ANSWERS_SHARE = 0.15
RESERVE_SHARE = 0.25
# A replica may be at work until the last sixth of the grace period.
EXIT_MARGIN_SHARE = 0.125
# Part of the margin for the answers to calls that no replica has answered.
END_SHARE = 0.6


class StopPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a stop, all in seconds.

    Attributes:
        notice_s: how long the balancer may go on sending calls.
        last_answers_s: how long answers announce after that that their
            connection closes, before idle connections may be closed.
        take_s: time after the signal until which calls are taken at most.
        reserve_s: time before `answer_s` by which calls that come late are to
            end.
        answer_s: time after the signal until which calls may be run.
        end_s: time after that for the last answers.
    """

    notice_s: float
    last_answers_s: float
    take_s: float
    reserve_s: float
    answer_s: float
    end_s: float


def make_stop_plan(grace_s: float) -> StopPlan:
    """Args: grace_s: time between the signal to stop and the kill."""
    margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)
    answer_s = grace_s - margin_s
    notice_s = min(BALANCER_NOTICE_S, NOTICE_SHARE * answer_s)
    last_answers_s = min(LAST_ANSWERS_S, LAST_ANSWERS_SHARE * answer_s)
    reserve_s = min(RESERVE_S, RESERVE_SHARE * answer_s)
    return StopPlan(
        notice_s=notice_s,
        last_answers_s=last_answers_s,
        take_s=max(notice_s + last_answers_s, answer_s - reserve_s),
        reserve_s=reserve_s,
        answer_s=answer_s,
        end_s=END_SHARE * margin_s,
    )
