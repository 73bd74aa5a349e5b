"""Lookup tables of an entry, built from the configuration document."""

import msgspec

from papayalink.state import document as documents


class Index(msgspec.Struct):
    """Lookup tables of a configuration document.

    Attributes:
        by_token: workspaces by the digest of a bearer token.
        workspace_names: names of all workspaces.
        ranks: ranks by name.
        models: models by name.
        by_adapter: base model of each adapter, by the name of the adapter.
        services: services by name.
        upstreams: upstreams by the model or service that they serve.
    """

    by_token: dict[str, documents.Workspace]
    workspace_names: frozenset[str]
    ranks: dict[str, documents.Rank]
    models: dict[str, documents.Model]
    by_adapter: dict[str, documents.Model]
    services: dict[str, documents.Service]
    upstreams: dict[str, tuple[documents.Upstream, ...]]

    def find_model(self, name: str) -> tuple[documents.Model | None, str]:
        """Returns: the model, None if unknown, and the adapter or ""."""
        if name in self.models:
            return self.models[name], ""
        return self.by_adapter.get(name), name

    def find_call(
        self, service: str, method: str, path: str
    ) -> documents.Call | None:
        """Returns: the most specific call of a service for a path."""
        known = self.services.get(service)
        if known is None:
            return None
        matching = [
            call
            for call in known.calls
            if call.method == method and _matches(call.path, path)
        ]
        return max(matching, key=lambda call: len(call.path), default=None)


def make_index(document: documents.Document) -> Index:
    by_serves: dict[str, list[documents.Upstream]] = {}
    for upstream in document.upstreams:
        by_serves.setdefault(upstream.serves, []).append(upstream)
    return Index(
        by_token={
            digest: workspace
            for workspace in document.workspaces
            for digest in workspace.token_digests
        },
        workspace_names=frozenset(
            record.name for record in document.workspaces
        ),
        ranks={rank.name: rank for rank in document.ranks},
        models={model.name: model for model in document.models},
        by_adapter={
            adapter: model
            for model in document.models
            for adapter in model.adapters
        },
        services={service.name: service for service in document.services},
        upstreams={
            name: tuple(served_by) for name, served_by in by_serves.items()
        },
    )


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("/*"):
        return path.startswith(pattern[:-1])
    return path == pattern
