"""Tests of the thread pool for blocking calls."""

import threading

import gevent
import pytest

from papayalink import blocking


def test_other_greenlets_go_on():
    """Guards against a slow disk that blocks polls and lookups."""
    release = threading.Event()
    pool = blocking.make_pool(1)
    waiter = gevent.spawn(pool.run, release.wait, 30)
    gevent.sleep(0.05)
    # If the wait blocked the event loop, this line would not be reached.
    release.set()
    assert waiter.get() is True


def test_errors_reach_the_caller(capfd):
    """Guards against a failed write that is taken for a success."""
    with pytest.raises(ValueError, match="invalid literal"):
        blocking.make_pool(1).run(int, "x")
    assert capfd.readouterr().err == ""


def test_arguments_and_results():
    assert blocking.make_pool(1).run(int, "11", base=2) == 3
