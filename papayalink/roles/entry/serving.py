"""Admits callers' requests, chooses upstreams and relays answers."""

from collections.abc import Callable
from collections.abc import Iterator
import hashlib
import random

import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import admission
from papayalink.coordination import allowances
from papayalink.coordination import configuration_poller
from papayalink.coordination import errors
from papayalink.coordination import forwarding
from papayalink.coordination import protected
from papayalink.coordination import ranks
from papayalink.coordination import retry
from papayalink.coordination import selection
from papayalink.protocol import completions
from papayalink.protocol import messages
from papayalink.protocol import relay
from papayalink.roles.entry import document_index
from papayalink.state import document as documents
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_client

MAX_CALL_ATTEMPTS = 2
# Prompts that share a prefix of this length form a family and are preferably
# sent to an upstream that has cached the prefix. A shorter prompt belongs to
# no family, because recomputing it takes only milliseconds.
FAMILY_PREFIX_BYTES = 4_096


class ModelUnknown(errors.CoordinationError):
    """The configuration has no such model."""


class ServedAnswer:
    """An answer to a caller that calls a function once it is closed."""

    __slots__ = ("_answer", "_on_close")

    def __init__(
        self,
        answer: forwarding.Answer,
        on_close: Callable[[forwarding.Answer], None],
    ) -> None:
        self._answer = answer
        self._on_close: Callable | None = on_close

    def __iter__(self) -> Iterator[str]:
        return iter(self._answer)

    def close(self) -> None:
        self._answer.close()
        if self._on_close is not None:
            self._on_close(self._answer)
            self._on_close = None


class _Attempts(forwarding.Attempts):
    """Attempts of one model request."""

    __slots__ = ("_serving", "_selection_request", "_first", "_call")

    def __init__(
        self,
        serving: "Serving",
        selection_request: selection.SelectionRequest,
        first: selection.Choice,
        call: retry.Call,
    ) -> None:
        self._serving = serving
        self._selection_request = selection_request
        self._first: selection.Choice | None = first
        self._call = call

    def choose(self, tried: frozenset[str]) -> selection.Choice | None:
        first, self._first = self._first, None
        return first or self._serving.choose(self._selection_request, tried)

    def answered(self, upstream: str, latency_s: float) -> None:
        self._serving.record(self._selection_request, upstream, latency_s)

    def refused(self, upstream: str, unavailable: bool) -> None:
        self._serving.record_refusal(
            self._selection_request, upstream, unavailable
        )

    def failed(self, upstream: str, unavailable: bool) -> None:
        self._serving.record(self._selection_request, upstream, None)
        if unavailable:
            self._serving.record_refusal(
                self._selection_request, upstream, True
            )

    def abandoned(self, upstream: str) -> None:
        self._serving.record_refusal(self._selection_request, upstream, False)

    def retry_delay_s(self, attempts: int) -> float | None:
        call = msgspec.structs.replace(self._call, attempts=attempts)
        return self._serving.retry_delay_s(call)


