"""Configuration documents for tests."""

import copy

from hypothesis import strategies

from papayalink.state import document as documents

_VALID = {
    "format": 1,
    "ranks": [
        {"name": "urgent", "ttft_target_ms": 1600, "min_share": 0.6},
        {"name": "deferrable", "ttft_target_ms": 60000},
    ],
    "workspaces": [
        {
            "name": f"w{number}",
            "token_digests": [documents.token_digest(f"token {number}")],
            "rank": "urgent",
            "cache_share": 0.2,
        }
        for number in range(3)
    ],
    "models": [{"name": "base/chat", "weight_version": "v1"}],
    "services": [
        {
            "name": "orders",
            "calls": [
                {"method": "GET", "path": "/prices/*"},
                {"method": "POST", "path": "/charges", "protected": True},
            ],
        }
    ],
    "upstreams": [
        {
            "name": "e1",
            "agent": "10.0.0.1:8000",
            "zone": "korangi",
            "serves": "base/chat",
        },
        {
            "name": "s1",
            "agent": "[fd00::1]:8000",
            "zone": "korangi",
            "serves": "orders",
            "kind": "service",
        },
    ],
    "stores": [
        {"name": "k1", "address": "10.0.0.9:8000", "zone": "west-wharf"}
    ],
    "limits": {"max_body_bytes": 1000000},
}


def valid():
    """Returns: a new copy of a valid document as JSON types."""
    return copy.deepcopy(_VALID)


_NAMES = strategies.sampled_from("abcdefgh")


def _lists(entry):
    return strategies.lists(
        entry, max_size=6, unique_by=lambda drawn: drawn.name
    ).map(tuple)


def drawn_documents():
    """Returns: strategy for documents with unique names in each list."""
    small = strategies.integers(0, 2)
    call = strategies.builds(
        documents.Call,
        method=strategies.sampled_from(["GET", "POST"]),
        path=strategies.sampled_from(["/a", "/b/*"]),
        protected=strategies.booleans(),
    )
    calls = strategies.lists(
        call, max_size=3, unique_by=lambda drawn: (drawn.method, drawn.path)
    ).map(tuple)
    return strategies.builds(
        documents.Document,
        ranks=_lists(
            strategies.builds(
                documents.Rank, name=_NAMES, ttft_target_ms=small
            )
        ),
        workspaces=_lists(
            strategies.builds(
                documents.Workspace,
                name=_NAMES,
                token_digests=strategies.lists(
                    _NAMES, max_size=3, unique=True
                ).map(tuple),
                rank=_NAMES,
                tokens_per_s=small,
            )
        ),
        services=_lists(
            strategies.builds(documents.Service, name=_NAMES, calls=calls)
        ),
        stores=_lists(
            strategies.builds(
                documents.Store,
                name=_NAMES,
                address=_NAMES,
                zone=strategies.just("z"),
            )
        ),
        limits=strategies.builds(
            documents.Limits, max_queue_per_upstream=small
        ),
    )
