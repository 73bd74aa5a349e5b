"""Tests of copying pieces to stores."""

import gevent
import pytest

from papayalink.coordination import links
from papayalink.roles.agent import piece_saving
from tests.roles.agent import kept_fakes


@pytest.fixture
def parts():
    return kept_fakes.Parts()


@pytest.fixture
def saver(parts):
    return piece_saving.PieceSaver(
        parts.engine, parts.client, parts.links, parts.state, parts.metrics
    )


@pytest.mark.parametrize(
    "holders, asked, answers, written",
    [
        # Not kept yet; the store that accepts the piece decides whether there
        # is a second copy.
        ("", 0, {"at-a": 1}, [("at-a", False)]),
        ("", 0, {"at-a": 2}, [("at-a", False), ("at-b", True)]),
        # Kept already; its value has risen, or has not.
        ("a", 2, {}, [("at-b", True)]),
        ("b", 2, {}, [("at-a", True)]),
        ("a", 1, {}, []),
        ("ab", 2, {}, []),
        # The first store refuses the piece.
        ("", 0, {"at-a": 0}, [("at-a", False), ("at-b", False)]),
    ],
)
def test_copies(parts, saver, holders, asked, answers, written):
    """Guards against missing and superfluous second copies."""
    parts.client.copies = answers
    prompt = kept_fakes.located(1, holders=holders, copies=asked)
    saver.save(prompt)
    kept_fakes.wait_until(lambda: len(parts.client.writes) == len(written))
    gevent.sleep(0.02)
    assert [
        (address, is_copy) for address, _, is_copy in parts.client.writes
    ] == written
    assert len(parts.engine.exported) == bool(written)


def test_copies_wait_for_restores(parts, saver):
    """Guards against a restore that shares its link with copies."""
    parts.client.read_s["at-a"] = [None]
    parts.state.prefill_rate = 0.1
    prompt = kept_fakes.located(2)
    restore = parts.restorer.begin(prompt, links.Priority.OTHER_RESTORE)
    kept_fakes.wait_until(lambda: parts.client.reading)
    saver.save(kept_fakes.located(2, holders="", workspace="other"))
    gevent.sleep(0.05)
    assert parts.client.writes == []
    restore.stop()
    kept_fakes.wait_until(lambda: len(parts.client.writes) == 2)


def test_workspace_is_not_delayed_by_another(parts, saver):
    """Guards against pieces that wait for all those of another workspace."""
    for _ in range(5):
        saver.save(kept_fakes.located(4, holders="", workspace="large"))
    saver.save(kept_fakes.located(1, holders="", workspace="small"))
    kept_fakes.wait_until(lambda: len(parts.client.writes) == 21)
    order = [key.workspace for _, key, _ in parts.client.writes]
    assert "small" in order[:3]


def test_prompts_beyond_the_limit_are_not_kept(parts, saver):
    """Guards against unbounded memory use when a store is slow."""
    for _ in range(piece_saving.MAX_WAITING_PROMPTS + 10):
        saver.save(kept_fakes.located(1, holders=""))
    count = piece_saving.MAX_WAITING_PROMPTS
    kept_fakes.wait_until(lambda: len(parts.client.writes) == count)
    gevent.sleep(0.02)
    assert len(parts.client.writes) == count
