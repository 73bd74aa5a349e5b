"""Weight swaps, fencing, leaving upstreams and planned stops."""

import itertools
import json
import signal

import gevent
import msgspec
import pytest

from bench import client
from bench import fleet as fleets
from papayalink import clock as clocks
from papayalink.protocol import messages
from papayalink.protocol import relay
from papayalink.state import document as documents
from papayalink.transport import auth
from papayalink.transport import http_client
from tests.processes import helpers

FLEET = {
    "entries": 2,
    "engines": 3,
    "stores": 1,
    "platform": True,
    "weights": "v1 v2 v3 v4",
    "engine_options": {"decode_interval_s": 0.02},
}


def _orders(fleet, engine):
    body = fleets.request(fleet.engines[engine], "GET", "/orders")
    return json.loads(body)["orders"]


def _set_version(fleet, version, previous=""):
    fleet.apply(models=(documents.Model(fleets.MODEL, version, previous),))


def _complete(caller, **body):
    return caller.complete(
        **{
            "model": fleets.MODEL,
            "prompt": "a b",
            "max_tokens": 2,
            **body,
        }
    )


def _all_serve(fleet, version):
    return all(
        fleet.deployment.dump(f"agent-{name}")["engine"]["weight_version"]
        == version
        for name in fleet.engines
    )


@pytest.fixture
def ordered(fleet):
    """Each engine has carried out two orders, of this test or before."""
    versions = ("v1", "v2", "v3")
    for previous, version in itertools.pairwise(versions):
        ordered = [
            order["weight_version"] for order in _orders(fleet, "engine-1")
        ]
        if version not in ordered:
            _set_version(fleet, version, previous)
            helpers.wait_until(lambda: _all_serve(fleet, version), "rollout")


def test_swap_under_traffic(fleet, caller):
    """Guards against answers of mixed weights, and refusals during a swap."""
    long_answer = gevent.spawn(
        caller.stream, model=fleets.MODEL, prompt="x", max_tokens=150
    )
    gevent.sleep(0.2)
    _set_version(fleet, "v2", "v1")
    seen = []

    def is_rolled_out():
        answer = _complete(caller)
        assert answer.status == 200, answer.body
        seen.append(answer.json()["system_fingerprint"])
        return _all_serve(fleet, "v2")

    helpers.wait_until(is_rolled_out, "rollout")
    complete_answer = long_answer.get()
    assert complete_answer.complete
    assert {
        item["system_fingerprint"] for item in complete_answer.events()
    } == {"v1"}
    assert set(seen) <= {"v1", "v2"}
    helpers.wait_until(
        lambda: _complete(caller).json().get("system_fingerprint") == "v2"
    )


def test_no_answer_of_a_version_that_is_not_configured(fleet, caller):
    """Guards against a new request that uses blocks of other weights."""
    prompt = " ".join(f"s{number}" for number in range(2100))
    before = _complete(caller, prompt=prompt)
    _set_version(fleet, "v3")
    answers = []

    def answered():
        answers.append(_complete(caller, prompt=prompt))
        return answers[-1].json().get("system_fingerprint") == "v3"

    helpers.wait_until(answered, "rollout")
    refused, first = answers[:-1], answers[-1]
    assert {answer.status for answer in refused} <= {200, 503}
    details = first.json()["usage"]["prompt_tokens_details"]
    assert details["cached_tokens"] == 0
    assert before.json()["system_fingerprint"] == "v2"
    helpers.wait_until(lambda: _all_serve(fleet, "v3"))


def test_each_engine_loads_a_version_once(fleet):
    """Guards against orders repeated because load reports are outdated."""
    for name in fleet.engines:
        versions = [order["weight_version"] for order in _orders(fleet, name)]
        assert versions == ["v2", "v3"]


@pytest.mark.usefixtures("ordered")
def test_order_of_an_old_leader_is_refused(fleet):
    """Guards against an outdated order at an engine without fencing."""
    _check_old_order_is_refused(fleet)


