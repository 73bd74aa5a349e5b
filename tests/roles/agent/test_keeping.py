"""Tests of copying pieces to stores."""

import gevent
import pytest

from papayalink.coordination import links
from papayalink.roles.agent import keeping
from tests.roles.agent import kept_fakes


@pytest.fixture
def parts():
    return kept_fakes.Parts()


@pytest.fixture
def keeper(parts):
    return keeping.Keeper(
        parts.engine, parts.client, parts.links, parts.state, parts.metrics
    )


@pytest.mark.parametrize(
    "holders, asked, answers, written",
    [
        # Not kept yet; the store that takes the piece decides on the second.
        ("", 0, {"at-a": 1}, [("at-a", False)]),
        ("", 0, {"at-a": 2}, [("at-a", False), ("at-b", True)]),
        # Kept; its value has risen, or has not.
        ("a", 2, {}, [("at-b", True)]),
        ("b", 2, {}, [("at-a", True)]),
        ("a", 1, {}, []),
        ("ab", 2, {}, []),
        # A store that refuses.
        ("", 0, {"at-a": 0}, [("at-a", False), ("at-b", False)]),
    ],
)
def test_copies(parts, keeper, holders, asked, answers, written):
    """Guards against missing second copies, and against needless ones."""
    parts.client.copies = answers
    prompt = kept_fakes.located(1, holders=holders, copies=asked)
    keeper.keep(prompt)
    kept_fakes.wait_until(lambda: len(parts.client.writes) == len(written))
    gevent.sleep(0.02)
    assert [
        (address, is_copy) for address, _, is_copy in parts.client.writes
    ] == written
    assert len(parts.engine.exported) == bool(written)


def test_copies_wait_for_restores(parts, keeper):
    """Guards against a restore that shares its link with copies."""
    parts.client.read_s["at-a"] = [None]
    parts.state.prefill_rate = 0.1
    prompt = kept_fakes.located(2)
    restore = parts.restorer.begin(prompt, links.Priority.OTHER_RESTORE)
    kept_fakes.wait_until(lambda: parts.client.reading)
    keeper.keep(kept_fakes.located(2, holders="", workspace="other"))
    gevent.sleep(0.05)
    assert parts.client.writes == []
    restore.stop()
    kept_fakes.wait_until(lambda: len(parts.client.writes) == 2)


def test_workspace_is_not_delayed_by_another(parts, keeper):
    """Guards against a workspace whose pieces wait for all of another's."""
    for _ in range(5):
        keeper.keep(kept_fakes.located(4, holders="", workspace="large"))
    keeper.keep(kept_fakes.located(1, holders="", workspace="small"))
    kept_fakes.wait_until(lambda: len(parts.client.writes) == 21)
    order = [key.workspace for _, key, _ in parts.client.writes]
    assert "small" in order[:3]


def test_prompts_beyond_the_limit_are_not_kept(parts, keeper):
    """Guards against memory that grows with a slow store."""
    for _ in range(keeping.MAX_WAITING + 10):
        keeper.keep(kept_fakes.located(1, holders=""))
    count = keeping.MAX_WAITING
    kept_fakes.wait_until(lambda: len(parts.client.writes) == count)
    gevent.sleep(0.02)
    assert len(parts.client.writes) == count
