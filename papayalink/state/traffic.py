"""What an edge entry knows of routes, services and workspaces."""

import enum

import msgspec

# Engines tell this many levels of urgency apart.
URGENCY_LEVELS = 10


class Repeat(enum.Enum):
    """How often a call may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    # A stream that another upstream can continue behind an event.
    RESUMABLE = "resumable"


class Target(msgspec.Struct, frozen=True):
    """A service that a route leads to, with its share of the calls."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of one host whose path begins with a prefix.

    Attributes:
        timeout_s: longest time that a caller is kept waiting.
        objective_s: time to the answer, of a stream to its first event.
        rank: 0 for the most urgent.
        max_attempts: upstreams that one call may be sent to.
        public: needs no key.
        prompts: the calls carry prompts with parts.
        stream: answers are event streams.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeat: Repeat
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    public: bool = False
    prompts: bool = False
    stream: bool = False


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Memory and batch of a service's replicas.

    Attributes:
        cache_tokens: room for running prompts and cached parts together.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]


class CacheStore(msgspec.Struct, frozen=True, kw_only=True):
    """A store of prompt parts outside the engines.

    Attributes:
        first_ms: wait of each transfer besides its bytes.
        max_calls: calls for its events that it holds at once.
    """

    name: str
    address: str
    zone: str
    capacity_tokens: int
    link_mbps: float
    first_ms: float
    max_calls: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Replicas that run the same calls; engine is None for a plain one."""

    name: str
    max_connections: int
    engine: Engine | None = None


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """Callers that share keys.

    Attributes:
        rank: goes before the route's; None for the route's.
        isolated: shares no cached part with others.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    isolated: bool = False


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds of what a caller may send, and of how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the document."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    stores: tuple[CacheStore, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()


class Directory:
    """Looks routes, services and keys of one version up."""

    __slots__ = (
        "_traffic",
        "_by_host",
        "_services",
        "_keys",
        "_objectives",
        "_urgencies",
    )

    def __init__(self, traffic: Traffic) -> None:
        self._traffic = traffic
        self._by_host: dict[str, list[Route]] = {}
        for route in traffic.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._objectives: dict[str, set[tuple[int, float]]] = {}
        for route in traffic.routes:
            for target in route.targets if route.prompts else ():
                known = self._objectives.setdefault(target.service, set())
                known.add((route.rank, route.objective_s))
        self._services = {each.name: each for each in traffic.services}
        self._keys = {
            key: workspace
            for workspace in traffic.workspaces
            for key in workspace.keys
        }
        self._urgencies = _urgencies(traffic)

    @property
    def traffic(self) -> Traffic:
        return self._traffic

    def route(self, host: str, path: str) -> Route | None:
        """Returns: the route with the longest prefix of the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def urgent_objective_s(self, service: str, rank: int) -> float | None:
        """Returns: tightest objective of more urgent prompts of a service."""
        return min(
            (
                objective_s
                for known, objective_s in self._objectives.get(service, ())
                if known < rank
            ),
            default=None,
        )

    def urgency(self, route: Route, workspace: Workspace | None) -> int:
        """Returns: 0 for the most urgent calls, below URGENCY_LEVELS.

        The workspace's rank goes first; the routes of one workspace are
        told apart by their own.
        """
        return self._urgencies[_ranks(route, workspace)]

    def service(self, name: str) -> Service | None:
        return self._services.get(name)

    def workspace(self, key: str) -> Workspace | None:
        """Returns: who holds the key."""
        return self._keys.get(key)


def _ranks(route: Route, workspace: Workspace | None) -> tuple[int, int]:
    if workspace is None or workspace.rank is None:
        return route.rank, route.rank
    return workspace.rank, route.rank


def _urgencies(traffic: Traffic) -> dict[tuple[int, int], int]:
    """Returns: level of each pair of ranks, the most urgent first."""
    holders = {each.rank: each for each in traffic.workspaces}
    ordered = sorted(
        {
            _ranks(route, holder)
            for route in traffic.routes
            for holder in (None, *holders.values())
        }
    )
    levels = max(URGENCY_LEVELS, len(ordered))
    return {
        ranks: place * URGENCY_LEVELS // levels
        for place, ranks in enumerate(ordered)
    }


def make_directory(traffic: Traffic) -> Directory:
    return Directory(traffic)
