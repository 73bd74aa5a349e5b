"""Tests of prompts that come while all replicas load weights."""

import gevent
import pytest

from papayalink.protocol import messages
from papayalink.state import traffic
from tests.roles.gateway import stubs

_ROUTE = stubs.make_route("stream", traffic.RepeatPolicy.ONCE, stream=True)
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)


@pytest.fixture
def gateway():
    """Gateway with a replica whose weights were replaced long ago."""
    upstream = stubs.Upstream(
        "models1", [stubs.STREAM, stubs.event(1), stubs.END]
    )
    gateway = stubs.Gateway([upstream], [_ROUTE])
    gateway.tables.weights.observe({"m": 2}, 0.0)
    yield gateway
    gateway.stop()


def _begin_load(gateway):
    gateway.fleet.set_loading([messages.Loading("models1", "m", 2)])


def _end_load(gateway):
    gateway.fleet.set_loading([])
    gateway.fleet.note_loaded([messages.Loading("models1", "m", 2)])


def _nothing(gateway):
    pass


# Guards against prompts that are refused though the only replica has new
# weights a moment later, and against prompts that wait for what does not come.
@pytest.mark.parametrize(
    ("before", "meanwhile", "status"),
    [
        (_begin_load, _end_load, 200),
        (_begin_load, _nothing, 503),
        (_nothing, _nothing, 503),
    ],
    ids=["load-ends", "load-goes-on", "no-load"],
)
def test_prompt_waits_for_a_load_that_ends_in_its_time(
    gateway, before, meanwhile, status
):
    before(gateway)
    waiting = gevent.spawn(gateway.call, b"/stream/", _PROMPT)
    gevent.sleep(0.1)
    assert waiting.ready() is (before is _nothing)
    meanwhile(gateway)
    assert waiting.get(timeout=10)[0] == status
    assert len(gateway.upstreams[0].received) == (status == 200)
