"""HTTP interface for callers, as a falcon application."""

from collections.abc import Iterator
import uuid

import falcon
import msgspec

from papayalink.coordination import errors
from papayalink.coordination import protected
from papayalink.protocol import completions
from papayalink.protocol import relay
from papayalink.roles.entry import serving
from papayalink.state import document as documents
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_server

REQUEST_ID_HEADER = "X-Request-Id"
_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"


class _Refusal(Exception):
    """An error response to the caller."""

    def __init__(
        self,
        status: int,
        code: str,
        text: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(text)
        self.status = status
        self.code = code
        self.text = text
        self.retry_after_s = retry_after_s


def _answer_refusal(
    request: falcon.Request,
    response: falcon.Response,
    refusal: _Refusal,
    params: dict,
) -> None:
    response.status = refusal.status
    response.content_type = _JSON
    details = {}
    if refusal.retry_after_s is not None:
        seconds = max(1, round(refusal.retry_after_s))
        response.set_header("Retry-After", str(seconds))
        # No part of the request was or will be run.
        details["run"] = "not run"
    response.data = completions.error_body(
        refusal.code, refusal.text, **details
    )


class _Context:
    """Request id, configuration and authenticated workspace of a request."""

    __slots__ = ("workspace", "request_id", "document")

    def __init__(
        self, entry: serving.Serving, request: falcon.Request
    ) -> None:
        self.request_id = (
            request.get_header(REQUEST_ID_HEADER) or uuid.uuid4().hex
        )[:64]
        if not entry.has_document:
            raise _Refusal(503, "not_run", "entry is starting", 1.0)
        self.document = entry.document
        self.workspace = self._authenticate(entry, request)

    def _authenticate(
        self, entry: serving.Serving, request: falcon.Request
    ) -> documents.Workspace:
        scheme, _, token = (request.auth or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise _Refusal(401, "unauthorized", "a bearer token is required")
        workspace = entry.workspace_of(token.strip())
        if workspace is None:
            raise _Refusal(401, "unauthorized", "the token is not valid")
        header_workspace = request.get_header("X-Workspace")
        if header_workspace and header_workspace != workspace.name:
            if header_workspace not in entry.workspace_names:
                raise _Refusal(
                    404,
                    "workspace_not_found",
                    f"no workspace {header_workspace}",
                )
            raise _Refusal(
                403, "forbidden", "the token is of another workspace"
            )
        return workspace


def _read_body(request: falcon.Request, limit: int) -> bytes:
    if request.content_length and request.content_length > limit:
        raise _Refusal(413, "too_large", f"the body exceeds {limit} bytes")
    data = request.stream.read(limit + 1)
    if len(data) > limit:
        raise _Refusal(413, "too_large", f"the body exceeds {limit} bytes")
    return data


def _read_request(
    entry: serving.Serving, request: falcon.Request, response: falcon.Response
) -> tuple[_Context, bytes]:
    """Returns: the context of a request and its body."""
    context = _Context(entry, request)
    response.set_header(REQUEST_ID_HEADER, context.request_id)
    limit = context.document.limits.max_body_bytes
    return context, _read_body(request, limit)


class CompletionsResource:
    """`/v1/completions` and `/v1/chat/completions`."""

    __slots__ = ("_entry",)

    def __init__(self, entry: serving.Serving) -> None:
        self._entry = entry

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        context, data = _read_request(self._entry, request, response)
        try:
            completion = completions.parse(request.path, data)
        except completions.RequestInvalid as error:
            raise _Refusal(400, "invalid_request", str(error)) from error
        rank = self._rank(context, completion.rank)
        whole = b""
        try:
            with http_server.watch_caller(request.env):
                answer = self._open(
                    context, request.path, rank, completion, data
                )
                if not completion.stream:
                    whole = _read_whole(answer)
        except errors.UpstreamRejected as error:
            response.status = error.status
            response.content_type = _JSON
            response.data = error.body
            return
        except transport_errors.CallerGone:
            self._entry.record_caller_gone(
                context.request_id, context.workspace, rank
            )
            raise
        if completion.stream:
            response.content_type = _EVENT_STREAM
            response.set_header("Cache-Control", "no-store")
            response.stream = _events(answer)
        else:
            response.content_type = _JSON
            response.data = whole

    def _open(
        self,
        context: _Context,
        path: str,
        rank: str,
        completion: completions.CompletionRequest,
        body: bytes,
    ) -> serving.ServedAnswer:
        try:
            return self._entry.complete(
                context.request_id,
                context.workspace,
                rank,
                path,
                completion,
                body,
            )
        except serving.ModelUnknown as error:
            raise _Refusal(
                404, "model_not_found", f"no model {completion.model}"
            ) from error
        except errors.NoUpstream as error:
            raise _Refusal(
                503, "not_run", error.reason, error.retry_after_s
            ) from error
        except errors.AnswerCut as error:
            raise _Refusal(502, "upstream_failed", str(error)) from error

    def _rank(self, context: _Context, name: str) -> str:
        ranks = context.document.ranks
        wanted = name or context.workspace.rank
        if not wanted and ranks:
            return ranks[-1].name
        if wanted not in (rank.name for rank in ranks):
            raise _Refusal(
                400, "invalid_request", f"`$.service_tier`: no rank {wanted}"
            )
        return wanted


def _events(answer: serving.ServedAnswer) -> Iterator[bytes]:
    try:
        for text in answer:
            yield text.encode()
    except errors.AnswerCut as error:
        yield completions.error_event("upstream_failed", str(error))
        # The connection is closed without the regular end of the body, so
        # that a partial answer never looks like a complete one.
        raise transport_errors.ResponseAborted(str(error)) from error
    finally:
        answer.close()


def _read_whole(answer: serving.ServedAnswer) -> bytes:
    try:
        return "".join(answer).encode()
    except errors.AnswerCut as error:
        raise _Refusal(502, "upstream_failed", str(error)) from error
    finally:
        answer.close()


class ModelsResource:
    """`/v1/models`."""

    __slots__ = ("_entry",)

    def __init__(self, entry: serving.Serving) -> None:
        self._entry = entry

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        context = _Context(self._entry, request)
        response.data = msgspec.json.encode(
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model"}
                    for model in context.document.models
                    for name in (model.name, *model.adapters)
                ],
            }
        )


