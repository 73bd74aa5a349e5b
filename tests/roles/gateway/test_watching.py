"""Tests of the watcher that follows the numbered document."""

import time

import gevent
import pytest

from papayalink.coordination import weight_history
from papayalink.roles.gateway import watching


class _Settings:
    name = "e1"
    seed_peers = ("127.0.0.1:1",)


class _Node:
    settings = _Settings()


class _Watcher(watching.Watcher):
    """A watcher that asks no control member."""

    def _run(self):
        pass


def _make_watcher():
    watcher = _Watcher(
        _Node(), None, lambda: None, weight_history.make_weight_history()
    )
    watcher.start()
    return watcher


def test_call_at_the_start_waits_for_the_document():
    # After a power loss of all machines, entries start to accept calls before
    # the control members have a leader.
    watcher = _make_watcher()
    waiting = gevent.spawn(watcher.wait_directory, 5.0)
    gevent.sleep(0.05)
    assert not waiting.ready()
    watcher._directory = "document"
    watcher._has_document.set()
    assert waiting.get(timeout=5.0) == "document"


@pytest.mark.parametrize("max_wait_s", [0.0, 0.05])
def test_call_does_not_wait_longer_than_it_may(max_wait_s):
    assert _make_watcher().wait_directory(max_wait_s) is None


def test_call_is_refused_at_once_when_no_document_comes():
    # Waiting would not help while the control group is unavailable.
    watcher = _make_watcher()
    watcher._started_at = time.monotonic() - watching.FIRST_DOCUMENT_WAIT_S
    waiting = gevent.spawn(watcher.wait_directory, 60.0)
    assert waiting.get(timeout=5.0) is None
