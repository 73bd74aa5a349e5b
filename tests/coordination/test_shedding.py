"""Tests of prompt admission under overload.

The pattern: summaries of 9,000 tokens arrive at 2.5 times their usual rate
while a third of the replicas is lost, and more urgent quotes (short prompts
with a tight objective) go to the same replicas.
"""

import pytest

from papayalink.coordination import shedding

_SUMMARY = {
    "own_s": 0.12,
    "objective_s": 1.0,
    "left_s": 5.0,
    "urgent_objective_s": 0.4,
}
_QUOTE = {"own_s": 0.03, "objective_s": 0.4, "left_s": 15.0}


def _decide(wait_s, fields, chance=0.0):
    prompt = shedding.Prompt(wait_s=wait_s, **fields)
    return shedding.decide(prompt, chance)


@pytest.mark.parametrize(
    ("wait_s", "fields", "admitted"),
    [
        (0.12, _SUMMARY, True),
        (0.30, _SUMMARY, True),
        (0.40, _SUMMARY, False),
        (3.0, _SUMMARY, False),
        (0.30, _QUOTE, True),
        (1.2, _QUOTE, True),
        (2.0, _QUOTE, False),
        (0.9, _QUOTE | {"left_s": 1.0}, False),
        # Prefill of the prompt alone takes longer than its objective.
        (2.05, _SUMMARY | {"own_s": 2.0}, True),
        (2.5, _SUMMARY | {"own_s": 2.0}, False),
    ],
)
def test_decision(wait_s, fields, admitted):
    decision = _decide(wait_s, fields)
    assert isinstance(decision, shedding.Admit) is admitted


def _serve(requests, max_wait_s):
    """Simulate one replica that prefills prompts one after the other.

    Args:
        max_wait_s: summaries are admitted up to this wait, None to decide by
            `shedding.decide`.

    Returns: fraction of quotes and of summaries within their objectives.
    """
    free_at = 0.0
    on_time = {"quote": 0, "summary": 0}
    total = {"quote": 0, "summary": 0}
    for at, kind in requests:
        fields = _QUOTE if kind == "quote" else _SUMMARY
        total[kind] += 1
        wait_s = max(0.0, free_at - at) + fields["own_s"]
        request_fields = fields | (
            {} if max_wait_s is None else {"urgent_objective_s": None}
        )
        if kind == "summary" and max_wait_s is not None:
            admitted = wait_s <= max_wait_s
        else:
            admitted = isinstance(
                _decide(wait_s, request_fields), shedding.Admit
            )
        if admitted:
            free_at = max(free_at, at) + fields["own_s"]
            on_time[kind] += wait_s <= fields["objective_s"]
    return {kind: on_time[kind] / total[kind] for kind in total}


def _overload():
    requests = [(place * 0.05, "summary") for place in range(200)]
    requests += [(place * 0.15 + 0.01, "quote") for place in range(66)]
    return sorted(requests)


def test_quotes_meet_their_objective_in_an_overload_of_summaries():
    # Twice as many summaries arrive as the replica can prefill; it must stay
    # busy with those that are admitted.
    served = _serve(_overload(), None)
    assert served["quote"] >= 0.95
    assert served["summary"] >= 0.3


def test_summaries_queued_up_to_their_own_objective_delay_quotes():
    assert _serve(_overload(), 0.8)["quote"] < 0.5


def test_retries_are_spread():
    first = _decide(1.0, _SUMMARY, chance=0.0).retry_after_s
    last = _decide(1.0, _SUMMARY, chance=1.0).retry_after_s
    assert last - first == pytest.approx(
        shedding.RETRY_JITTER_FRACTION * _SUMMARY["objective_s"]
    )
    assert first >= shedding.MIN_RETRY_S


def test_retry_delay_grows_with_the_age_of_an_overload():
    # Guards against callers that retry once, within the same overload, and are
    # refused again.
    timer = shedding.make_overload_timer()
    waits = []
    for place in range(60):
        now = place * 0.1
        prompt = shedding.Prompt(wait_s=0.6, **_SUMMARY)
        shed = shedding.decide(prompt, 0.0, timer.age_s(now))
        timer.note_shed(now)
        waits.append(shed.retry_after_s)
    assert waits == sorted(waits)
    assert waits[0] < 0.5
    assert waits[-1] == shedding.MAX_RETRY_S


def test_overload_is_over_after_a_pause():
    timer = shedding.make_overload_timer()
    assert timer.age_s(0.0) == 0.0
    timer.note_shed(0.0)
    timer.note_shed(0.75)
    assert timer.age_s(1.5) == 1.5
    assert timer.age_s(0.75 + shedding.OVERLOAD_END_S) == 0.0
    timer.note_shed(5.0)
    assert timer.age_s(5.5) == pytest.approx(0.5)
