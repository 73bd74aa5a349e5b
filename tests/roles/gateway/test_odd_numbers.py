"""Tests of calls under a document whose numbers have odd sizes.

Such a document is valid, so it comes into force.
"""

import json

import pytest

from papayalink.platform import document
from papayalink.state import traffic
from tests.roles.gateway import stubs

_PROMPT = (
    b"Papayalink-Model: m",
    b"Papayalink-Token-Usage: 100,10",
    b"Papayalink-Prefix-Hash: own:10",
)
_HUGE = 10**400
_LARGEST_MS = 1e308


def _make_directory(
    route=None, service=None, engine=None, stores=(), **changes
):
    value = {
        "version": 2,
        "routes": [
            {
                "name": name,
                "host": "a.example",
                "pathPrefix": f"/{name}/",
                "routeType": kind,
                "timeoutMs": 2000,
                "sloMs": 400,
                "priority": 1,
                "backends": [{"service": target, "weight": 1}],
                "maxAttempts": 2,
                "public": True,
                "sticky": kind == "streaming",
                **(route or {}),
            }
            for name, kind, target in (
                ("safe", "idempotent", "desk"),
                ("once", "non_idempotent", "desk"),
                ("stream", "streaming", "models"),
            )
        ],
        "services": [
            {"name": "desk", "maxConns": 390, **(service or {})},
            {
                "name": "models",
                "maxConns": 390,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 46549,
                    "tokenKvBytes": 18432,
                    "bandwidthMbps": 280000.0,
                    "models": [{"name": "m"}],
                    **(engine or {}),
                },
                **(service or {}),
            },
            *stores,
        ],
        **changes,
    }
    translated = document.translate(json.dumps(value).encode())
    return traffic.make_directory(translated)


@pytest.fixture
def gateway():
    upstreams = [stubs.Upstream(f"desk{number}") for number in range(2)]
    upstreams.append(_Model("models0"))
    made = stubs.Gateway(upstreams, [])
    yield made
    made.stop()


class _Model(stubs.Upstream):
    def next_steps(self, request):
        return [0.1, stubs.STREAM, stubs.event(1), 0.1, stubs.END]


def _weigh(*weights):
    """Returns: a route's fields, with these weights of the same service."""
    return {
        "backends": [{"service": "desk", "weight": each} for each in weights]
    }


_ODD = [
    {"limits": {"maxBodyBytes": _HUGE}},
    {"route": {"sloMs": 0}},
    {"route": {"sloMs": -1e308}},
    {"route": {"sloMs": _LARGEST_MS}},
    {"route": {"timeoutMs": _LARGEST_MS}},
    {"route": {"timeoutMs": 1e18}},
    {"route": {"priority": _HUGE}},
    {"route": {"priority": -_HUGE}},
    {"route": {"maxAttempts": _HUGE}},
    {"route": {"maxAttempts": -_HUGE}},
    {"service": {"maxConns": -_HUGE}},
    {"engine": {"slots": 0}},
    {"engine": {"slots": _HUGE}},
    {"engine": {"slots": -_HUGE}},
    {"engine": {"kvCapacity": 0}},
    {"engine": {"kvCapacity": -_HUGE}},
    {"engine": {"kvCapacity": _HUGE}},
    {"engine": {"tokenKvBytes": 0}},
    {"engine": {"tokenKvBytes": -1e308}},
    {"engine": {"tokenKvBytes": 1e308}},
    {"engine": {"bandwidthMbps": 0}},
    {"engine": {"bandwidthMbps": -1e308}},
    {"engine": {"bandwidthMbps": 5e-324}},
]


# Guards against calls that fail by a number that another sound one may have.
@pytest.mark.parametrize("path", [b"/safe/", b"/once/", b"/stream/"])
@pytest.mark.parametrize(
    "changes", _ODD, ids=lambda changes: str(changes)[:40]
)
def test_calls_are_answered_under_odd_numbers(gateway, changes, path):
    gateway.shared.watcher.directory = _make_directory(**changes)
    headers = _PROMPT if path == b"/stream/" else ()
    status, _, body = gateway.call(path, headers)
    assert (status, bool(body)) == (200, True)


# Guards against calls that fail by the choice among weights.
@pytest.mark.parametrize(
    "weights",
    [(_HUGE, 1), (_HUGE, _HUGE), (10**308, 10**308, 10**308), (1, 0)],
    ids=["one", "both", "sum", "zero"],
)
def test_calls_are_answered_under_odd_weights(gateway, weights):
    gateway.shared.watcher.directory = _make_directory(_weigh(*weights))
    for path in (b"/safe/", b"/once/"):
        assert gateway.call(path)[0] == 200


# Guards against calls that fail when the size of a store is looked at.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("kvCapacity", _HUGE),
        ("kvCapacity", -_HUGE),
        ("bandwidthMbps", 1e308),
        ("bandwidthMbps", -1e308),
        ("first_ms", 1e308),
        ("first_ms", -1e308),
        ("maxInflight", _HUGE),
        ("maxInflight", -_HUGE),
    ],
    ids=lambda value: str(value)[:20],
)
def test_prompts_are_answered_beside_odd_stores(gateway, name, value):
    store = {
        "name": "k1",
        "kvStoreAddr": "127.0.0.1:1",
        "zone": "z",
        "kvCapacity": 107036,
        "bandwidthMbps": 1e5,
        "first_ms": 0.5,
    }
    odd = {**store, "name": "k2", name: value}
    directory = _make_directory(stores=[store, odd])
    gateway.shared.watcher.directory = directory
    gateway.shared.placement.set_stores(directory.traffic.stores)
    parts = [
        b"Papayalink-Model: m",
        b"Papayalink-Token-Usage: 4100,10",
        b"Papayalink-Prefix-Hash: shared:4000,own:100",
    ]
    status, _, body = gateway.call(b"/stream/", parts)
    assert (status, bool(body)) == (200, True)
