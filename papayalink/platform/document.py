"""Translates the operator's document into routes, services, workspaces."""

import msgspec

from papayalink.platform import errors
from papayalink.state import traffic

# Processes exchange numbers of at most 64 bits.
MAX_VERSION = 2**63 - 1
# Limits that a document sets lower would end the connections of all callers.
# RFC 9112, section 3, recommends 8,000 bytes for the request line alone.
MIN_HEADER_BYTES = 8_000
MIN_TIMEOUT_S = 1.0
# No store is as large. Shares of its size are floats.
MAX_STORE_TOKENS = 2**53

_REPEAT_BY_ROUTE_TYPE = {
    "idempotent": traffic.RepeatPolicy.IDEMPOTENT,
    "non_idempotent": traffic.RepeatPolicy.ONCE,
    "streaming": traffic.RepeatPolicy.ONCE,
}


class _Backend(msgspec.Struct, rename="camel"):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    slo_ms: float
    priority: int = 0
    # Either service is set, or backends with weights.
    service: str | None = None
    backends: list[_Backend] | None = None
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    # In tokens, not bytes.
    kv_capacity: int
    token_kv_bytes: float
    bandwidth_mbps: float
    models: list[_Model] = []


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None
    # Set only for a store of cached parts, which no route targets.
    kv_store_addr: str | None = None
    zone: str = ""
    kv_capacity: int = 0
    bandwidth_mbps: float = 0.0
    max_inflight: int = 1
    first_ms: float = msgspec.field(default=0.0, name="first_ms")


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False


class _Document(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_DECODER = msgspec.json.Decoder(_Document)


def translate(data: bytes) -> traffic.TrafficDocument:
    """Decode and check a document.

    Raises: errors.DocumentInvalid
    """
    try:
        document = _DECODER.decode(data)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise errors.DocumentInvalid(f"cannot be decoded: {error}") from error
    if not 1 <= document.version <= MAX_VERSION:
        raise errors.DocumentInvalid("version is out of range")
    service_names = {service.name for service in document.services}
    routes = tuple(
        _translate_route(route, service_names) for route in document.routes
    )
    host_prefixes = {(route.host, route.prefix) for route in routes}
    if len(host_prefixes) < len(routes):
        raise errors.DocumentInvalid(
            "two routes have the same host and path prefix"
        )
    _check_api_keys(document.tenants)
    return traffic.TrafficDocument(
        number=document.version,
        routes=routes,
        services=tuple(
            _translate_service(service)
            for service in document.services
            if service.kv_store_addr is None
        ),
        stores=tuple(
            _translate_store(service)
            for service in document.services
            if service.kv_store_addr is not None
        ),
        workspaces=tuple(
            traffic.Workspace(
                name=tenant.name,
                keys=tuple(tenant.api_keys),
                rank=tenant.priority,
                isolated=tenant.isolated,
            )
            for tenant in document.tenants
        ),
        limits=_translate_limits(document.limits),
    )


def _translate_limits(limits: _Limits) -> traffic.CallerLimits:
    return traffic.CallerLimits(
        header_bytes=max(MIN_HEADER_BYTES, limits.max_header_bytes),
        body_bytes=limits.max_body_bytes,
        header_timeout_s=max(MIN_TIMEOUT_S, limits.header_timeout_ms / 1000),
        idle_timeout_s=max(MIN_TIMEOUT_S, limits.idle_timeout_ms / 1000),
    )


def _translate_route(route: _Route, services: set[str]) -> traffic.Route:
    label = f"route {route.name}"
    if route.timeout_ms <= 0:
        raise errors.DocumentInvalid(f"{label}: timeoutMs must be above 0")
    if route.route_type not in _REPEAT_BY_ROUTE_TYPE:
        raise errors.DocumentInvalid(f"{label}: unknown routeType")
    if route.backends is not None:
        targets = [
            (backend.service, backend.weight) for backend in route.backends
        ]
    else:
        targets = [(route.service or "", 1)]
    for service, weight in targets:
        if service not in services:
            raise errors.DocumentInvalid(f"{label}: unknown service")
        if weight < 0:
            raise errors.DocumentInvalid(
                f"{label}: a backend weight is below 0"
            )
    if not sum(weight for _, weight in targets):
        raise errors.DocumentInvalid(
            f"{label}: the backend weights add up to 0"
        )
    stream = route.route_type == "streaming"
    repeat = _REPEAT_BY_ROUTE_TYPE[route.route_type]
    if stream and route.resumable:
        repeat = traffic.RepeatPolicy.RESUMABLE
    return traffic.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        targets=tuple(traffic.Target(*target) for target in targets),
        repeat=repeat,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        rank=route.priority,
        max_attempts=max(1, route.max_attempts),
        public=route.public,
        prompts=route.sticky,
        stream=stream,
    )


def _translate_service(service: _Service) -> traffic.Service:
    engine = None
    if service.engine is not None:
        engine = traffic.Engine(
            slots=service.engine.slots,
            cache_tokens=service.engine.kv_capacity,
            token_bytes=int(service.engine.token_kv_bytes),
            link_mbps=service.engine.bandwidth_mbps,
            models=tuple(model.name for model in service.engine.models),
        )
    return traffic.Service(
        name=service.name, max_connections=service.max_conns, engine=engine
    )


def _translate_store(service: _Service) -> traffic.CacheStore:
    return traffic.CacheStore(
        name=service.name,
        address=service.kv_store_addr,
        zone=service.zone,
        capacity_tokens=max(0, min(MAX_STORE_TOKENS, service.kv_capacity)),
        link_mbps=service.bandwidth_mbps,
        first_ms=service.first_ms,
        max_calls=service.max_inflight,
    )


def _check_api_keys(tenants: list[_Tenant]) -> None:
    tenant_by_key: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            if tenant_by_key.setdefault(key, tenant.name) != tenant.name:
                raise errors.DocumentInvalid(
                    "two workspaces have the same API key"
                )
