"""The configuration document, the only means of configuring the system."""

import hashlib

import msgspec

FORMAT = 1


class Rank(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service rank; the document lists the most urgent one first.

    Attributes:
        ttft_target_ms: target for the time to first token, to be met by 95 %
            of the requests.
        weight: relative share of the capacity beyond the minimum shares.
        min_share: guaranteed share of served tokens, 0 to 1.
    """

    name: str
    ttft_target_ms: int
    weight: int = 1
    min_share: float = 0.0


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer's workspace.

    Attributes:
        token_digests: SHA-256 hex digests of the accepted bearer tokens.
        rank: rank of requests that do not name one.
        tokens_per_s: limit across all entries, 0 for none.
        max_in_flight: limit across all entries, 0 for none.
        cache_share: guaranteed share of the stored KV cache, 0 to 1.
    """

    name: str
    token_digests: tuple[str, ...] = ()
    rank: str = ""
    tokens_per_s: int = 0
    max_in_flight: int = 0
    cache_share: float = 0.0


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and its weights.

    Attributes:
        weight_version: version that all replicas are to load.
        previous_version: version that a replica may serve until it has loaded
            `weight_version`, "" for none.
        adapters: loaded on each replica after the weights; a request may
            name one of them as its model.
    """

    name: str
    weight_version: str
    previous_version: str = ""
    adapters: tuple[str, ...] = ()


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call of a plain service.

    Attributes:
        path: exact path, or a prefix when it ends in "/*".
        protected: the call is not idempotent and runs at most once.
    """

    method: str
    path: str
    protected: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service, served without a model engine."""

    name: str
    calls: tuple[Call, ...] = ()


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model engine or plain service replica with its agent.

    Attributes:
        agent: "IP:PORT" of the agent's HTTP interface.
        serves: name of a model or of a service.
        kind: "engine" or "service".
        checks_fencing: the upstream refuses orders with outdated fencing
            tokens.
        draining: the upstream gets no new work.
        max_running: requests that the upstream runs concurrently.
    """

    name: str
    agent: str
    zone: str
    serves: str
    kind: str = "engine"
    checks_fencing: bool = False
    draining: bool = False
    max_running: int = 16


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A VM that stores KV cache; address is "IP:PORT" of its HTTP server."""

    name: str
    address: str
    zone: str
    draining: bool = False


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that apply to the whole deployment."""

    max_body_bytes: int = 4_194_304
    max_queue_per_upstream: int = 256
    ledger_retention_s: int = 604_800
    max_loading_replicas: int = 2


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration.

    Attributes:
        format: format version of the document; must be FORMAT.
        ranks: most urgent first.
    """

    format: int = FORMAT
    ranks: tuple[Rank, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    stores: tuple[Store, ...] = ()
    limits: Limits = Limits()

    def versions_of(self, model: str) -> tuple[str, ...]:
        """Returns: weight versions that may serve a model, target first."""
        for entry in self.models:
            if entry.name == model:
                if entry.previous_version:
                    return (entry.weight_version, entry.previous_version)
                return (entry.weight_version,)
        return ()

    def adapters_of(self, model: str) -> tuple[str, ...]:
        """Returns: adapters listed for a model, none for an unknown one."""
        for entry in self.models:
            if entry.name == model:
                return entry.adapters
        return ()


def encode(document: Document) -> bytes:
    """Returns: the document as canonical JSON, keys in a fixed order."""
    return msgspec.json.encode(document, order="deterministic")


def decode(data: bytes) -> Document:
    """Decode a document.

    Raises:
        msgspec.ValidationError: names the path of the first invalid field.
    """
    return msgspec.json.decode(data, type=Document)


def digest(document: Document) -> str:
    """Returns: hex digest of the canonical JSON of a document."""
    return hashlib.blake2b(encode(document), digest_size=16).hexdigest()


def token_digest(token: str) -> str:
    """Returns: the digest under which a bearer token is listed."""
    return hashlib.sha256(token.encode()).hexdigest()
