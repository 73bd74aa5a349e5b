"""A configuration document, arranged for look-ups of an entry."""

import msgspec

from papayalink.state import document as documents


class Index(msgspec.Struct):
    """What a document says, arranged for look-ups."""

    by_token: dict[str, documents.Workspace]
    workspace_names: frozenset[str]
    ranks: dict[str, documents.Rank]
    models: dict[str, documents.Model]
    by_adapter: dict[str, documents.Model]
    services: dict[str, documents.Service]
    upstreams: dict[str, tuple[documents.Upstream, ...]]

    def find_model(self, name: str) -> tuple[documents.Model | None, str]:
        """Returns: the model that a request names, and its adapter or ""."""
        if name in self.models:
            return self.models[name], ""
        return self.by_adapter.get(name), name

    def find_call(
        self, service: str, method: str, path: str
    ) -> documents.Call | None:
        """Returns: the call that a service lists for a path."""
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
        workspace_names=frozenset(one.name for one in document.workspaces),
        ranks={rank.name: rank for rank in document.ranks},
        models={model.name: model for model in document.models},
        by_adapter={
            adapter: model
            for model in document.models
            for adapter in model.adapters
        },
        services={service.name: service for service in document.services},
        upstreams={name: tuple(some) for name, some in by_serves.items()},
    )


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("/*"):
        return path.startswith(pattern[:-1])
    return path == pattern
