"""Tests of what follows an attempt."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import attempts
from papayalink.state import traffic

_ONCE = traffic.Repeat.ONCE
_SAFE = traffic.Repeat.IDEMPOTENT
_RESUMABLE = traffic.Repeat.RESUMABLE
_LOST = attempts.Lost("reset")
_AGAIN = attempts.TryAgain()


@pytest.mark.parametrize(
    ("repeat", "most", "outcome", "expected"),
    [
        (_ONCE, 2, attempts.NotSent(), _AGAIN),
        (_ONCE, 2, attempts.NotRun(0.5), _AGAIN),
        (_ONCE, 1, attempts.NotRun(0.5), attempts.Refuse(0.5)),
        (_ONCE, 2, _LOST, attempts.GiveUp(502)),
        (_ONCE, 2, attempts.Failed(500), attempts.PassOn()),
        (_ONCE, 2, attempts.Expired(), attempts.GiveUp(504)),
        (_SAFE, 2, _LOST, _AGAIN),
        (_SAFE, 1, _LOST, attempts.GiveUp(502)),
        (_SAFE, 2, attempts.Failed(500), _AGAIN),
        (_SAFE, 1, attempts.Failed(500), attempts.PassOn()),
        (_RESUMABLE, 2, _LOST, _AGAIN),
    ],
)
def test_first_attempt(repeat, most, outcome, expected):
    # Guards against a repeat that the kind of the call forbids.
    tried = attempts.make_attempts(repeat, most)
    if not isinstance(outcome, attempts.NotSent):
        tried.note_sending()
    assert tried.decide(outcome, True) == expected


def test_time_over_before_the_call_left_is_a_refusal():
    tried = attempts.make_attempts(_ONCE, 1)
    assert tried.decide(attempts.Expired(), True) == attempts.Refuse()


def test_refusal_after_a_loss_does_not_say_not_run():
    # The first upstream may have run the call; the second turned it away.
    tried = attempts.make_attempts(_SAFE, 3)
    tried.note_sending()
    assert tried.decide(_LOST, True) == _AGAIN
    tried.note_sending()
    refused = tried.decide(attempts.NotRun(1.0), False)
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
    st.sampled_from(list(traffic.Repeat)),
    st.integers(1, 4),
    st.lists(st.tuples(_OUTCOMES, st.booleans()), min_size=1, max_size=12),
)
def test_promises_hold_for_any_course(repeat, most, course):
    """A call is sent to few upstreams, once if so wanted, refused truly."""
    tried = attempts.make_attempts(repeat, most)
    may_have_run = False
    sent = 0
    for outcome, has_budget in course:
        arrived = not isinstance(outcome, attempts.NotSent)
        if arrived:
            assert not (repeat is _ONCE and may_have_run)
            sent += 1
            tried.note_sending()
        decision = tried.decide(outcome, has_budget)
        if not isinstance(outcome, (attempts.NotSent, attempts.NotRun)):
            may_have_run = True
        if isinstance(decision, attempts.Refuse):
            assert not may_have_run
        if not isinstance(decision, attempts.TryAgain):
            break
        if arrived:
            assert has_budget
    assert sent <= most
