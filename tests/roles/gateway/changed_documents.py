"""Documents that differ in each of their fields, for tests of calls."""

import msgspec

from papayalink.state import traffic

ENGINE = traffic.Engine(
    slots=8,
    cache_tokens=10_000,
    token_bytes=4,
    link_mbps=1000.0,
    models=("m",),
)
STORE = traffic.CacheStore(
    name="s1",
    address="127.0.0.1:1",
    zone="z",
    capacity_tokens=1_000_000,
    link_mbps=1000.0,
    first_ms=1.0,
    max_calls=8,
)
WORKSPACE = traffic.Workspace(name="w1", keys=("key1",), rank=3)
SERVICES = (
    traffic.Service(name="desk", max_connections=8),
    traffic.Service(name="models", max_connections=8, engine=ENGINE),
)

_ELSEWHERE = traffic.Target("elsewhere", 1)
# Other values of each field, each of which makes one document.
_ROUTES = {
    "name": ["other"],
    "host": ["b.example"],
    "prefix": ["/other/"],
    "targets": [(_ELSEWHERE,)],
    "repeat": list(traffic.RepeatPolicy),
    "timeout_s": [0.05, 60.0],
    "objective_s": [0.01, 10.0],
    "rank": [0, 9],
    "max_attempts": [1, 9],
    "public": [True],
    "prompts": [True, False],
    "stream": [True, False],
}
_ENGINES = {
    "slots": [1],
    "cache_tokens": [10],
    "token_bytes": [1024],
    "link_mbps": [0.1],
    "models": [(), ("n",)],
}
_SERVICES = {
    "name": ["other"],
    "max_connections": [1],
    "engine": [None],
}
_STORES = {
    "name": ["s2"],
    "address": ["127.0.0.1:2"],
    "zone": ["y"],
    "capacity_tokens": [1],
    "link_mbps": [0.1],
    "first_ms": [1000.0],
    "max_calls": [1],
}
_WORKSPACES = {
    "name": ["w2"],
    "keys": [("key2",)],
    "rank": [None, 0, 9],
    "isolated": [True],
}
_LIMITS = {
    "header_bytes": [16],
    "body_bytes": [1],
    "header_timeout_s": [0.01],
    "idle_timeout_s": [0.01],
}
TABLES = (
    (traffic.Route, _ROUTES),
    (traffic.Engine, _ENGINES),
    (traffic.Service, _SERVICES),
    (traffic.CacheStore, _STORES),
    (traffic.Workspace, _WORKSPACES),
    (traffic.CallerLimits, _LIMITS),
)


def _vary(items, table):
    """Yield a name and items of which each has another value in a field."""
    for field, values in table.items():
        for value in values:
            yield f"{field}={value}", tuple(
                msgspec.structs.replace(item, **{field: value})
                for item in items
            )


def _split(route):
    targets = (*route.targets, _ELSEWHERE)
    return msgspec.structs.replace(route, targets=targets)


def _add_longer(routes):
    """Returns: the routes, and others with longer prefixes before them."""
    longer = (
        msgspec.structs.replace(
            route,
            name=f"{route.name}-longer",
            prefix=f"{route.prefix}x",
            targets=(_ELSEWHERE,),
        )
        for route in routes
    )
    return (*longer, *routes)


def make_document(routes):
    """Returns: a document that allows the calls of these routes."""
    return traffic.TrafficDocument(
        number=1,
        routes=tuple(routes),
        services=SERVICES,
        stores=(STORE,),
        workspaces=(WORKSPACE,),
    )


def make_changes(document):
    """Returns: by name, the document with each of its fields changed."""
    changes = {
        "no routes": {"routes": ()},
        "routes split": {"routes": tuple(map(_split, document.routes))},
        "longer routes": {"routes": _add_longer(document.routes)},
        "no services": {"services": ()},
        "no stores": {"stores": ()},
        "no workspaces": {"workspaces": ()},
    }
    for name, routes in _vary(document.routes, _ROUTES):
        changes[f"route {name}"] = {"routes": routes}
    for name, services in _vary(document.services, _SERVICES):
        changes[f"service {name}"] = {"services": services}
    for name, (engine,) in _vary([ENGINE], _ENGINES):
        services = tuple(
            msgspec.structs.replace(each, engine=each.engine and engine)
            for each in document.services
        )
        changes[f"engine {name}"] = {"services": services}
    for name, stores in _vary(document.stores, _STORES):
        changes[f"store {name}"] = {"stores": stores}
    for name, workspaces in _vary(document.workspaces, _WORKSPACES):
        changes[f"workspace {name}"] = {"workspaces": workspaces}
    for name, (limits,) in _vary([document.limits], _LIMITS):
        changes[f"limits {name}"] = {"limits": limits}
    return {
        name: msgspec.structs.replace(document, **fields)
        for name, fields in changes.items()
    }
