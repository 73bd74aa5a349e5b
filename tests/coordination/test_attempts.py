"""Tests of the decision after a failed attempt."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import attempts
from papayalink.state import traffic

_ONCE = traffic.RepeatPolicy.ONCE
_IDEMPOTENT = traffic.RepeatPolicy.IDEMPOTENT
_RESUMABLE = traffic.RepeatPolicy.RESUMABLE
_LOST = attempts.Lost("reset")
_AGAIN = attempts.TryAgain()


@pytest.mark.parametrize(
    ("repeat", "max_attempts", "outcome", "expected"),
    [
        (_ONCE, 2, attempts.NotSent(), _AGAIN),
        (_ONCE, 2, attempts.NotRun(0.5), _AGAIN),
        (_ONCE, 1, attempts.NotRun(0.5), attempts.Refuse(0.5)),
        (_ONCE, 2, _LOST, attempts.GiveUp(502)),
        (_ONCE, 2, attempts.Failed(500), attempts.PassOn()),
        (_ONCE, 2, attempts.Expired(), attempts.GiveUp(504)),
        (_IDEMPOTENT, 2, _LOST, _AGAIN),
        (_IDEMPOTENT, 1, _LOST, attempts.GiveUp(502)),
        (_IDEMPOTENT, 2, attempts.Failed(500), _AGAIN),
        (_IDEMPOTENT, 1, attempts.Failed(500), attempts.PassOn()),
        (_RESUMABLE, 2, _LOST, _AGAIN),
    ],
)
def test_first_attempt(repeat, max_attempts, outcome, expected):
    # Guards against a retry that the kind of the call forbids.
    call = attempts.make_attempts(repeat, max_attempts)
    if not isinstance(outcome, attempts.NotSent):
        call.note_sending()
    assert call.decide(outcome, True) == expected


def test_deadline_before_the_call_is_sent_is_a_refusal():
    call = attempts.make_attempts(_ONCE, 1)
    assert call.decide(attempts.Expired(), True) == attempts.Refuse()


@pytest.mark.parametrize(
    ("first", "begins_again", "expected"),
    [
        (attempts.NotRun(1.0), False, attempts.Refuse()),
        (attempts.NotRun(1.0), True, attempts.GiveUp(504)),
        (_LOST, False, attempts.GiveUp(504)),
        (_LOST, True, attempts.GiveUp(504)),
    ],
)
def test_deadline_after_a_first_attempt(first, begins_again, expected):
    """Guards against an unknown outcome of a call that was only refused."""
    call = attempts.make_attempts(_IDEMPOTENT, 3)
    call.note_sending()
    assert call.decide(first, True) == _AGAIN
    if begins_again:
        call.note_sending()
    assert call.decide(attempts.Expired(), True) == expected


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run():
    # The first upstream may have run the call; the second refused it.
    call = attempts.make_attempts(_IDEMPOTENT, 3)
    call.note_sending()
    assert call.decide(_LOST, True) == _AGAIN
    call.note_sending()
    refused = call.decide(attempts.NotRun(1.0), False)
    assert refused == attempts.GiveUp(502)


_OUTCOMES = st.sampled_from(
    [
        attempts.NotSent(),
        attempts.NotRun(),
        _LOST,
        attempts.Failed(500),
        attempts.Expired(),
    ]
)


@given(
    st.sampled_from(list(traffic.RepeatPolicy)),
    st.integers(1, 4),
    st.lists(st.tuples(_OUTCOMES, st.booleans()), min_size=1, max_size=12),
)
def test_limits_hold_for_any_outcomes(repeat, max_attempts, outcomes):
    """Checks the limits on attempts for any sequence of outcomes.

    A call is sent to at most `max_attempts` upstreams, a call that may run
    only once is not sent again after it may have run, and a refusal is true.
    """
    call = attempts.make_attempts(repeat, max_attempts)
    may_have_run = False
    sent = 0
    for outcome, has_budget in outcomes:
        was_sent = not isinstance(outcome, attempts.NotSent)
        if was_sent:
            assert not (repeat is _ONCE and may_have_run)
            sent += 1
            call.note_sending()
        decision = call.decide(outcome, has_budget)
        if not isinstance(outcome, (attempts.NotSent, attempts.NotRun)):
            may_have_run = True
        if isinstance(decision, attempts.Refuse):
            assert not may_have_run
        if not isinstance(decision, attempts.TryAgain):
            break
        if was_sent:
            assert has_budget
    assert sent <= max_attempts
