"""Tests of calls that left a silent upstream and are turned away by others."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from papayalink.coordination import attempts
from papayalink.state import traffic

_IDEMPOTENT = traffic.RepeatPolicy.IDEMPOTENT
_LEFT = attempts.Lost("silent")
_AGAIN = attempts.TryAgain()


def _make_call_that_left(max_attempts):
    call = attempts.make_attempts(_IDEMPOTENT, max_attempts)
    call.note_sending()
    call.note_left("silent")
    assert call.decide(_LEFT, True) == _AGAIN
    return call


# Guards against calls that end since other upstreams have turned them away,
# although the one that they have left goes on.
def test_refusals_behind_a_silence_are_no_attempts():
    call = _make_call_that_left(2)
    for _ in range(attempts.MAX_TURNED_AWAY):
        call.note_sending()
        assert call.decide(attempts.NotRun(), True) == _AGAIN
    call.note_sending()
    assert call.decide(attempts.NotRun(), True) == attempts.GiveUp(502)


# Guards against such calls that go on without room in the retry budget.
def test_refusals_behind_a_silence_need_the_budget():
    call = _make_call_that_left(2)
    call.note_sending()
    assert call.decide(attempts.NotRun(), False) == attempts.GiveUp(502)


_OUTCOMES = st.sampled_from(
    [attempts.NotRun(), _LEFT, attempts.Lost("reset"), attempts.Failed(500)]
)


# Guards against a call that runs at more upstreams than its route allows.
@pytest.mark.parametrize("max_attempts", [2, 3, 4])
@given(outcomes=st.lists(_OUTCOMES, min_size=20, max_size=20))
def test_call_runs_no_more_often_than_its_route_allows(max_attempts, outcomes):
    call = _make_call_that_left(max_attempts)
    ran = sent = 1
    for outcome in outcomes:
        call.note_sending()
        sent += 1
        ran += not isinstance(outcome, attempts.NotRun)
        if outcome is _LEFT:
            call.note_left("other")
        if call.decide(outcome, True) != _AGAIN:
            break
    assert ran <= max_attempts
    assert sent <= max_attempts + attempts.MAX_TURNED_AWAY + 1
