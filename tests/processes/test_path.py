"""Requests through all processes, from the caller to the upstream."""

import json

import pytest

from bench import client
from bench import fleet as fleets
from tests.processes import helpers

FLEET = {
    "engines": 1,
    "stores": 1,
    "orders": True,
    "engine_options": {"decode_interval_s": 0.01},
}


def _load(fleet):
    body = fleets.request(fleet.engines["engine-1"], "GET", "/load")
    return json.loads(body)


def _cut_next_stream(fleet, cut_after):
    fault = json.dumps({"cut_after": cut_after}).encode()
    fleets.request(fleet.engines["engine-1"], "PUT", "/faults", fault)


def test_streamed_answer_is_complete(caller):
    answer = caller.stream(model=fleets.MODEL, prompt="a b", max_tokens=5)
    assert answer.status == 200
    assert answer.complete
    assert answer.body.endswith(b"data: [DONE]\n\n")
    assert len(answer.events()) == 5


def test_request_id_is_the_same_in_every_log(fleet, caller):
    """Guards against requests that cannot be traced through the logs."""
    body = {"model": fleets.MODEL, "prompt": "a", "max_tokens": 1}
    answer = caller.send(
        "POST", "/v1/completions", body, **{"X-Request-Id": "trace-1"}
    )
    assert answer.headers["x-request-id"] == "trace-1"
    for name in ("entry-1", "agent-engine-1"):
        path = fleet.deployment.programs[name].log_path
        helpers.wait_until(
            lambda: "request_id=trace-1" in open(path).read(), name
        )


def test_unstreamed_answer_is_complete(caller):
    answer = caller.complete(model=fleets.MODEL, prompt="a b", max_tokens=5)
    assert answer.status == 200
    assert answer.json()["usage"]["completion_tokens"] == 5


@pytest.mark.parametrize(
    "token, path, body, headers, status, code",
    [
        ("wrong", "/v1/completions", {}, {}, 401, "unauthorized"),
        (
            None,
            "/v1/completions",
            {"model": fleets.MODEL, "prompt": "a"},
            {"X-Workspace": "nobody"},
            404,
            "workspace_not_found",
        ),
        (None, "/v1/completions", b"{", {}, 400, "invalid_request"),
        (
            None,
            "/v1/completions",
            {"model": fleets.MODEL, "prompt": "x" * 4_200_000},
            {},
            413,
            "too_large",
        ),
        (
            None,
            "/v1/completions",
            {"model": "absent", "prompt": "a"},
            {},
            404,
            "model_not_found",
        ),
        (
            None,
            "/v1/completions",
            {"model": fleets.MODEL},
            {},
            400,
            "invalid_request",
        ),
        (
            None,
            "/v1/completions",
            {"model": fleets.MODEL, "prompt": "a", "service_tier": "none"},
            {},
            400,
            "invalid_request",
        ),
        (
            None,
            "/services/orders/prices/confirm",
            {"item": "x"},
            {},
            400,
            "key_required",
        ),
        (
            None,
            "/services/orders/nothing",
            {"item": "x"},
            {},
            404,
            "call_not_found",
        ),
    ],
)
def test_invalid_requests_get_a_specific_error(
    fleet, token, path, body, headers, status, code
):
    tokens = {"token": token} if token else {}
    caller = client.make_caller(fleet.entries[0], **tokens)
    answer = caller.send("POST", path, body, **headers)
    assert answer.status == status
    assert answer.json()["error"]["code"] == code


def test_hang_up_cancels_the_stream_of_the_engine(fleet, caller):
    """Guards against tokens generated for a caller that disconnected."""
    before = _load(fleet)["cancelled"]
    answer = caller.stream(
        limit=3, model=fleets.MODEL, prompt="a b", max_tokens=100_000
    )
    assert answer.status == 200, answer.body
    helpers.wait_until(lambda: _load(fleet)["cancelled"] == before + 1)
    helpers.wait_until(
        lambda: fleet.deployment.dump("agent-engine-1")["running"] == 0
    )


def test_cut_stream_never_ends_cleanly(fleet, caller):
    """Guards against a partial answer that looks like a complete one."""
    _cut_next_stream(fleet, 3)
    answer = caller.stream(model=fleets.MODEL, prompt="a b", max_tokens=50)
    assert not answer.complete
    assert b"[DONE]" not in answer.body
    assert b"upstream_failed" in answer.body


def test_evicted_prompt_is_restored(fleet, caller):
    """Guards against cache pieces that are stored but never restored."""
    prompt = " ".join(f"r{number}" for number in range(4100))
    request = {"model": fleets.MODEL, "prompt": prompt, "max_tokens": 2}
    first = caller.complete(**request).json()
    helpers.wait_until(
        lambda: fleet.deployment.dump("store-1")["usage"]["disk"]["pieces"]
        >= 2
    )
    fleet.evict()
    second = caller.complete(**request).json()
    details = second["usage"]["prompt_tokens_details"]
    assert details["cached_tokens"] == 4000
    assert second["choices"] == first["choices"]


def test_protected_call_runs_once(fleet, caller):
    first = caller.confirm("key-1", item="prawns", price=5)
    again = caller.confirm("key-1", item="prawns", price=5)
    other = caller.confirm("key-1", item="prawns", price=6)
    assert first.status == again.status == 200
    assert first.body == again.body
    assert other.status == 422
    assert len(fleet.executions()) == 1