class Serving:
    """Serves callers according to the configuration in force.

    Args:
        name: name of the entry.
        zone: availability zone of the entry.
        poller: provides the configuration and its lease.
        forwarder: sends model requests.
        client: sends service calls.
        calls: handles calls that may run at most once.
        clock: source of the decision times.
        metrics: counts refusals and measures the time to first tokens.
    """

    __slots__ = (
        "_poller",
        "_forwarder",
        "_client",
        "_calls",
        "_clock",
        "_metrics",
        "_rng",
        "_selection",
        "_allowances",
        "_admission",
        "_budget",
        "_index",
        "_indexed_document",
        "_watch_sent",
        "_loads_known",
        "_stop_announced",
        "_stopping",
        "_log",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        poller: configuration_poller.ConfigurationPoller,
        forwarder: forwarding.Forwarder,
        client: http_client.HttpClient,
        calls: protected.ProtectedCalls,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._poller = poller
        self._forwarder = forwarder
        self._client = client
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random()
        self._selection = selection.make_selection(name, zone, self._rng)
        self._allowances = allowances.make_allowances()
        self._admission: admission.Admission | None = None
        self._budget = retry.Budget()
        self._indexed_document = poller.document
        self._index = document_index.make_index(self._indexed_document)
        # The first poll cannot name any upstreams, so only the reply to the
        # second poll contains the weights that the replicas serve.
        self._watch_sent = False
        self._loads_known = False
        self._stop_announced = False
        self._stopping = False
        self._log = logs.get_logger()
        poller.add_listener(self._on_reply)

    @property
    def document(self) -> documents.Document:
        return self._poller.document

    @property
    def has_document(self) -> bool:
        """Whether a configuration was received since the start."""
        return self._poller.version > 0

    @property
    def accepting(self) -> bool:
        """Whether new work is taken; needs configuration and load reports."""
        return (
            self._poller.confirmed and self._loads_known and not self._stopping
        )

    @property
    def workspace_names(self) -> frozenset[str]:
        return self._current_index().workspace_names

    @property
    def healthy(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        return self.accepting and not self._stop_announced

    def announce_stop(self) -> None:
        """Fail the health check but continue to take new work."""
        self._stop_announced = True

    def stop_accepting(self) -> None:
        self._stopping = True

    def workspace_of(self, token: str) -> documents.Workspace | None:
        """Returns: the workspace of a bearer token, None if it is invalid."""
        return self._current_index().by_token.get(
            documents.token_digest(token)
        )

    def find_call(
        self, service: str, method: str, path: str
    ) -> documents.Call | None:
        """Returns: the most specific call of a service for a path."""
        return self._current_index().find_call(service, method, path)

    def complete(
        self,
        request_id: str,
        workspace: documents.Workspace,
        rank: str,
        path: str,
        completion: completions.CompletionRequest,
        body: bytes,
    ) -> ServedAnswer:
        """Run a model request.

        Raises:
            ModelUnknown: the configuration has no such model.
            errors.NoUpstream: the request was not run.
            errors.AnswerCut: the answer was lost after the request started.
        """
        model, adapter = self._current_index().find_model(completion.model)
        if model is None:
            raise ModelUnknown(completion.model)
        self._require_ready()
        now = self._clock.now()
        tokens = completion.prompt_tokens + completion.max_tokens
        allowance = self._allowances.acquire(workspace, tokens, now)
        if isinstance(allowance, allowances.Exceeded):
            self._count_refusal(rank, "limit")
            raise errors.NoUpstream(allowance.reason, allowance.retry_after_s)
        try:
            return self._open(
                request_id,
                workspace,
                rank,
                path,
                completion,
                body,
                tokens,
                model.name,
                adapter,
            )
        except BaseException:
            self._allowances.release(workspace)
            raise

    def _open(
        self,
        request_id: str,
        workspace: documents.Workspace,
        rank: str,
        path: str,
        completion: completions.CompletionRequest,
        body: bytes,
        tokens: int,
        model: str,
        adapter: str,
    ) -> ServedAnswer:
        index = self._current_index()
        target_s = index.ranks[rank].ttft_target_ms / 1000
        now = self._clock.now()
        selection_request = selection.SelectionRequest(
            request_id=request_id,
            workspace=workspace.name,
            model=model,
            family=_family_digest(completion.prompt_bytes, adapter),
            rank=list(index.ranks).index(rank),
            tokens=completion.prompt_tokens,
            target_s=target_s,
            adapter=adapter,
            stream=completion.stream,
        )
        first = self._selection.choose(selection_request, frozenset(), now)
        if first is None and adapter:
            raise errors.NoUpstream("no upstream holds this adapter")
        if first is None:
            raise errors.NoUpstream("no upstream takes this model")
        self._admit(selection_request, rank, workspace, tokens, first)
        self._budget.note_request(now)
        request = relay.RelayRequest(
            attempt_id="",
            request_id=request_id,
            workspace=workspace.name,
            rank=rank,
            version=self._poller.version,
            model=model,
            weight_version="",
            path=path,
            body=body,
            deadline_s=target_s,
            tokens=tokens,
            prompt_tokens=completion.prompt_tokens,
            stream=completion.stream,
            adapter=adapter,
        )
        call = retry.Call(
            repeatable=True,
            attempts=0,
            deadline=now + target_s,
        )
        answer = self._forwarder.open(
            request, _Attempts(self, selection_request, first, call)
        )
        if completion.stream:
            self._metrics.observe(
                "first_token", self._clock.now() - now, rank=rank
            )
        return ServedAnswer(
            answer,
            lambda answer: self._finish(answer, workspace, selection_request),
        )

    def choose(
        self,
        selection_request: selection.SelectionRequest,
        tried: frozenset[str],
    ) -> selection.Choice | None:
        """Choose the upstream of a further attempt."""
        return self._selection.choose(
            selection_request, tried, self._clock.now()
        )

    def record(
        self,
        selection_request: selection.SelectionRequest,
        upstream: str,
        latency_s: float | None,
    ) -> None:
        """Record the time to an attempt's first frame, None if it failed."""
        self._selection.answered(
            selection_request, upstream, latency_s, self._clock.now()
        )

    def record_refusal(
        self,
        selection_request: selection.SelectionRequest,
        upstream: str,
        unavailable: bool,
    ) -> None:
        """Record that an attempt ended without being answered.

        Args:
            selection_request: the request of the attempt.
            upstream: upstream that was tried.
            unavailable: whether to block the upstream for other requests.
        """
        self._selection.refused(selection_request, upstream)
        if unavailable:
            self._selection.block(upstream, self._clock.now())

    def retry_delay_s(self, call: retry.Call) -> float | None:
        """Returns: delay until the next attempt, None to give up."""
        match retry.decide(call, self._budget, self._clock.now(), self._rng):
            case retry.Retry(delay_s=delay_s):
                return delay_s
            case retry.GiveUp():
                return None

    def record_caller_gone(
        self, request_id: str, workspace: documents.Workspace, rank: str
    ) -> None:
        """Record that a caller disconnected before its answer."""
        self._metrics.count("callers_gone", rank=rank)
        self._log.info(
            "caller_gone",
            request_id=request_id,
            workspace=workspace.name,
            rank=rank,
        )

    def fill_poll(self, poll: messages.Poll) -> messages.Poll:
        """Add the watched upstreams and the demand of workspaces to a poll."""
        self._watch_sent = self.has_document
        return msgspec.structs.replace(
            poll,
            watch=self._selection.watched,
            demand=self._allowances.demand(self._clock.now()),
        )

    def dump(self) -> dict:
        return self._selection.dump(self._clock.now())

    def _on_reply(self) -> None:
        if not self._loads_known:
            self._loads_known = self._watch_sent
            self._poller.poll_soon()
        reply = self._poller.reply
        self._selection.update(
            self._poller.document,
            reply.leaving,
            reply.loads,
            self._poller.received_at,
        )
        self._allowances.confirm(
            self._poller.document, reply.shares, self._poller.sent_at
        )

    def _admit(
        self,
        selection_request: selection.SelectionRequest,
        rank: str,
        workspace: documents.Workspace,
        tokens: int,
        first: selection.Choice,
    ) -> None:
        """Refuse a request that would miss its target.

        Raises:
            errors.NoUpstream: the request is refused and was not run.
        """
        if self._admission is None:
            self._admission = admission.Admission(
                ranks.from_document(self._indexed_document),
                self._rng,
                admission.ENTRY_SLACK,
            )
        decision = self._admission.decide(
            rank,
            workspace.name,
            tokens,
            first.ttft_s,
            first.wait_s,
            self._clock.now(),
            first.fleet_wait_s,
        )
        if isinstance(decision, admission.Refused):
            self._selection.refused(selection_request, first.upstream.name)
            self._count_refusal(rank, decision.reason)
            raise errors.NoUpstream(
                f"overloaded: {decision.reason}", decision.retry_after_s
            )

    def _finish(
        self,
        answer: forwarding.Answer,
        workspace: documents.Workspace,
        selection_request: selection.SelectionRequest,
    ) -> None:
        self._allowances.release(workspace)
        self._selection.finished(selection_request, answer.upstream)
        self._log.info(
            "request_finished",
            request_id=selection_request.request_id,
            workspace=workspace.name,
            upstream=answer.upstream,
            complete=answer.end is not None,
        )
        if answer.dropped:
            self._metrics.count("frames_dropped", answer.dropped)

    def _count_refusal(self, rank: str, reason: str) -> None:
        self._metrics.count("refused", rank=rank, reason=reason)

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
        """Send a call to an agent, or to another one if it was not run."""
        tried: set[str] = set()
        reason = f"no upstream for service {request.service}"
        while len(tried) < MAX_CALL_ATTEMPTS:
            upstream = self._selection.choose_service(
                request.service, frozenset(tried)
            )
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

    def _require_ready(self) -> None:
        if self._stopping:
            raise errors.NoUpstream("entry is stopping")
        if not self._poller.confirmed:
            raise errors.NoUpstream("configuration is not confirmed")
        if not self._loads_known:
            raise errors.NoUpstream("entry is starting")

    def _current_index(self) -> document_index.Index:
        document = self._poller.document
        if document is not self._indexed_document:
            self._index = document_index.make_index(document)
            self._indexed_document = document
            if self._admission is not None and document.ranks:
                self._admission.update_ranks(ranks.from_document(document))
        return self._index


def _family_digest(prompt: bytes, adapter: str) -> str:
    """Returns: digest of the prefix of a prompt, "" if the prompt is short.

    The adapter is part of the digest because engines have a separate cache
    for each adapter.
    """
    if len(prompt) < FAMILY_PREFIX_BYTES:
        return ""
    start = prompt[:FAMILY_PREFIX_BYTES]
    digest = hashlib.blake2b(start, digest_size=16)
    digest.update(adapter.encode())
    return digest.hexdigest()


def make_serving(
    name: str,
    zone: str,
    poller: configuration_poller.ConfigurationPoller,
    forwarder: forwarding.Forwarder,
    client: http_client.HttpClient,
    calls: protected.ProtectedCalls,
    clock: clocks.Clock,
    metrics: metrics_module.Metrics,
) -> Serving:
    return Serving(
        name, zone, poller, forwarder, client, calls, clock, metrics
    )
