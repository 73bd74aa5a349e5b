"""Tests of prompts that wait for loads in vain."""

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
def start_gateway():
    """Function that starts a gateway before upstreams of model replicas."""
    started = []

    def start(*scripts):
        upstreams = [
            stubs.Upstream(f"models{number}", *script)
            for number, script in enumerate(scripts, 1)
        ]
        started.append(stubs.Gateway(upstreams, [_ROUTE]))
        return started[-1]

    yield start
    for gateway in started:
        gateway.stop()


def _begin_load(gateway, model="m"):
    gateway.fleet.set_loading([messages.Loading("models1", model, 2)])


def _end_load(gateway):
    gateway.fleet.set_loading([])
    gateway.fleet.note_loaded([messages.Loading("models1", "m", 2)])


_ANSWER = [stubs.STREAM, stubs.event(1), stubs.END]


# Guards against prompts that wait for a load of weights that they do not need.
def test_prompt_does_not_wait_for_the_weights_of_another_model(start_gateway):
    gateway = start_gateway([_ANSWER])
    gateway.tables.weights.observe({"m": 2}, 0.0)
    _begin_load(gateway, "n")
    waiting = gevent.spawn(gateway.call, b"/stream/", _PROMPT)
    gevent.sleep(0.3)
    assert waiting.ready()
    assert waiting.get()[0] == 503


# Guards against prompts that wait for a replica that they are not sent to
# again. They may be refused at once, or served after the load.
def test_prompt_does_not_wait_in_vain_for_a_replica_that_has_refused_it(
    start_gateway,
):
    gateway = start_gateway([[0.2, stubs.BUSY], _ANSWER])
    waiting = gevent.spawn(gateway.call, b"/stream/", _PROMPT)
    while not gateway.upstreams[0].received:
        gevent.sleep(0.001)
    _begin_load(gateway)
    gevent.sleep(0.6)
    refused_at_once = waiting.ready()
    # The refusal holds for a moment only.
    _end_load(gateway)
    assert waiting.get(timeout=10)[0] == (503 if refused_at_once else 200)


# Guards against prompts that are refused though a replica has new weights,
# since they waited for a permit for another one meanwhile.
def test_load_that_ends_during_a_wait_for_a_permit_is_noticed(start_gateway):
    gateway = start_gateway([_ANSWER], [_ANSWER])
    gateway.tables.weights.observe({"m": 2}, 0.0)
    gateway.fleet.find("models2").limit_per_s = 1.0
    _begin_load(gateway)
    waiting = gevent.spawn(gateway.call, b"/stream/", _PROMPT)
    gevent.sleep(0.1)
    _end_load(gateway)
    assert waiting.get(timeout=10)[0] == 200
