"""Floods of long, less urgent prompts before short, urgent ones.

The pattern: summaries of 9,000 tokens arrive at 2.5 times their usual rate
while a third of the replicas is gone, and quotes with a tight objective go
to the same replicas.
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
    ("wait_s", "fields", "taken"),
    [
        (0.12, _SUMMARY, True),
        (0.30, _SUMMARY, True),
        (0.40, _SUMMARY, False),
        (3.0, _SUMMARY, False),
        (0.30, _QUOTE, True),
        (1.2, _QUOTE, True),
        (2.0, _QUOTE, False),
        (0.9, _QUOTE | {"left_s": 1.0}, False),
        # A prompt that alone takes longer than its objective.
        (2.05, _SUMMARY | {"own_s": 2.0}, True),
        (2.5, _SUMMARY | {"own_s": 2.0}, False),
    ],
)
def test_who_is_taken(wait_s, fields, taken):
    decision = _decide(wait_s, fields)
    assert isinstance(decision, shedding.Take) is taken


def _serve(requests, queue_share):
    """Play one replica that reads admitted prompts one after the other.

    Returns: share of quotes within their objective, and of summaries.
    """
    free_at = 0.0
    on_time = {"quote": 0, "summary": 0}
    asked = {"quote": 0, "summary": 0}
    for at, kind in requests:
        fields = _QUOTE if kind == "quote" else _SUMMARY
        asked[kind] += 1
        wait_s = max(0.0, free_at - at) + fields["own_s"]
        bound = fields | (
            {} if queue_share is None else {"urgent_objective_s": None}
        )
        if kind == "summary" and queue_share is not None:
            taken = wait_s <= queue_share
        else:
            taken = isinstance(_decide(wait_s, bound), shedding.Take)
        if taken:
            free_at = max(free_at, at) + fields["own_s"]
            on_time[kind] += wait_s <= fields["objective_s"]
    return {kind: on_time[kind] / asked[kind] for kind in asked}


def _flood():
    requests = [(place * 0.05, "summary") for place in range(200)]
    requests += [(place * 0.15 + 0.01, "quote") for place in range(66)]
    return sorted(requests)


def test_quotes_keep_their_time_in_a_flood_of_summaries():
    # Twice as many summaries as can be read; the engine stays busy.
    served = _serve(_flood(), None)
    assert served["quote"] >= 0.95
    assert served["summary"] >= 0.3


def test_a_queue_as_long_as_their_own_objective_would_delay_quotes():
    assert _serve(_flood(), 0.8)["quote"] < 0.5


def test_callers_that_return_are_spread():
    first = _decide(1.0, _SUMMARY, chance=0.0).retry_after_s
    last = _decide(1.0, _SUMMARY, chance=1.0).retry_after_s
    assert last - first == pytest.approx(
        shedding.JITTER * _SUMMARY["objective_s"]
    )
    assert first >= shedding.LEAST_RETRY_S


def test_callers_come_back_later_the_longer_an_overload_lasts():
    # A caller that comes back once into the same flood is refused for good.
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
    assert waits[-1] == shedding.MOST_RETRY_S


def test_overload_is_over_after_a_pause():
    timer = shedding.make_overload_timer()
    assert timer.age_s(0.0) == 0.0
    timer.note_shed(0.0)
    timer.note_shed(0.75)
    assert timer.age_s(1.5) == 1.5
    assert timer.age_s(0.75 + shedding.CALM_S) == 0.0
    timer.note_shed(5.0)
    assert timer.age_s(5.5) == pytest.approx(0.5)
