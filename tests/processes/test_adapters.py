"""Adapters: orders of the leader, and requests for an adapter."""

import json

from bench import fleet as fleets
from papayalink import clock as clocks
from papayalink.protocol import messages
from papayalink.protocol import relay
from papayalink.roles.agent import engine_orders
from papayalink.state import document as documents
from papayalink.transport import auth
from papayalink.transport import http_client
from tests.processes import helpers

FLEET = {
    "engines": 2,
    "stores": 1,
    "engine_options": {
        "adapter_load_time_s": 3.0,
        "missing_adapter": "missing",
    },
}
PROMPT = " ".join(f"a{number}" for number in range(2100))


def _set_adapters(fleet, version, *adapters):
    fleet.apply(models=(documents.Model(fleets.MODEL, version, "", adapters),))


def _complete(caller, model, prompt="a b"):
    return caller.complete(model=model, prompt=prompt, max_tokens=2)


def _wait_answered(caller, model):
    """Wait until a model answers.

    Returns: the refusals before the first answer.
    """
    refused = []

    def answered():
        answer = _complete(caller, model)
        if answer.status != 200:
            refused.append(answer)
        return answer.status == 200

    helpers.wait_until(answered, f"answer of {model}")
    return refused


def _loaded_adapters(fleet, engine):
    body = fleets.request(fleet.engines[engine], "GET", "/orders")
    return [
        order["adapter"]
        for order in json.loads(body)["orders"]
        if order["action"] == "load_adapter"
    ]


def _open_orders(fleet):
    leader = helpers.leader_of(fleet.deployment)
    return leader and fleet.deployment.dump(leader)["orders"]


def test_unknown_adapter_is_not_found(fleet, caller):
    answer = _complete(caller, "absent")
    assert answer.status == 404
    assert answer.json()["error"]["code"] == "model_not_found"


def test_adapter_is_refused_as_not_run_until_it_is_loaded(fleet, caller):
    """Guards against the base model answering for an adapter."""
    _set_adapters(fleet, "v1", "tuned")
    refused = _wait_answered(caller, "tuned")
    # Entries know the configured adapter long before it is loaded.
    assert refused[-1].status == 503
    for answer in refused:
        error = answer.json()["error"]
        if answer.status == 503:
            assert (error["code"], error["run"]) == ("not_run", "not run")
        else:
            assert answer.status == 404
    plain, tuned = _complete(caller, fleets.MODEL), _complete(caller, "tuned")
    assert plain.json()["choices"] != tuned.json()["choices"]
    assert tuned.json()["model"] == "tuned"


def test_adapters_share_no_cache(fleet, caller):
    """Guards against cached blocks of an adapter used for another model."""
    helpers.wait_until(
        lambda: all(
            _loaded_adapters(fleet, engine) for engine in fleet.engines
        )
    )
    answers = {}
    for model in (fleets.MODEL, "tuned"):
        answer = _complete(caller, model, PROMPT).json()
        details = answer["usage"]["prompt_tokens_details"]
        assert details["cached_tokens"] == 0
        answers[model] = answer["choices"]
    helpers.wait_until(
        lambda: fleet.deployment.dump("store-1")["usage"]["disk"]["pieces"]
        >= 2
    )
    fleet.evict()
    for model, choices in answers.items():
        answer = _complete(caller, model, PROMPT).json()
        details = answer["usage"]["prompt_tokens_details"]
        # The piece is restored from the store and belongs to this model.
        assert details["cached_tokens"] == 2000
        assert answer["choices"] == choices


def test_next_leader_takes_over_an_open_order(fleet, caller):
    """Guards against an adapter that is never loaded, or loaded twice."""
    helpers.wait_until(lambda: _open_orders(fleet) == [], "orders closed")
    _set_adapters(fleet, "v1", "tuned", "other")
    helpers.wait_until(lambda: _open_orders(fleet), "open order")
    leader = helpers.leader_of(fleet.deployment)
    fences = [order["fence"] for order in _open_orders(fleet)]
    fleet.deployment.programs[leader].kill()
    helpers.wait_until(
        lambda: any(
            order["fence"] > max(fences) for order in _open_orders(fleet) or ()
        ),
        "order taken over",
    )
    _wait_answered(caller, "other")
    helpers.wait_until(lambda: _open_orders(fleet) == [], "orders closed")
    for engine in fleet.engines:
        assert _loaded_adapters(fleet, engine) == ["tuned", "other"]
    fleet.deployment.restart(leader)
    fleet.deployment.wait_accepting([leader])


def test_adapters_follow_new_weights(fleet, caller):
    """Guards against an adapter that is lost when weights are swapped."""
    _set_adapters(fleet, "v2", "tuned")

    def swapped():
        answer = _complete(caller, "tuned")
        return answer.json().get("system_fingerprint") == "v2"

    helpers.wait_until(swapped, "answer on new weights")
    refused = _complete(caller, "other")
    assert refused.status == 404


def test_adapter_that_fails_does_not_hold_up_others(fleet, caller):
    """Guards against one wrong name that blocks all other adapters."""
    _set_adapters(fleet, "v2", "missing", "late")
    refused = _wait_answered(caller, "late")
    assert refused[-1].status == 503
    assert _complete(caller, "missing").status == 503


def test_order_without_a_quorum_is_not_sent(fleet):
    """Guards against outdated orders at an engine without fencing."""
    agent = fleet.document.upstreams[0].agent
    signer = auth.make_signer(
        bytes.fromhex(fleet.deployment.key), clocks.make_clock()
    )
    helpers.wait_until(
        lambda: all(
            "late" in _loaded_adapters(fleet, name) for name in fleet.engines
        ),
        "earlier orders",
    )
    before = _loaded_adapters(fleet, "engine-1")
    for name in list(fleet.deployment.controls)[:2]:
        fleet.deployment.programs[name].kill()
    order = messages.Order("engine-1", 1000, "load_adapter", "other")
    answer = http_client.make_client(signer, 10.0).send(
        agent, "POST", relay.ORDER_PATH, messages.encode(order)
    )
    reply = messages.decode(answer.read())
    assert reply == messages.OrderReply("failed", engine_orders.NOT_CONFIRMED)
    assert _loaded_adapters(fleet, "engine-1") == before
