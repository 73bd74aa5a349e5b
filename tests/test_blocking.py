"""Tests of blocking work beside the event loop."""

import threading

import gevent
import pytest

from papayalink import blocking


def test_other_greenlets_go_on():
    """Guards against a slow disk that stops polls and lookups."""
    release = threading.Event()
    pool = blocking.make_pool(1)
    waiting = gevent.spawn(pool.run, release.wait, 30)
    gevent.sleep(0.05)
    # This greenlet would not run if the wait blocked the event loop.
    release.set()
    assert waiting.get() is True


def test_errors_reach_the_caller(capfd):
    """Guards against a failed write that looks like a success."""
    with pytest.raises(ValueError, match="invalid literal"):
        blocking.make_pool(1).run(int, "x")
    assert capfd.readouterr().err == ""


def test_arguments_and_results():
    assert blocking.make_pool(1).run(int, "11", base=2) == 3
