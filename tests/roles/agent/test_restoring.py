"""Tests of the choice between importing and computing pieces."""

import pytest

from papayalink.coordination import links
from tests.roles.agent import kept_fakes

URGENT = links.Priority.URGENT_RESTORE


def _digests(positions):
    return [f"acme-{position}" for position in positions]


@pytest.fixture
def parts():
    return kept_fakes.Parts()


def _begin(parts, prompt):
    restore = parts.restorer.begin(prompt, URGENT)
    restore.wait_to_start()
    return restore


def test_fast_link_restores_the_whole_prompt_from_its_end():
    """Guards against computing what a fast link delivers sooner."""
    # The engine needs 2 s for a piece, so the wait ends with the import.
    parts = kept_fakes.Parts(prefill_rate=1000.0)
    restore = _begin(parts, kept_fakes.located(4))
    assert parts.engine.imported == _digests([3, 2, 1, 0])
    assert restore.imported == 4
    kept_fakes.wait_until(lambda: not restore.running)


def test_slow_link_is_not_used(parts):
    """Guards against waiting for pieces that are computed sooner."""
    parts.measure("a", 10.0)
    restore = _begin(parts, kept_fakes.located(4))
    assert not restore.running
    assert parts.client.reads == []


def test_prefill_rate_counts_actual_tokens():
    """Guards against a plan that uses the rate of estimated tokens."""
    parts = kept_fakes.Parts(prefill_rate=40_000.0)
    parts.measure("a", 0.3)
    prompt = kept_fakes.located(3)
    assert not _begin(parts, prompt).running
    prompt.token_ratio = 0.1
    restore = _begin(parts, prompt)
    assert restore.running
    restore.stop()


def test_links_are_measured_by_own_transfers(parts):
    """Guards against plans that keep using the rate assumed initially."""
    parts.client.read_s["at-a"] = [0.05]
    restore = _begin(parts, kept_fakes.located(6))
    kept_fakes.wait_until(lambda: not restore.running)
    measured = parts.links.dump()["a"]
    assert measured <= kept_fakes.PIECE_BYTES / 0.05
    before = len(parts.client.reads)
    parts.state.prefill_rate = 1e6
    _begin(parts, kept_fakes.located(6))
    assert len(parts.client.reads) == before


def test_slow_link_is_measured_again_when_the_estimate_is_old(parts):
    """Guards against a link that is never used again once it was slow."""
    parts.measure("a", 10.0, age_s=60.0)
    restore = _begin(parts, kept_fakes.located(4))
    kept_fakes.wait_until(lambda: not restore.running)
    assert parts.engine.imported == _digests([3])


def test_faster_store_is_read(parts):
    parts.measure("a", 0.05)
    parts.measure("b", 0.001)
    restore = _begin(parts, kept_fakes.located(2, holders="ab"))
    kept_fakes.wait_until(lambda: not restore.running)
    assert set(parts.client.reads) == {"at-b"}
