"""Tests of the order of transfers on one link."""

import gevent
from gevent import event
import pytest

from papayalink.coordination import links
from papayalink.roles.agent import store_links

URGENT, OTHER, COPY = links.Priority


class _Carrier:
    """Runs transfers on one link, of which the first waits to be let go."""

    def __init__(self):
        self.link = store_links.StoreLink()
        self.release = event.Event()
        self.done = []
        self.tasks = [self.spawn("first", URGENT, wait=True)]

    def spawn(self, name, priority, workspace="acme", wait=False):
        def move():
            if wait:
                self.release.wait()
            self.done.append(name)

        task = gevent.spawn(self.link.carry, workspace, priority, 100, move)
        gevent.sleep(0)
        return task

    def add(self, *arguments):
        self.tasks.append(self.spawn(*arguments))

    def finish(self):
        self.release.set()
        gevent.joinall(self.tasks, raise_error=True)
        return self.done[1:]


@pytest.fixture
def carrier():
    return _Carrier()


def test_urgent_restores_go_first_and_copies_last(carrier):
    """Guards against a caller that waits for a background copy."""
    for priority in (COPY, OTHER, URGENT):
        carrier.add(priority.name, priority)
    assert carrier.finish() == ["URGENT_RESTORE", "OTHER_RESTORE"] + [
        "BACKGROUND_COPY"
    ]


def test_workspaces_take_turns(carrier):
    """Guards against one workspace that fills the link with its copies."""
    for number in range(4):
        carrier.add(f"a{number}", COPY, "a")
    carrier.add("b0", COPY, "b")
    assert "b0" in carrier.finish()[:2]


def test_killed_transfers_give_up_their_turns(carrier):
    """Guards against a link that waits for a request that has ended."""
    carrier.add("waits", OTHER)
    carrier.add("last", COPY)
    gevent.killall(carrier.tasks[:2])
    assert carrier.finish() == []
    assert carrier.done == ["last"]


def test_killed_waiter_leaves_the_running_transfer_alone(carrier):
    """Guards against two transfers at a time on one link."""
    carrier.add("waits", OTHER)
    carrier.add("last", COPY)
    carrier.tasks.pop(1).kill()
    gevent.sleep(0.01)
    assert carrier.done == []
    assert carrier.finish() == ["last"]


def test_failed_transfer_frees_the_link(carrier):
    carrier.release.set()
    with pytest.raises(ZeroDivisionError):
        carrier.link.carry("acme", OTHER, 100, lambda: 1 / 0)
    assert carrier.link.carry("acme", COPY, 100, lambda: 2) == 2


def test_no_copy_starts_between_the_pieces_of_a_restore(carrier):
    """Guards against a restore that waits for a copy at each piece."""
    with carrier.link.restoring():
        carrier.add("copy", COPY)
        carrier.release.set()
        gevent.sleep(0.01)
        carrier.link.carry("acme", OTHER, 100, lambda: None)
        gevent.sleep(0.01)
        assert carrier.done == ["first"]
    assert carrier.finish() == ["copy"]
