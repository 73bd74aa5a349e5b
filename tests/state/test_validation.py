"""Tests of document validation."""

import json

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import result

from papayalink.state import document as documents
from papayalink.state import validation
from tests.state import samples

_W0 = documents.token_digest("token 0")

# Path and value to set in a valid document, expected path of the problem, and
# a part of its expected text or fix.
_FAULTS = [
    (["ranks", 0, "wieght"], 2, "$.ranks[0].wieght", '"weight"'),
    (["limits", "qqqq"], 2, "$.limits.qqqq", "known keys"),
    (["a b"], 2, '$["a b"]', "unknown key"),
    (["ranks"], {}, "$.ranks", "a list"),
    (["ranks", 0], "urgent", "$.ranks[0]", "an object"),
    (["limits"], [], "$.limits", "an object"),
    (["workspaces", 1, "rank"], None, "$.workspaces[1].rank", "a string"),
    (["ranks", 0, "weight"], True, "$.ranks[0].weight", "whole number"),
    (["ranks", 0, "weight"], 1.0, "$.ranks[0].weight", "whole number"),
    (["ranks", 0, "weight"], 2**60, "$.ranks[0].weight", "out of range"),
    (["ranks", 0, "min_share"], 10**30, "$.ranks[0].min_share", "0 to 1"),
    (["upstreams", 0, "draining"], 1, "$.upstreams[0].draining", "true or"),
    (["ranks", 0, "ttft_target_ms"], 0, "$.ranks[0].ttft_target_ms", "1 to"),
    (["ranks", 1, "min_share"], 1.5, "$.ranks[1].min_share", "0 to 1"),
    (["ranks", 1, "min_share"], 0.5, "$.ranks[*].min_share", "1.1"),
    (["ranks", 0, "weight"], 0, "$.ranks[0].weight", "1 to"),
    (
        ["workspaces", 0, "cache_share"],
        0.7,
        "$.workspaces[*].cache_share",
        "1.1",
    ),
    (
        ["workspaces", 0, "tokens_per_s"],
        -1,
        "$.workspaces[0].tokens_per_s",
        "0 or more",
    ),
    (["limits", "max_body_bytes"], 0, "$.limits.max_body_bytes", "1 or more"),
    (
        ["limits", "ledger_retention_s"],
        59,
        "$.limits.ledger_retention_s",
        "60 or more",
    ),
    (["workspaces", 1, "name"], "w0", "$.workspaces[1].name", "workspaces[0]"),
    (["workspaces", 1, "name"], "a/b", "$.workspaces[1].name", "valid name"),
    (
        ["models", 0, "weight_version"],
        "",
        "$.models[0].weight_version",
        "valid name",
    ),
    (
        ["models", 0, "adapters"],
        ["a", "a"],
        "$.models[0].adapters[1]",
        "twice",
    ),
    (
        ["models", 0, "adapters"],
        ["a", "base/chat"],
        "$.models[0].adapters[1]",
        "a model",
    ),
    (["workspaces", 2, "rank"], "slow", "$.workspaces[2].rank", "urgent"),
    (
        ["workspaces", 0, "token_digests"],
        [],
        "$.workspaces[0].token_digests",
        "no tokens",
    ),
    (
        ["workspaces", 0, "token_digests", 0],
        _W0.upper(),
        "$.workspaces[0].token_digests[0]",
        "SHA-256",
    ),
    (
        ["workspaces", 1, "token_digests", 0],
        _W0,
        "$.workspaces[1].token_digests[0]",
        "$.workspaces[0]",
    ),
    (["upstreams", 0, "serves"], "x", "$.upstreams[0].serves", "base/chat"),
    (["upstreams", 0, "serves"], "orders", "$.upstreams[0].kind", '"service"'),
    (["upstreams", 0, "kind"], "gpu", "$.upstreams[0].kind", "engine"),
    (["upstreams", 0, "agent"], "e1:80", "$.upstreams[0].agent", "IP:PORT"),
    (
        ["upstreams", 0, "agent"],
        "1.2.3.4:0",
        "$.upstreams[0].agent",
        "IP:PORT",
    ),
    (
        ["stores", 0, "address"],
        "10.0.0.1:8000",
        "$.stores[0].address",
        "$.upstreams[0]",
    ),
    (["stores", 0, "zone"], " ", "$.stores[0].zone", "valid name"),
    (
        ["services", 0, "calls", 0, "method"],
        "get",
        "$.services[0].calls[0].method",
        "GET",
    ),
]


def _set(value, path, new):
    for step in path[:-1]:
        value = value[step]
    value[path[-1]] = new


