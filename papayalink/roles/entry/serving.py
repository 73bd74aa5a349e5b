"""Admits callers' requests, chooses upstreams and gathers answers."""

from collections.abc import Iterator
import random
import uuid

import msgspec

from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import follower as followers
from papayalink.coordination import forwarding
from papayalink.coordination import protected
from papayalink.protocol import completions
from papayalink.protocol import relay
from papayalink.state import document as documents
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_client

MAX_CALL_ATTEMPTS = 2


class ModelUnknown(errors.CoordinationError):
    """The document has no such model."""


class ServedAnswer:
    """A caller's answer; accounts for itself when it is closed."""

    __slots__ = ("_answer", "_done")

    def __init__(self, answer: forwarding.Answer, done) -> None:
        self._answer = answer
        self._done = done

    def __iter__(self) -> Iterator[str]:
        return iter(self._answer)

    def close(self) -> None:
        self._answer.close()
        if self._done is not None:
            self._done(self._answer)
            self._done = None


class _Index(msgspec.Struct):
    """What a document says, arranged for look-ups."""

    by_token: dict[str, documents.Workspace]
    workspace_names: frozenset[str]
    ranks: dict[str, documents.Rank]
    models: dict[str, documents.Model]
    services: dict[str, documents.Service]
    upstreams: dict[str, tuple[documents.Upstream, ...]]


def _make_index(document: documents.Document) -> _Index:
    by_serves: dict[str, list[documents.Upstream]] = {}
    for upstream in document.upstreams:
        by_serves.setdefault(upstream.serves, []).append(upstream)
    return _Index(
        by_token={
            digest: workspace
            for workspace in document.workspaces
            for digest in workspace.token_digests
        },
        workspace_names=frozenset(one.name for one in document.workspaces),
        ranks={rank.name: rank for rank in document.ranks},
        models={model.name: model for model in document.models},
        services={service.name: service for service in document.services},
        upstreams={name: tuple(some) for name, some in by_serves.items()},
    )


class Serving:
    """Serves callers from the configuration in force.

    Args:
        follower: holds the configuration and its lease.
        forwarder: sends model requests.
        client: sends service calls.
        calls: handles calls that may run at most once.
    """

    __slots__ = (
        "_follower",
        "_forwarder",
        "_client",
        "_calls",
        "_metrics",
        "_rng",
        "_index",
        "_indexed",
        "_stopping",
    )

    def __init__(
        self,
        follower: followers.Follower,
        forwarder: forwarding.Forwarder,
        client: http_client.HttpClient,
        calls: protected.ProtectedCalls,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._follower = follower
        self._forwarder = forwarder
        self._client = client
        self._calls = calls
        self._metrics = metrics
        self._rng = random.Random()
        self._indexed = follower.document
        self._index = _make_index(self._indexed)
        self._stopping = False

    @property
    def document(self) -> documents.Document:
        return self._follower.document

    @property
    def accepting(self) -> bool:
        """New work is taken: the configuration is confirmed."""
        return self._follower.confirmed and not self._stopping

    @property
    def workspace_names(self) -> frozenset[str]:
        return self._current().workspace_names

    def stop_accepting(self) -> None:
        self._stopping = True

    def workspace_of(self, token: str) -> documents.Workspace | None:
        """Returns: the workspace of a bearer token, None if not valid."""
        return self._current().by_token.get(documents.token_digest(token))

    def find_call(
        self, service: str, method: str, path: str
    ) -> documents.Call | None:
        """Returns: the call that a service lists for a path."""
        known = self._current().services.get(service)
        if known is None:
            return None
        matching = [
            call
            for call in known.calls
            if call.method == method and _matches(call.path, path)
        ]
        return max(matching, key=lambda call: len(call.path), default=None)

    def complete(
        self,
        request_id: str,
        workspace: documents.Workspace,
        rank: str,
        path: str,
        wanted: completions.CompletionRequest,
        body: bytes,
    ) -> ServedAnswer:
        """Run a model request.

        Raises:
            ModelUnknown: no such model.
            errors.NoUpstream: it was not run.
            errors.AnswerCut: it was begun and lost.
        """
        index = self._current()
        model = index.models.get(wanted.model)
        if model is None:
            raise ModelUnknown(wanted.model)
        self._require_confirmed()
        request = relay.RelayRequest(
            attempt_id=uuid.uuid4().hex,
            request_id=request_id,
            workspace=workspace.name,
            rank=rank,
            version=self._follower.version,
            model=model.name,
            weight_version=model.weight_version,
            path=path,
            body=body,
            deadline_s=index.ranks[rank].ttft_target_ms / 1000,
            tokens=wanted.prompt_tokens + wanted.max_tokens,
            stream=wanted.stream,
        )
        answer = self._forwarder.open(
            request, lambda tried: self._choose(model.name, tried)
        )
        return ServedAnswer(answer, None)

    def call(
        self, request: relay.CallRequest, is_protected: bool
    ) -> protected.Outcome:
        """Run a call of a plain service."""
        if not self.accepting:
            return relay.NotRun("configuration is not confirmed")
        if is_protected:
            return self._calls.run(request, self._send_call)
        try:
            return self._send_call(msgspec.structs.replace(request, key=""))
        except errors.NoUpstream as error:
            return relay.NotRun(error.reason)

    def _send_call(self, request: relay.CallRequest) -> relay.CallReply:
        """Send a call to an agent; to another one if it was not reached."""
        tried: set[str] = set()
        reason = f"no upstream for service {request.service}"
        while len(tried) < MAX_CALL_ATTEMPTS:
            upstream = self._choose(request.service, frozenset(tried))
            if upstream is None:
                break
            tried.add(upstream.name)
            try:
                response = self._client.send(
                    upstream.agent,
                    "POST",
                    relay.CALL_PATH,
                    relay.encode(request),
                )
                reply = relay.decode_reply(response.read())
            except transport_errors.NotConnected:
                reason = "agent not reached"
                continue
            except transport_errors.TransportError as error:
                return relay.OutcomeUnknown(str(error))
            if isinstance(reply, relay.NotRun) and not request.claim_id:
                reason = reply.reason
                continue
            return reply
        raise errors.NoUpstream(reason)

    def _choose(
        self, serves: str, tried: frozenset[str]
    ) -> documents.Upstream | None:
        candidates = [
            upstream
            for upstream in self._current().upstreams.get(serves, ())
            if upstream.name not in tried
            and not upstream.draining
            and upstream.name not in self._follower.reply.leaving
        ]
        return self._rng.choice(candidates) if candidates else None

    def _require_confirmed(self) -> None:
        if self._stopping:
            raise errors.NoUpstream("entry is stopping")
        if not self._follower.confirmed:
            raise errors.NoUpstream("configuration is not confirmed")

    def _current(self) -> _Index:
        document = self._follower.document
        if document is not self._indexed:
            self._index = _make_index(document)
            self._indexed = document
        return self._index


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("/*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def make_serving(
    follower: followers.Follower,
    forwarder: forwarding.Forwarder,
    client: http_client.HttpClient,
    calls: protected.ProtectedCalls,
    metrics: metrics_module.Metrics,
) -> Serving:
    return Serving(follower, forwarder, client, calls, metrics)
