"""Tests of an import while its request runs."""

import gevent
import pytest

from papayalink.adapters import errors
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


def test_request_runs_during_the_import():
    """Guards against a request that waits until a long import has ended."""
    parts = kept_fakes.Parts(prefill_rate=2000.0)
    parts.measure("a", 0.6)
    parts.client.read_s["at-a"] = [0.0, None]
    restore = _begin(parts, kept_fakes.located(10))
    assert parts.client.reads == []
    kept_fakes.wait_until(lambda: parts.engine.imported == _digests([9]))
    restore.stop()


def test_restore_is_abandoned_when_the_link_stalls(parts):
    """Guards against a link occupied by pieces that the engine computes."""
    parts.client.read_s["at-a"] = [0.0, 0.0, None]
    restore = _begin(parts, kept_fakes.located(6))
    kept_fakes.wait_until(lambda: not restore.running)
    assert parts.client.reading == 0
    assert restore.imported == 2
    assert parts.metrics.value("restores_abandoned") == 1


@pytest.mark.parametrize(
    "missing, reads, imported",
    [
        ({"at-a"}, {"at-a", "at-b"}, [1, 0]),
        ({"at-a", "at-b"}, {"at-a", "at-b"}, []),
    ],
)
def test_failing_store_is_a_miss(missing, reads, imported):
    """Guards against a request that fails or hangs when a store does."""
    parts = kept_fakes.Parts(prefill_rate=1000.0)
    parts.client.missing = missing
    restore = _begin(parts, kept_fakes.located(2, holders="ab"))
    kept_fakes.wait_until(lambda: not restore.running)
    assert set(parts.client.reads) == reads
    assert parts.engine.imported == _digests(imported)


def test_other_weights_end_the_import():
    """Guards against imports that go on after a swap of weights."""
    parts = kept_fakes.Parts(prefill_rate=1000.0)
    parts.engine.error = errors.VersionNotLoaded(409, b"")
    restore = _begin(parts, kept_fakes.located(4))
    kept_fakes.wait_until(lambda: not restore.running)
    assert restore.imported == 0
    assert len(parts.client.reads) == 1


@pytest.mark.parametrize("is_held", [True, False])
def test_import_ends_with_its_request(is_held):
    """Guards against a link that stays occupied after the request ends."""
    parts = kept_fakes.Parts(prefill_rate=0.1)
    parts.client.read_s["at-a"] = [None]
    restore = parts.restorer.begin(kept_fakes.located(2), URGENT)
    kept_fakes.wait_until(lambda: parts.client.reading)
    link = parts.links.link("a")
    if not is_held:
        # A second import waits for the link.
        waiting = parts.restorer.begin(kept_fakes.located(2), URGENT)
        gevent.sleep(0.05)
        waiting.stop()
    restore.stop()
    assert not restore.running
    assert parts.client.reading == 0
    assert link.queued_bytes(links.Priority.BACKGROUND_COPY) == 0
    assert link.run_transfer("acme", URGENT, 1, lambda: "free") == "free"
