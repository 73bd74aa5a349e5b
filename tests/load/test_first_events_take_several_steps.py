"""Tests of engines that send their first event after several steps.

While an engine prefills long prompts, each step takes ten times as long, and
the first event comes six steps after the prefill. If that time counts as
prefill, the engine looks several times slower than it is, and prompts are
refused while replicas are free.
"""

import pytest

from papayalink.coordination import first_token_times
from tests.load import entries

REPLICAS = 21
ENTRIES = 24
QUOTE = entries.Kind(
    name="quote",
    urgency=0,
    objective_s=0.4,
    budget_s=15.0,
    prompt=830,
    output=250,
    kept=400,
    per_s=84.0,
)
SUMMARY = entries.Kind(
    name="summary",
    urgency=2,
    objective_s=1.2,
    budget_s=5.0,
    prompt=9_190,
    output=42,
    kept=5_000,
    per_s=68.0,
    bursts=((1.5, 5.0, 2.2),),
)


class _PrefillOnly:
    """Baseline: all of the time to a first token counts as prefill."""

    base_s = 0.02

    def __init__(self):
        self.token_s = 1 / 50_000

    def note(self, tokens, first_s):
        if tokens >= 1_000:
            sample = max(0.0, first_s - self.base_s) / tokens
            self.token_s += 0.05 * (sample - self.token_s)


def _simulate(seed):
    deployment = entries.Deployment(
        (QUOTE, SUMMARY), ENTRIES, REPLICAS, seed=seed
    )
    deployment.simulate(6.0)
    return deployment


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_is_served_than_when_all_time_counts_as_prefill(
    seed, monkeypatch
):
    fitted = _simulate(seed)
    monkeypatch.setattr(
        first_token_times, "make_first_token_times", _PrefillOnly
    )
    plain = _simulate(seed)
    assert (
        entries.fraction_on_time(fitted.of(QUOTE))
        >= entries.TARGET_FRACTION_ON_TIME
    )
    assert entries.fraction_on_time(
        fitted.of(SUMMARY)
    ) > entries.fraction_on_time(plain.of(SUMMARY))
