"""Tests that prompts are not refused while a replica could take them."""

import msgspec
import pytest

from papayalink.coordination import fleet as fleets
from papayalink.protocol import messages
from papayalink.state import traffic
from tests.roles.gateway import stubs

_BULK = stubs.make_route(
    "bulk",
    traffic.RepeatPolicy.ONCE,
    stream=True,
    max_attempts=1,
    objective_s=1.0,
)
_URGENT = msgspec.structs.replace(
    _BULK, name="urgent", prefix="/urgent/", objective_s=0.4, rank=0
)
_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)
_PATHS = (b"/bulk/", b"/urgent/")
_CALLS = 20


class _Upstream(stubs.Upstream):
    def next_steps(self, request):
        return [stubs.STREAM, stubs.event(1), stubs.END]


@pytest.fixture
def start():
    """Function that starts a gateway before replicas, some of them busy."""
    started = []

    def make(count, free):
        upstreams = [_Upstream(f"models{number}") for number in range(count)]
        gateway = stubs.Gateway(upstreams, (_BULK, _URGENT))
        started.append(gateway)
        for upstream in upstreams[free:]:
            # About 4 s of prompts, as the other gateways report.
            busy = messages.ReplicaWork(upstream.name, prefill=((0, 200_000),))
            member = gateway.fleet.find(upstream.name)
            member.update_other_work(busy, float("inf"))
        return gateway

    yield make
    for gateway in started:
        gateway.stop()


def _call(gateway, path):
    status, _, body = gateway.call(path, _PROMPT)
    return status if body is not None else None


# Guards against prompts that are refused as overloaded because the replicas
# that are sampled for them are busy, while others are idle.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("count, free", [(3, 1), (6, 1), (8, 1), (8, 2)])
def test_prompts_are_sent_to_the_replicas_that_are_free(
    start, path, count, free
):
    gateway = start(count, free)
    statuses = [_call(gateway, path) for _ in range(_CALLS)]
    assert statuses == [200] * _CALLS
    calls = [len(each.received) for each in gateway.upstreams]
    assert sum(calls[:free]) == _CALLS


# Guards against prompts that are queued where they can't be answered in time.
@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize("count", [1, 2, 8])
def test_prompts_are_refused_when_all_replicas_are_busy(start, path, count):
    gateway = start(count, 0)
    assert {_call(gateway, path) for _ in range(_CALLS)} == {503}
    assert not any(each.received for each in gateway.upstreams)


# Guards against refusals that take longer the more replicas there are.
def test_refusal_looks_at_a_bounded_number_of_replicas(start, monkeypatch):
    gateway = start(1, 0)
    member = next(iter(gateway.fleet.all_members()))
    many = [member] * (3 * fleets.LAST_CANDIDATES)
    gateway.fleet._by_service["models"] = many
    looked_at = []
    priced = fleets.Fleet._priced_choice

    def count(fleet, *args):
        looked_at.append(args)
        return priced(fleet, *args)

    monkeypatch.setattr(fleets.Fleet, "_priced_choice", count)
    assert _call(gateway, b"/bulk/") == 503
    assert len(looked_at) <= fleets.LAST_CANDIDATES + fleets.CANDIDATES