def _check_old_order_is_refused(fleet):
    agent = fleet.document.upstreams[0].agent
    signer = auth.make_signer(
        bytes.fromhex(fleet.deployment.key), clocks.make_clock()
    )
    old = messages.Order("engine-1", 1, "load_weights", "v1")
    before = _orders(fleet, "engine-1")
    answer = http_client.make_client(signer, 10.0).send(
        agent, "POST", relay.ORDER_PATH, messages.encode(old)
    )
    assert messages.decode(answer.read()) == messages.OrderReply("stale")
    assert _orders(fleet, "engine-1") == before


@pytest.mark.usefixtures("ordered")
def test_old_order_is_refused_after_a_restart_of_the_agent(fleet):
    """Guards against an agent that loses fencing tokens in a restart."""
    fleet.deployment.programs["agent-engine-1"].kill()
    fleet.deployment.restart("agent-engine-1")
    fleet.deployment.wait_accepting(["agent-engine-1"])
    _check_old_order_is_refused(fleet)


def test_order_is_resumed_by_the_next_leader(fleet):
    """Guards against a rollout that ends when its leader fails."""
    _set_version(fleet, "v4", "v3")
    helpers.wait_until(
        lambda: any(
            order["weight_version"] == "v4"
            for name in fleet.engines
            for order in _orders(fleet, name)
        )
    )
    leader = helpers.leader_of(fleet.deployment)
    fleet.deployment.programs[leader].kill()
    helpers.wait_until(lambda: _all_serve(fleet, "v4"), "rollout")
    fleet.deployment.restart(leader)
    fleet.deployment.wait_accepting([leader])
    for name in fleet.engines:
        fences = [order["fence"] for order in _orders(fleet, name)]
        assert fences == sorted(fences)


def test_leaving_vm_gets_no_new_work(fleet, caller):
    """Guards against requests sent to an upstream whose VM is leaving."""
    vm = {"name": "engine-2", "address": "", "zone": "", "state": "leaving"}
    fleets.request(
        fleet.platform, "POST", "/vms", msgspec.json.encode({"vms": [vm]})
    )
    helpers.wait_until(
        lambda: fleet.deployment.dump("agent-engine-2")["refusal"]
    )
    helpers.wait_until(
        lambda: "engine-2"
        in fleet.deployment.dump("entry-1")["selection"]["leaving"]
    )
    before = fleet.served("engine-2")
    for _ in range(30):
        assert _complete(caller).status == 200
    assert fleet.served("engine-2") == before
    vm["state"] = "live"
    fleets.request(
        fleet.platform, "POST", "/vms", msgspec.json.encode({"vms": [vm]})
    )
    helpers.wait_until(
        lambda: not fleet.deployment.dump("agent-engine-2")["refusal"]
    )


@pytest.mark.parametrize("name", ["entry-1", "agent"])
def test_planned_stop_cuts_off_nothing(fleet, caller, name):
    """Guards against answers cut by SIGTERM."""
    streams = [
        gevent.spawn(
            caller.stream,
            model=fleets.MODEL,
            prompt=f"p{number}",
            max_tokens=60,
        )
        for number in range(6)
    ]
    gevent.sleep(0.3)
    names = [name] if name != "agent" else ["agent-engine-1"]
    for stopping in names:
        fleet.deployment.programs[stopping].send(signal.SIGTERM)
    gevent.joinall(streams)
    assert all(stream.get().complete for stream in streams)
    for stopping in names:
        assert fleet.deployment.programs[stopping].process.wait() == 0
        fleet.deployment.restart(stopping)
    fleet.deployment.wait_accepting(names)


def test_store_lost_in_the_middle_is_only_a_miss(fleet, caller):
    """Guards against a request that fails because a store is lost."""
    prompt = " ".join(f"l{number}" for number in range(4100))
    assert _complete(caller, prompt=prompt).status == 200
    fleet.deployment.programs["store-1"].kill()
    fleet.evict()
    answer = _complete(caller, prompt=prompt)
    assert answer.status == 200
    details = answer.json()["usage"]["prompt_tokens_details"]
    assert details["cached_tokens"] == 0
    fleet.deployment.restart("store-1")
    fleet.deployment.wait_accepting(["store-1"])


