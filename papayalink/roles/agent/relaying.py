"""Runs model requests on the engine and relays their answers."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors
from papayalink.coordination import admission as admissions
from papayalink.coordination import dispatch
from papayalink.coordination import work_queue
from papayalink.protocol import frames
from papayalink.protocol import relay
from papayalink.roles.agent import engine_work
from papayalink.roles.agent import kept_cache
from papayalink.roles.agent import prefills
from papayalink.roles.agent import upstream as upstream_state
from papayalink.state import document as documents
from papayalink.transport import errors as transport_errors

# Unlike the other reasons, this one does not make the agent unavailable for
# other requests.
_ADAPTER_NOT_LOADED = "adapter is not loaded"


class Admission:
    """Decides whether requests may run here now.

    Args:
        document: returns the configuration in force.
        confirmed: returns whether the configuration lease is valid.
        refusal: returns why the upstream takes no new work, "" if it does.
        engine_state: what is known of the engine.
        catch_up: waits briefly for the given version of the configuration.
    """

    __slots__ = (
        "_document",
        "_confirmed",
        "_refusal",
        "_engine_state",
        "_catch_up",
        "_indexed_document",
        "_workspace_names",
    )

    def __init__(
        self,
        document: Callable[[], documents.Document],
        confirmed: Callable[[], bool],
        refusal: Callable[[], str],
        engine_state: upstream_state.EngineState,
        catch_up: Callable[[int], None],
    ) -> None:
        self._document = document
        self._confirmed = confirmed
        self._refusal = refusal
        self._engine_state = engine_state
        self._catch_up = catch_up
        self._indexed_document: documents.Document | None = None
        self._workspace_names: frozenset[str] = frozenset()

    def refuse(self, request: relay.RelayRequest) -> str:
        """Returns: why the request may not run, "" if it may."""
        reason = self._refusal()
        if reason:
            return reason
        if not self._confirmed():
            return "configuration is not confirmed"
        document = self._document()
        if not self._engine_state.up:
            return "engine is down"
        loaded = self._engine_state.weight_version
        if not loaded or request.weight_version != loaded:
            return "weight version is not loaded"
        if loaded not in document.versions_of(request.model):
            return "weight version is not in the configuration"
        if request.adapter and (
            request.adapter not in document.adapters_of(request.model)
            or request.adapter not in self._engine_state.adapters
        ):
            return _ADAPTER_NOT_LOADED
        return ""

    def has_workspace(self, request: relay.RelayRequest) -> bool:
        """Look up the workspace, in a newer configuration if necessary.

        The entry may have received a change up to a second earlier. Refusing
        its requests until the next poll would use up its retry budget.
        """
        if request.workspace in self._workspaces():
            return True
        self._catch_up(request.version)
        return request.workspace in self._workspaces()

    def _workspaces(self) -> frozenset[str]:
        document = self._document()
        if document is not self._indexed_document:
            self._indexed_document = document
            self._workspace_names = frozenset(
                workspace.name for workspace in document.workspaces
            )
        return self._workspace_names


class Relayer:
    """Queues requests, runs them and yields the frames of their answers."""

    __slots__ = (
        "_engine",
        "_state",
        "_dispatcher",
        "_admission",
        "_work",
        "_cache",
        "_clock",
        "_metrics",
        "_log",
        "_prefills",
    )

    def __init__(
        self,
        engine: engines.Engine,
        engine_state: upstream_state.EngineState,
        dispatcher: dispatch.Dispatcher,
        admission: Admission,
        work: engine_work.EngineWork,
        cache: kept_cache.KeptCache,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._engine = engine
        self._state = engine_state
        self._dispatcher = dispatcher
        self._admission = admission
        self._work = work
        self._cache = cache
        self._clock = clock
        self._metrics = metrics
        self._log = logs.get_logger()
        self._prefills = prefills.make_prefills(engine_state, clock)

    @property
    def starting(self) -> int:
        """Number of sent requests that the engine may not have started."""
        return self._prefills.starting

    def answer(
        self, request: relay.RelayRequest, priority: int
    ) -> Iterator[bytes]:
        """Run a request.

        Args:
            request: the request as the entry sent it.
            priority: priority for the engine; lower is more urgent.
        Yields: encoded frames.
        """
        refusal = self._admission.refuse(request)
        if refusal:
            yield self._not_admitted(request, refusal)
            return
        # Concerns only this request, so the agent is not reported as
        # unavailable.
        if not self._admission.has_workspace(request):
            yield self._refused(request, "workspace is not known")
            return
        if not self._work.has_rank(request.rank):
            yield self._refused(request, "rank is not known")
            return
        decision = self._work.admit(
            request.rank,
            request.workspace,
            request.prompt_tokens,
            request.tokens,
        )
        if isinstance(decision, admissions.Refused):
            yield self._refused(
                request,
                f"overloaded: {decision.reason}",
                decision.retry_after_s,
            )
            return
        prompt = self._work.add_prompt(request.rank, request.prompt_tokens)
        try:
            yield from self._answer_queued(request, priority, prompt)
        finally:
            self._work.remove_prompt(prompt, served=False)

    def _answer_queued(
        self,
        request: relay.RelayRequest,
        priority: int,
        prompt: engine_work.Prompt,
    ) -> Iterator[bytes]:
        item = work_queue.Item(
            request_id=request.attempt_id,
            workspace=request.workspace,
            rank=request.rank,
            tokens=request.tokens,
            deadline=self._clock.now() + request.deadline_s,
        )
        match self._wait_in_queue(request, item):
            case dispatch.Declined(reason=reason, retry_after_s=after_s):
                yield self._refused(request, reason, after_s)
                return
        frame_count = 0
        try:
            # The state of the upstream or its weights may have changed while
            # the request was queued.
            refusal = self._admission.refuse(request)
            if refusal:
                yield self._not_admitted(request, refusal)
                return
            if not self._admission.has_workspace(request):
                yield self._refused(request, "workspace is not known")
                return
            for frame in self._run(request, priority, prompt):
                if not frame_count:
                    self._metrics.count("requests_served", rank=request.rank)
                    self._work.remove_prompt(prompt, served=True)
                frame_count += 1
                yield frame
        except transport_errors.CallerGone:
            self._record_caller_gone(request, "running")
            raise
        finally:
            tokens = item.tokens if frame_count else 0
            self._dispatcher.finish(item, tokens)
            self._log.info(
                "request_relayed",
                request_id=request.request_id,
                workspace=request.workspace,
                rank=request.rank,
                frames=frame_count,
            )

    def _wait_in_queue(
        self, request: relay.RelayRequest, item: work_queue.Item
    ) -> dispatch.Grant:
        grant = self._dispatcher.submit(item)
        try:
            return grant.get()
        except BaseException as error:
            self._dispatcher.cancel(item)
            if isinstance(error, transport_errors.CallerGone):
                self._record_caller_gone(request, "queued")
            raise

    def _record_caller_gone(
        self, request: relay.RelayRequest, stage: str
    ) -> None:
        self._metrics.count("callers_gone", rank=request.rank, stage=stage)
        self._log.info(
            "caller_gone",
            request_id=request.request_id,
            workspace=request.workspace,
            rank=request.rank,
            stage=stage,
        )

    def _run(
        self,
        request: relay.RelayRequest,
        priority: int,
        prompt: engine_work.Prompt,
    ) -> Iterator[bytes]:
        queue_tokens = self._prefills.tokens
        with contextlib.ExitStack() as stack:
            prefill = self._prefills.begin(request.prompt_tokens)
            stack.callback(self._prefills.finish, prefill)
            located = self._cache.locate(request)
            restore = None
            if located is not None:
                restore = self._cache.restore(
                    located, priority == 0, queue_tokens
                )
                stack.callback(restore.stop)
                restore.wait_to_start()
            body = _engine_body(request, priority)
            if request.stream:
                answer = self._stream(request, body, located is None)
            else:
                answer = self._complete(request, body)
                self._prefills.estimate(prefill)
                self._work.set_prefill_end(prompt, prefill.ends_at)
            for index, frame in enumerate(answer):
                if not index:
                    if restore is not None:
                        # The whole prompt has been computed.
                        restore.stop()
                    self._prefills.finish(prefill)
                yield frame
        if located is not None:
            self._cache.save(located)

    def _record_first_token(
        self, request: relay.RelayRequest, started_at: float, is_computed: bool
    ) -> None:
        """Record the time to the first token, which has just arrived.

        Args:
            request: the request that is answered.
            started_at: when the request was sent to the engine.
            is_computed: whether the whole prompt was computed, not restored.
        """
        first_s = self._clock.now() - started_at
        self._metrics.observe("engine_first_token", first_s, rank=request.rank)
        if is_computed and self._prefills.count == 1:
            self._state.observe_prefill(request.prompt_tokens, first_s)

    def _stream(
        self, request: relay.RelayRequest, body: bytes, is_computed: bool
    ) -> Iterator[bytes]:
        started_at = self._clock.now()
        count = 0
        try:
            events = self._engine.stream(
                request.path, body, request.attempt_id
            )
        except adapter_errors.AdapterError as error:
            yield self._not_answered(request, error)
            return
        with contextlib.closing(events):
            try:
                for event in events:
                    if not count:
                        self._record_first_token(
                            request, started_at, is_computed
                        )
                    yield frames.encode(
                        frames.Chunk(request.attempt_id, count, event)
                    )
                    count += 1
            except adapter_errors.Rejected as error:
                yield _rejected(request, error.status, error.body)
                return
            except adapter_errors.AdapterError as error:
                self._log.warning(
                    "answer_cut",
                    request_id=request.request_id,
                    after_chunks=count,
                    reason=error,
                )
                yield frames.encode(
                    frames.Failed(request.attempt_id, "upstream was cut")
                )
                return
        yield frames.encode(frames.End(request.attempt_id, count))

    def _complete(
        self, request: relay.RelayRequest, body: bytes
    ) -> Iterator[bytes]:
        try:
            reply = self._engine.complete(
                request.path, body, request.attempt_id
            )
        except adapter_errors.AdapterError as error:
            yield self._not_answered(request, error)
            return
        if reply.status != 200:
            yield _rejected(request, reply.status, reply.body)
            return
        text = reply.body.decode()
        yield frames.encode(frames.Chunk(request.attempt_id, 0, text))
        yield frames.encode(frames.End(request.attempt_id, 1))

    def _not_answered(
        self, request: relay.RelayRequest, error: adapter_errors.AdapterError
    ) -> bytes:
        """Returns: the frame for a failed call to the engine."""
        match error:
            case adapter_errors.Unreachable():
                return self._refused(
                    request, "engine: not reached", unavailable=True
                )
            case adapter_errors.InvalidRequest():
                return self._refused(request, f"engine: {error}")
            case _:
                return frames.encode(
                    frames.Failed(request.attempt_id, f"engine: {error}")
                )

    def _not_admitted(self, request: relay.RelayRequest, reason: str) -> bytes:
        unavailable = reason != _ADAPTER_NOT_LOADED
        return self._refused(request, reason, unavailable=unavailable)

    def _refused(
        self,
        request: relay.RelayRequest,
        reason: str,
        retry_after_s: float = 1.0,
        unavailable: bool = False,
    ) -> bytes:
        # The text after a colon differs between requests, so it is not part
        # of the metric label.
        label = reason.partition(":")[0]
        self._metrics.count("refused", reason=label, rank=request.rank)
        return frames.encode(
            frames.Refused(
                request.attempt_id, reason, retry_after_s, unavailable
            )
        )


def _rejected(request: relay.RelayRequest, status: int, body: bytes) -> bytes:
    text = body.decode(errors="replace")
    return frames.encode(frames.Rejected(request.attempt_id, status, text))


def _engine_body(request: relay.RelayRequest, priority: int) -> bytes:
    body = msgspec.json.decode(request.body)
    body["user"] = request.workspace
    body["priority"] = priority
    # The engine does not know the configured ranks.
    body.pop("service_tier", None)
    return msgspec.json.encode(body)


def make_relayer(
    engine: engines.Engine,
    engine_state: upstream_state.EngineState,
    dispatcher: dispatch.Dispatcher,
    admission: Admission,
    work: engine_work.EngineWork,
    cache: kept_cache.KeptCache,
    clock: clocks.Clock,
    metrics: metrics_module.Metrics,
) -> Relayer:
    return Relayer(
        engine,
        engine_state,
        dispatcher,
        admission,
        work,
        cache,
        clock,
        metrics,
    )