class ServiceResource:
    """`/services/NAME/PATH`: calls of plain services."""

    __slots__ = ("_entry",)

    def __init__(self, entry: serving.Serving) -> None:
        self._entry = entry

    def __call__(
        self,
        request: falcon.Request,
        response: falcon.Response,
        service: str,
        path: str,
    ) -> None:
        context, body = _read_request(self._entry, request, response)
        call = self._entry.find_call(service, request.method, "/" + path)
        if call is None:
            raise _Refusal(
                404, "call_not_found", f"no such call of service {service}"
            )
        target = "/" + path
        if request.query_string:
            target += "?" + request.query_string
        message = relay.CallRequest(
            request_id=context.request_id,
            workspace=context.workspace.name,
            service=service,
            method=request.method,
            path=target,
            content_type=request.content_type or "",
            body=body,
            key=request.get_header("Idempotency-Key") or "",
        )
        if call.protected and not message.key:
            raise _Refusal(
                400, "key_required", "this call needs an Idempotency-Key"
            )
        _answer_call(response, self._entry.call(message, call.protected))


def _answer_call(
    response: falcon.Response, outcome: protected.Outcome
) -> None:
    match outcome:
        case relay.Answered():
            _copy_answer(response, outcome)
        case protected.Replayed(answer=answer):
            response.set_header("Idempotency-Replayed", "true")
            _copy_answer(response, answer)
        case relay.NotRun(reason=reason):
            raise _Refusal(503, "not_run", reason, 1.0)
        case relay.OutcomeUnknown(reason=reason):
            raise _Refusal(504, "outcome_unknown", reason)
        case protected.KeyReused():
            raise _Refusal(
                422, "key_reused", "the key was used with another body"
            )
        case protected.InProgress():
            raise _Refusal(409, "in_progress", "the call is under way")


def _copy_answer(response: falcon.Response, answer: relay.Answered) -> None:
    response.status = answer.status
    response.content_type = answer.content_type
    response.data = answer.body


class HealthResource:
    """`/healthz`, for the load balancer of the platform."""

    __slots__ = ("_entry",)

    def __init__(self, entry: serving.Serving) -> None:
        self._entry = entry

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        if not self._entry.healthy:
            response.status = 503
        response.content_type = falcon.MEDIA_TEXT
        response.text = "ok\n" if self._entry.healthy else "not ready\n"


def make_app(entry: serving.Serving) -> falcon.App:
    """Returns: the WSGI application that serves callers."""
    app = falcon.App()
    app.add_error_handler(_Refusal, _answer_refusal)
    resource = CompletionsResource(entry)
    for path in completions.PATHS:
        app.add_route(path, resource)
    app.add_route("/v1/models", ModelsResource(entry))
    app.add_route("/healthz", HealthResource(entry))
    app.add_sink(
        ServiceResource(entry), r"^/services/(?P<service>[^/]+)/(?P<path>.*)$"
    )
    return app
