"""Tests of the operator's document."""

import json

import pytest

from papayalink.platform import document
from papayalink.platform import errors
from papayalink.state import traffic

_ROUTE = {
    "name": "r1",
    "host": "a.example",
    "pathPrefix": "/p/",
    "routeType": "streaming",
    "timeoutMs": 4000,
    "sloMs": 1000,
    "priority": 2,
    "backends": [
        {"service": "s1", "weight": 90},
        {"service": "s2", "weight": 10},
    ],
    "maxAttempts": 1,
    "public": False,
    "sticky": True,
    "resumable": False,
    "gapAimMs": 400,
}


def _document(**changes):
    value = {
        "version": 7,
        "routes": [_ROUTE],
        "services": [
            {
                "name": "s1",
                "maxConns": 390,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 46549,
                    "tokenKvBytes": 18432,
                    "bandwidthMbps": 280000.0,
                    "models": [{"name": "m"}],
                },
            },
            {"name": "s2", "maxConns": 130},
            {
                "name": "k1",
                "kvStoreAddr": "172.20.0.6:8746",
                "zone": "z",
                "kvCapacity": 107036,
                "bandwidthMbps": 1e5,
                "maxInflight": 12,
                "managed": True,
                "first_ms": 0.5,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1},
            {"name": "t2", "apiKeys": ["k3"], "isolated": True},
        ],
    }
    return json.dumps(value | changes).encode()


def _route(**changes):
    return [_ROUTE | changes]


def test_document_is_translated():
    translated = document.translate(_document())
    route = translated.routes[0]
    assert translated.number == 7
    assert route.targets == (
        traffic.Target("s1", 90),
        traffic.Target("s2", 10),
    )
    assert (route.timeout_s, route.objective_s, route.rank) == (4.0, 1.0, 2)
    assert route.stream and route.prompts
    assert route.repeat is traffic.RepeatPolicy.ONCE
    assert [service.name for service in translated.services] == ["s1", "s2"]
    assert translated.services[0].engine.cache_tokens == 46549
    assert translated.stores[0].first_ms == 0.5
    assert translated.stores[0].capacity_tokens == 107036
    directory = traffic.make_directory(translated)
    assert directory.workspace("k3").isolated
    assert directory.workspace("k2").rank == 1
    assert directory.workspace("k4") is None


@pytest.mark.parametrize(
    ("changes", "repeat"),
    [
        ({"resumable": True}, traffic.RepeatPolicy.RESUMABLE),
        ({"routeType": "idempotent"}, traffic.RepeatPolicy.IDEMPOTENT),
        ({"routeType": "non_idempotent"}, traffic.RepeatPolicy.ONCE),
        (
            {"routeType": "non_idempotent", "resumable": True},
            traffic.RepeatPolicy.ONCE,
        ),
    ],
)
def test_route_type_is_translated(changes, repeat):
    translated = document.translate(_document(routes=_route(**changes)))
    assert translated.routes[0].repeat is repeat


@pytest.mark.parametrize(
    "data",
    [
        b"",
        _document()[:-20],
        b"\xff" + _document(),
        _document(version=0),
        _document(version="7"),
        _document(routes=_route(timeoutMs=0)),
        _document(routes=_route(routeType="other")),
        _document(routes=_route(backends=[{"service": "x", "weight": 1}])),
        _document(routes=_route(backends=[{"service": "s1", "weight": 0}])),
        _document(routes=_route(backends=[])),
        _document(routes=_route(backends=None, service="x")),
        _document(routes=[_ROUTE, _ROUTE | {"name": "r2"}]),
        _document(
            tenants=[
                {"name": "t1", "apiKeys": ["k"]},
                {"name": "t2", "apiKeys": ["k"]},
            ]
        ),
    ],
)
def test_invalid_documents_are_rejected(data):
    with pytest.raises(errors.DocumentInvalid):
        document.translate(data)


def test_longest_prefix_of_the_host_wins():
    routes = [
        _ROUTE,
        _ROUTE | {"name": "r2", "pathPrefix": "/p/q/"},
        _ROUTE | {"name": "r3", "host": "b.example", "pathPrefix": "/"},
    ]
    translated = document.translate(_document(routes=routes))
    directory = traffic.make_directory(translated)
    assert directory.route("a.example", "/p/q/1").name == "r2"
    assert directory.route("a.example", "/p/x").name == "r1"
    assert directory.route("a.example", "/p") is None
    assert directory.route("b.example", "/p/q/").name == "r3"
    assert directory.route("c.example", "/p/q/") is None
