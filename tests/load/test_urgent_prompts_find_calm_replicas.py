"""Tests of urgent prompts among many entries and small batches.

Replicas run 16 calls at once and prefill long prompts for most of the time.
Urgent prompts are on time where no long one is prefilled; entries that all
look for the calmest replica send to the same one until they learn of each
other's work.
"""

import pytest

from papayalink.coordination import fleet as fleets
from tests.load import engines
from tests.load import entries

REPLICAS = 30
ENTRIES = 35
QUOTE = entries.Kind(
    name="quote",
    urgency=0,
    objective_s=0.25,
    budget_s=12.0,
    prompt=827,
    output=290,
    kept=400,
    per_s=72.0,
)
SUMMARY = entries.Kind(
    name="summary",
    urgency=2,
    objective_s=1.0,
    budget_s=4.0,
    prompt=9_190,
    output=52,
    kept=4_000,
    per_s=104.0,
    bursts=((2.0, 4.0, 2.2),),
)


@pytest.fixture(autouse=True)
def small_batches(monkeypatch):
    monkeypatch.setattr(engines, "SLOTS", 16)
    monkeypatch.setattr(engines, "CAPACITY_TOKENS", 44_835)
    monkeypatch.setattr(engines, "EVENT_TOKENS", 6)


def _simulate(seed):
    deployment = entries.Deployment(
        (QUOTE, SUMMARY), ENTRIES, REPLICAS, seed=seed
    )
    deployment.simulate(5.0)
    return deployment


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_candidates_serve_more_urgent_prompts_than_four(seed, monkeypatch):
    two = _simulate(seed)
    monkeypatch.setattr(fleets, "URGENT_CANDIDATES", 4)
    four = _simulate(seed)
    assert entries.fraction_on_time(two.of(QUOTE)) > entries.fraction_on_time(
        four.of(QUOTE)
    )