def _problems(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return validation.validate(data).unwrap_err()


def test_valid_document_equals_the_decoded_one():
    # Guards against a validator whose result differs from plain decoding.
    data = msgspec.json.encode(samples.valid())
    assert validation.validate(data).unwrap() == documents.decode(data)
    assert validation.validate(b"{}").unwrap() == documents.Document()


@pytest.mark.parametrize("path, new, expected_path, part", _FAULTS)
def test_one_fault_is_one_problem(path, new, expected_path, part):
    # Guards against faults that are accepted or reported at another path.
    document = samples.valid()
    _set(document, path, new)
    (problem,) = _problems(document)
    assert problem.path == expected_path
    assert part in problem.text + problem.fix


@pytest.mark.parametrize(
    "path",
    ["", "orders", "/a*", "/*/a", "//", "/a/../b", "/./a", "/a?b", "/%2e"],
)
def test_ambiguous_call_paths_are_refused(path):
    # Guards against paths that entry and service interpret differently.
    document = samples.valid()
    document["services"][0]["calls"] = [{"method": "GET", "path": path}]
    assert [each.path for each in _problems(document)] == [
        "$.services[0].calls[0].path"
    ]


@pytest.mark.parametrize(
    "first, second, overlaps",
    [
        ("/a/*", "/a/b", True),
        ("/a/b", "/a/*", True),
        ("/a/*", "/a/b/*", True),
        ("/*", "/a", True),
        ("/a/*", "/ab", False),
        ("/a/*", "/a", False),
        ("/a/*", "/b/*", False),
    ],
)
def test_overlapping_calls_must_agree(first, second, overlaps):
    # Guards against a protected call that also matches an unprotected path.
    document = samples.valid()
    for method, expected in (("POST", overlaps), ("GET", False)):
        document["services"][0]["calls"] = [
            {"method": "POST", "path": first, "protected": True},
            {"method": method, "path": second},
        ]
        outcome = validation.validate(msgspec.json.encode(document))
        assert outcome.is_err() == expected


@pytest.mark.parametrize(
    "data, path, part",
    [
        (b'{"format": 2, "rank": 1}', "$.format", "format 1"),
        (b'{"format": 2}', "$.format", "format 1"),
        (b'{"format": true}', "$.format", "format 1"),
        (b"{", "$", "JSON"),
        (b"\xff", "$", "JSON"),
        (b"[]", "$", "an object"),
        (b"[" * 100_000, "$", "nested"),
        (b'{"limits": {}, "limits": {}}', "$.limits", "twice"),
        (
            b'{"limits": {"max_body_bytes": ' + b"9" * 5000 + b"}}",
            "$",
            "range",
        ),
        (b'{"limits": {"max_body_bytes": 1e999}}', "$", "range"),
        (b'{"ranks": [{}]}', "$.ranks[0].name", "missing"),
        (b" " * (validation.MAX_DOCUMENT_BYTES + 1), "$", "bytes"),
    ],
)
def test_faults_of_the_whole_document(data, path, part):
    # Guards against a crash of members that apply such a document.
    problem = _problems(data)[0]
    assert problem.path == path
    assert part in problem.text + problem.fix
    assert len(_problems(data)) == (2 if part == "missing" else 1)


def test_all_problems_at_once(snapshot):
    # Guards against reporting only one problem for each attempt.
    document = samples.valid()
    for path, new, _, _ in _FAULTS[:2] + _FAULTS[6:8] + _FAULTS[12:14]:
        _set(document, path, new)
    document["workspaces"][1]["token_digests"] = []
    assert validation.render(_problems(document)) == snapshot


def test_number_of_problems_is_limited():
    # Guards against outcomes that exhaust the members' memory.
    document = {"ranks": [{"x": 1}] * validation.MAX_PROBLEMS}
    problems = _problems(document)
    assert len(problems) == validation.MAX_PROBLEMS + 1
    assert "more problems" in problems[-1].text


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.floats(0, 2)
    | strategies.sampled_from(["urgent", "w0", ""]),
    lambda children: strategies.lists(children, max_size=2)
    | strategies.dictionaries(
        strategies.sampled_from(["name", "rank", "calls"]), children
    ),
    max_leaves=4,
)


@hypothesis.given(strategies.data())
def test_accepted_documents_decode_to_the_same(data):
    # Guards against acceptance of documents that other processes cannot
    # decode.
    document = samples.valid()
    value = document
    while True:
        keys = list(value) if isinstance(value, dict) else range(len(value))
        key = data.draw(strategies.sampled_from(keys))
        if not isinstance(value[key], (dict, list)) or not value[key]:
            break
        if data.draw(strategies.booleans()):
            break
        value = value[key]
    value[key] = data.draw(_JSON)
    encoded = msgspec.json.encode(document)
    match validation.validate(encoded):
        case result.Ok(accepted):
            assert accepted == documents.decode(encoded)
        case result.Err(problems):
            assert problems
