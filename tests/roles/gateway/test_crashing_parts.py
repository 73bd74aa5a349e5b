"""Tests of prompts that end the replicas that answer them."""

import gevent
import pytest

from tests.roles.gateway import sites

_KNOWN_CRASHES = 5
# Prompts with the part that may arrive once it is known.
_MAX_FURTHER_ARRIVALS = 3
_CRASH_INTERVAL_S = 0.1


def _crash_replicas(site, part, route="resumed"):
    """Send prompts with a part until it has ended five replicas."""
    number = 0
    while len(site.crashed) < _KNOWN_CRASHES and number < 20:
        entry = site.entries[number % 2]
        entry.prompt(route, "base", part, f"own{number}")
        site.settle()
        gevent.sleep(_CRASH_INTERVAL_S)
        number += 1


def _send_more(site, part, route="resumed"):
    """Returns: how many of ten more prompts with the part have arrived."""
    before = len(site.arrivals)
    for number in range(10):
        entry = site.entries[number % 2]
        entry.prompt(route, "base", part, f"more{number}")
        site.settle()
    return len(site.arrivals) - before


@pytest.mark.parametrize("route", ["resumed", "stream"])
@pytest.mark.parametrize(
    "last_words",
    [sites.HALF_EVENT, b""],
    ids=["half-an-event", "nothing"],
)
@pytest.mark.parametrize(
    "change",
    [None, sites.Site.replace_member, sites.Site.replace_entry],
    ids=["calm", "new-leader", "restarted-entry"],
)
def test_crashing_part_is_not_sent_to_replica_after_replica(
    start_site, change, last_words, route
):
    """Guards against prompts with one part that end all replicas in turn.

    All entries must know the part after five crashes, also with a new leader
    or after a restart, and if no byte of the answer arrives.
    """
    site = start_site(crashing=["bad"], last_words=last_words)
    _crash_replicas(site, "bad", route)
    if change is not None:
        change(site)
        site.settle()
    assert _send_more(site, "bad", route) <= _MAX_FURTHER_ARRIVALS
    for entry in site.entries:
        # The part may come last, where it is the prompt's own.
        assert entry.prompt(route, "base", "other", "bad")[0] == 200
        assert entry.prompt(route, "base", "own")[0] == 200
