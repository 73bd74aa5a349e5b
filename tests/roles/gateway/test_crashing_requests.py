"""Tests of single requests that end each replica that runs them."""

import gevent
import pytest

from tests.roles.gateway import sites

_KNOWN_CRASHES = 3
# Repetitions that may arrive once the request is known.
_MAX_FURTHER_ARRIVALS = 3
_CRASH_INTERVAL_S = 0.1
_PARTS = ("base", "topic", "own")


@pytest.fixture
def site(start_site):
    return start_site()


def _crash_replicas(site, route, *parts):
    """Repeat a deadly request until it has ended three replicas, if it can."""
    number = 0
    while len(site.crashed) < _KNOWN_CRASHES and number < 10:
        site.entries[number % 2].prompt(route, *parts, body=sites.DEADLY)
        site.settle()
        gevent.sleep(_CRASH_INTERVAL_S)
        number += 1


@pytest.mark.parametrize("route", ["resumed", "stream"])
@pytest.mark.parametrize(
    "parts", [_PARTS, ("own",), ()], ids=["parts", "own-part", "plain"]
)
@pytest.mark.parametrize(
    "change",
    [None, sites.Site.replace_member, sites.Site.replace_entry],
    ids=["calm", "new-leader", "restarted-entry"],
)
def test_deadly_request_is_not_sent_to_replica_after_replica(
    site, change, parts, route
):
    """Guards against a request that ends all replicas by coming again.

    All entries must know it after three crashes, whether or not it shares
    parts with other calls.
    """
    _crash_replicas(site, route, *parts)
    if change is not None:
        change(site)
        site.settle()
    crashed = len(site.crashed)
    statuses = []
    for number in range(10):
        entry = site.entries[number % 2]
        answer = entry.prompt(route, *parts, body=sites.DEADLY)
        statuses.append(answer[0])
        site.settle()
    assert len(site.crashed) - crashed <= _MAX_FURTHER_ARRIVALS
    assert statuses[-4:] == [503] * 4


@pytest.mark.parametrize("route", ["resumed", "stream"])
@pytest.mark.parametrize(
    ("parts", "caller", "body"),
    [
        (("base", "topic", "other"), "k", b"hi"),
        # Also what the deadly request itself has.
        (_PARTS, "k", b"hi"),
        (_PARTS, "another", sites.DEADLY + b" not"),
        (("base", "topic"), "k", b"hi"),
    ],
    ids=["shared-parts", "all-parts", "another-caller", "without-own-part"],
)
def test_calls_that_resemble_a_deadly_request_are_served(
    site, parts, caller, body, route
):
    """Guards against sound calls that are refused for a part they share."""
    _crash_replicas(site, route, *_PARTS)
    assert len(site.crashed) >= 2
    for entry in site.entries:
        answer = entry.prompt(route, *parts, caller=caller, body=body)
        assert answer[0] == 200


def test_same_request_of_another_caller_is_tried(site):
    """A caller can't shut out others by sending their request before."""
    for number in range(6):
        entry = site.entries[number % 2]
        entry.prompt("stream", *_PARTS, caller="a", body=sites.DEADLY)
        site.settle()
        gevent.sleep(_CRASH_INTERVAL_S)
    arrivals = len(site.arrivals)
    site.entries[0].prompt("stream", *_PARTS, caller="b", body=sites.DEADLY)
    assert len(site.arrivals) == arrivals + 1
