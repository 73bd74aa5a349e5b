"""Routes, services and workspaces in the form that an edge entry uses."""

import enum

import msgspec

# Number of urgency levels that engines distinguish.
URGENCY_LEVELS = 10


class RepeatPolicy(enum.Enum):
    """Whether and how a call may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    # A stream that another upstream can continue after a given event.
    RESUMABLE = "resumable"


class Target(msgspec.Struct, frozen=True):
    """A service that receives calls of a route, in proportion to weight."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Matches calls to one host whose path starts with a prefix.

    Attributes:
        timeout_s: longest time that a caller is kept waiting.
        objective_s: target time to the answer, or to the first event of a
            stream.
        rank: 0 for the most urgent.
        max_attempts: number of upstreams that one call may be sent to.
        public: calls need no key.
        prompts: calls carry prompts with parts.
        stream: answers are event streams.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeat: RepeatPolicy
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    public: bool = False
    prompts: bool = False
    stream: bool = False


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Batch size, memory and link of each replica of a service.

    Attributes:
        slots: calls that a replica runs concurrently.
        cache_tokens: capacity for running prompts and cached parts together.
        token_bytes: size of one token in the cache.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]


class CacheStore(msgspec.Struct, frozen=True, kw_only=True):
    """A store of prompt parts outside the engines.

    Attributes:
        first_ms: fixed latency of a transfer, besides the time for its bytes.
        max_calls: concurrent calls for its events that the store accepts.
    """

    name: str
    address: str
    zone: str
    capacity_tokens: int
    link_mbps: float
    first_ms: float
    max_calls: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Replicas that run the same calls.

    Attributes:
        engine: None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """Callers that share a set of keys.

    Attributes:
        rank: takes precedence over the route's rank; None uses the route's.
        isolated: shares no cached parts with other workspaces.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    isolated: bool = False


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of a caller's request."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class TrafficDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one version of the document."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    stores: tuple[CacheStore, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()


class TrafficDirectory:
    """Looks up routes, services and keys in one version of the document."""

    __slots__ = (
        "_traffic",
        "_routes_by_host",
        "_services",
        "_workspaces_by_key",
        "_objectives",
        "_urgencies",
    )

    def __init__(self, traffic: TrafficDocument) -> None:
        self._traffic = traffic
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in traffic.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._objectives: dict[str, set[tuple[int, float]]] = {}
        for route in traffic.routes:
            for target in route.targets if route.prompts else ():
                objectives = self._objectives.setdefault(target.service, set())
                objectives.add((route.rank, route.objective_s))
        self._services = {
            service.name: service for service in traffic.services
        }
        self._workspaces_by_key = {
            key: workspace
            for workspace in traffic.workspaces
            for key in workspace.keys
        }
        self._urgencies = _assign_urgencies(traffic)

    @property
    def traffic(self) -> TrafficDocument:
        return self._traffic

    def route(self, host: str, path: str) -> Route | None:
        """Returns: the route with the longest prefix that matches the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def urgent_objective_s(self, service: str, rank: int) -> float | None:
        """Returns: shortest objective of a service's more urgent prompts.

        None when it has no route with a more urgent rank.
        """
        return min(
            (
                objective_s
                for other_rank, objective_s in self._objectives.get(
                    service, ()
                )
                if other_rank < rank
            ),
            default=None,
        )

    def urgency(self, route: Route, workspace: Workspace | None) -> int:
        """Returns: level from 0, the most urgent, to URGENCY_LEVELS - 1.

        Calls are ordered by the workspace's rank first, and by the route's
        rank within the same workspace rank.
        """
        return self._urgencies[_rank_pair(route, workspace)]

    def service(self, name: str) -> Service | None:
        return self._services.get(name)

    def workspace(self, key: str) -> Workspace | None:
        """Returns: the workspace that the key belongs to."""
        return self._workspaces_by_key.get(key)


def _rank_pair(route: Route, workspace: Workspace | None) -> tuple[int, int]:
    if workspace is None or workspace.rank is None:
        return route.rank, route.rank
    return workspace.rank, route.rank


def _assign_urgencies(traffic: TrafficDocument) -> dict[tuple[int, int], int]:
    """Returns: urgency level of each pair of ranks."""
    # One workspace for each rank is enough.
    workspaces = {each.rank: each for each in traffic.workspaces}
    ordered = sorted(
        {
            _rank_pair(route, workspace)
            for route in traffic.routes
            for workspace in (None, *workspaces.values())
        }
    )
    divisor = max(URGENCY_LEVELS, len(ordered))
    return {
        ranks: position * URGENCY_LEVELS // divisor
        for position, ranks in enumerate(ordered)
    }


def make_directory(traffic: TrafficDocument) -> TrafficDirectory:
    return TrafficDirectory(traffic)
