"""Tests of the order of transfers on one link."""

import gevent
from gevent import event
import pytest

from papayalink.coordination import links
from papayalink.roles.agent import store_links

URGENT, OTHER, COPY = links.Priority


class _LinkRunner:
    """Runs transfers on one link; the first one blocks until `release`."""

    def __init__(self):
        self.link = store_links.StoreLink()
        self.release = event.Event()
        self.done = []
        self.tasks = [self.spawn("first", URGENT, wait=True)]

    def spawn(self, name, priority, workspace="acme", wait=False):
        def transfer_piece():
            if wait:
                self.release.wait()
            self.done.append(name)

        task = gevent.spawn(
            self.link.run_transfer, workspace, priority, 100, transfer_piece
        )
        gevent.sleep(0)
        return task

    def add(self, *arguments):
        self.tasks.append(self.spawn(*arguments))

    def finish(self):
        self.release.set()
        gevent.joinall(self.tasks, raise_error=True)
        return self.done[1:]


@pytest.fixture
def runner():
    return _LinkRunner()


def test_urgent_restores_go_first_and_copies_last(runner):
    """Guards against a request that waits for a background copy."""
    for priority in (COPY, OTHER, URGENT):
        runner.add(priority.name, priority)
    assert runner.finish() == ["URGENT_RESTORE", "OTHER_RESTORE"] + [
        "BACKGROUND_COPY"
    ]


def test_workspaces_take_turns(runner):
    """Guards against one workspace that monopolizes the link."""
    for number in range(4):
        runner.add(f"a{number}", COPY, "a")
    runner.add("b0", COPY, "b")
    assert "b0" in runner.finish()[:2]


def test_killed_transfers_free_the_link(runner):
    """Guards against a link that waits for a request that has ended."""
    runner.add("waits", OTHER)
    runner.add("last", COPY)
    gevent.killall(runner.tasks[:2])
    assert runner.finish() == []
    assert runner.done == ["last"]


def test_killed_waiter_leaves_the_running_transfer_alone(runner):
    """Guards against concurrent transfers on one link."""
    runner.add("waits", OTHER)
    runner.add("last", COPY)
    runner.tasks.pop(1).kill()
    gevent.sleep(0.01)
    assert runner.done == []
    assert runner.finish() == ["last"]


def test_failed_transfer_frees_the_link(runner):
    runner.release.set()
    with pytest.raises(ZeroDivisionError):
        runner.link.run_transfer("acme", OTHER, 100, lambda: 1 / 0)
    assert runner.link.run_transfer("acme", COPY, 100, lambda: 2) == 2


def test_no_copy_starts_between_the_pieces_of_a_restore(runner):
    """Guards against a restore that waits for a copy at each piece."""
    with runner.link.hold_copies():
        runner.add("copy", COPY)
        runner.release.set()
        gevent.sleep(0.01)
        runner.link.run_transfer("acme", OTHER, 100, lambda: None)
        gevent.sleep(0.01)
        assert runner.done == ["first"]
    assert runner.finish() == ["copy"]