def test_workspaces_do_not_share_cache(fleet, caller):
    """Guards against an answer from cached blocks of another workspace."""
    other = documents.Workspace(
        "other", (documents.token_digest("token-of-other"),), "urgent"
    )
    fleet.apply(workspaces=(*fleet.document.workspaces, other))
    stranger = client.make_caller(fleet.entries[0], "token-of-other")
    prompt = " ".join(f"w{number}" for number in range(4100))
    helpers.wait_until(lambda: _complete(stranger).status == 200)
    answers = [_complete(one, prompt=prompt) for one in (caller, stranger)]
    assert [answer.status for answer in answers] == [200, 200], answers
    first, second = (answer.json() for answer in answers)
    details = second["usage"]["prompt_tokens_details"]
    assert details["cached_tokens"] == 0
    assert first["choices"] != second["choices"]


def test_missing_weights_are_not_rolled_out(fleet, caller):
    """Guards against replicas that stop serving to load missing weights."""
    loaded = _complete(caller).json()["system_fingerprint"]
    models = fleet.document.models
    _set_version(fleet, "mistyped", loaded)

    def is_noticed():
        assert _complete(caller).status == 200
        paths = [
            fleet.deployment.programs[name].log_path
            for name in fleet.deployment.controls
        ]
        return any(
            "event=weights_missing" in open(path).read() for path in paths
        )

    helpers.wait_until(is_noticed, "look-up of the version")
    assert not any(
        order.get("weight_version") == "mistyped"
        for engine in fleet.engines
        for order in _orders(fleet, engine)
    )
    # An entry that starts meanwhile does not know which weights the replicas
    # have loaded.
    listen = fleet.deployment.add_entry("entry-4", fleets.ZONES[0])
    fleet.deployment.wait_accepting(["entry-4"])
    assert _complete(client.make_caller(listen)).status == 200
    fleet.apply(models=models)


def test_stopping_entry_serves_until_the_balancer_has_turned_away(fleet):
    """Guards against callers that are refused during a planned stop."""
    listen = fleet.deployment.add_entry(
        "entry-3", fleets.ZONES[0], drain_delay_s=60.0
    )
    fleet.deployment.wait_accepting(["entry-3"])
    process = fleet.deployment.programs["entry-3"].process
    process.terminate()
    helpers.wait_until(
        lambda: fleets.request(listen, "GET", "/healthz") == b"not ready\n"
    )
    assert _complete(client.make_caller(listen)).status == 200
    process.terminate()
    assert process.wait() == 0


def test_stopping_agent_loses_no_queued_request(fleet, caller):
    """Guards against queued requests that are lost when an agent stops."""
    upstreams = tuple(
        msgspec.structs.replace(item, max_running=1)
        for item in fleet.document.upstreams
    )
    before = fleet.document.upstreams
    agents = [f"agent-{name}" for name in fleet.engines]

    def dump_values(key):
        return [fleet.deployment.dump(name)[key] for name in agents]

    fleet.apply(upstreams=upstreams)
    helpers.wait_until(lambda: set(dump_values("version")) == {fleet.version})
    answers = [
        gevent.spawn(
            caller.stream,
            model=fleets.MODEL,
            prompt=f"q{number}",
            max_tokens=20,
            service_tier="deferrable",
        )
        for number in range(45)
    ]
    helpers.wait_until(lambda: max(dump_values("waiting")) > 10)
    waiting = dump_values("waiting")
    stopping = agents[waiting.index(max(waiting))]
    fleet.deployment.programs[stopping].send(signal.SIGTERM)
    gevent.joinall(answers)
    assert [answer.get().status for answer in answers] == [200] * 45
    assert fleet.deployment.programs[stopping].process.wait() == 0
    fleet.deployment.restart(stopping)
    fleet.deployment.wait_accepting([stopping])
    fleet.apply(upstreams=before)
