"""Tests of the JSON API and of authentication."""

import base64

import msgspec
import pytest

from papayalink.console import errors
from tests.console import fake_backend
from tests.state import samples

_PATHS = ["/", "/console.css", "/edit/ranks", "/api/document", "/none"]


def _basic(pair):
    return f"Basic {base64.b64encode(pair.encode()).decode()}"


@pytest.mark.parametrize("path", _PATHS)
@pytest.mark.parametrize(
    "header",
    [
        "",
        "Bearer",
        "Bearer x",
        f"Bearer {fake_backend.TOKEN}x",
        f"bearer{fake_backend.TOKEN}",
        _basic(fake_backend.TOKEN),
        _basic("ann:x"),
        "Basic !!",
        "Basic \xff",
    ],
)
def test_requests_without_the_token_are_refused(client, path, header):
    # Guards against a console that is open to everyone on the network.
    answer = client.simulate_get(path, headers={"Authorization": header})
    assert answer.status_code == 401
    assert "Basic" in answer.headers["WWW-Authenticate"]


@pytest.mark.parametrize(
    "header",
    [f"bearer {fake_backend.TOKEN}", _basic(f"ann:{fake_backend.TOKEN}")],
)
def test_token_is_accepted_in_both_forms(client, header):
    # Guards against a browser that cannot log in.
    answer = client.simulate_get("/", headers={"Authorization": header})
    assert answer.status_code == 200
    assert "frame-ancestors" in answer.headers["Content-Security-Policy"]


def _put(client, document, request_id="r1", base=1, **extra_fields):
    body = {
        "request_id": request_id,
        "base_version": base,
        "document": document,
        "author": "bea",
    } | extra_fields
    return client.simulate_put("/api/document", body=msgspec.json.encode(body))


def test_document_can_be_read_and_changed(client, backend):
    # Guards against a change that is reported as accepted but not applied.
    current = client.simulate_get("/api/document").json
    assert current["version"] == 1
    changed = current["document"]
    changed["limits"]["max_queue_per_upstream"] = 9
    diff = client.simulate_post("/api/diff", json=changed).json
    assert "256 -> 9" in diff["text"]
    assert diff["changes"][0]["path"] == "limits.max_queue_per_upstream"
    answer = _put(client, changed)
    assert answer.status_code == 200
    assert answer.json["outcome"] == "accepted"
    assert answer.json["version"] == backend.configuration.version == 2
    entry, _ = client.simulate_get("/api/history").json["versions"]
    assert (entry["author"], entry["at_ms"]) == ("bea", 1_700_000_000_000)


def test_outcomes_have_their_own_status(client, backend):
    # Guards against tools that take a conflict for an accepted change.
    document = samples.valid()
    assert _put(client, document).status_code == 200
    assert _put(client, document).json["version"] == 2
    reused = _put(client, document, base=2)
    conflict = _put(client, document, request_id="r2")
    invalid = _put(client, {"ranks": 1}, request_id="r3", base=2)
    assert (reused.status_code, reused.json["outcome"]) == (
        409,
        "request_id_reused",
    )
    assert (conflict.status_code, conflict.json["outcome"]) == (
        409,
        "conflict",
    )
    assert "version 2 by bea" in conflict.json["changes"]
    assert (invalid.status_code, invalid.json["outcome"]) == (422, "invalid")
    assert invalid.json["problems"][0]["path"] == "$.ranks"
    assert backend.configuration.version == 2


@pytest.mark.parametrize(
    "body", [b"", b"{", b'{"request_id": "a"}', b"[" * 100_000]
)
def test_unreadable_change_is_refused(client, backend, body):
    # Guards against a malformed change reported as an unknown outcome.
    answer = client.simulate_put("/api/document", body=body)
    assert answer.status_code == 400
    assert backend.configuration.version == 1


@pytest.mark.parametrize("path", ["/api/validate", "/api/diff"])
def test_problems_are_listed(client, path):
    # Guards against endpoints that disagree about which documents are valid.
    assert client.simulate_post(path, json=samples.valid()).status_code == 200
    answer = client.simulate_post(path, json={"x": 1})
    assert answer.status_code == 422
    assert answer.json["problems"][0]["path"] == "$.x"


@pytest.mark.parametrize(
    "fault, status, code",
    [
        (errors.NotLeader("10.0.0.2:82"), 307, "not_leader"),
        (errors.Unavailable("no quorum"), 503, "unavailable"),
        (errors.Unknown("timed out"), 504, "unknown"),
    ],
)
def test_faults_of_the_group(client, backend, fault, status, code):
    # Guards against an unknown outcome that is reported as a refusal.
    backend.fault = fault
    answer = _put(client, samples.valid())
    assert (answer.status_code, answer.json["error"]) == (status, code)
    if status == 307:
        assert answer.headers["Location"] == "http://10.0.0.2:82/api/document"
    if status == 504:
        assert "same request id" in answer.json["text"]
        backend.fault = None
        assert _put(client, samples.valid()).json["version"] == 2


def test_call_record(client, backend):
    # Guards against keys with slashes or spaces that cannot be looked up.
    backend.calls[("w0", "a/b c")] = {"state": "started"}
    answer = client.simulate_get("/api/calls/w0/a%2Fb%20c")
    assert answer.json == {"state": "started"}
    assert client.simulate_get("/api/calls/w0/x").status_code == 404
    assert client.simulate_get("/api/status").json["leader"] == "c1"


def test_failure_names_no_details(client, backend):
    # Guards against internals and secrets in an error response.
    backend.fault = RuntimeError("secret")
    for path in ("/api/status", "/"):
        answer = client.simulate_get(path)
        assert answer.status_code == 500
        assert "secret" not in answer.text
