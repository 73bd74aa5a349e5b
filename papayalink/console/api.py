"""JSON API of the console."""

import falcon
import msgspec
import result

from papayalink import clock as clocks
from papayalink.console import backend as backends
from papayalink.console import errors
from papayalink.state import changes
from papayalink.state import configuration
from papayalink.state import document as documents
from papayalink.state import validation

# The largest document, and room for the other fields of the body.
MAX_BODY_BYTES = validation.MAX_DOCUMENT_BYTES + 65_536
DEFAULT_HISTORY_COUNT = 50
# About the time that a leader election takes.
RETRY_AFTER_S = 1

UNKNOWN_OUTCOME_TEXT = (
    "It is not known whether the change was accepted. Send it again with the"
    " same request id: it is applied at most once."
)


class Apply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of PUT /api/document."""

    request_id: str
    base_version: int
    document: msgspec.Raw
    author: str


class DocumentResource:
    """/api/document: reads and replaces the document in force."""

    __slots__ = ("_backend", "_clock")

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._clock = clock

    def on_get(self, request, response) -> None:
        current = self._backend.document()
        _send_json(
            response,
            {
                "version": current.version,
                "digest": current.digest,
                "document": msgspec.Raw(current.document),
            },
        )

    def on_put(self, request, response) -> None:
        try:
            body = msgspec.json.decode(read_body(request), type=Apply)
        except (msgspec.DecodeError, RecursionError) as error:
            raise falcon.HTTPBadRequest(
                title="The request body is not valid",
                description=f"{error}; expected keys: request_id,"
                " base_version, document, author",
            ) from error
        outcome = self._backend.apply(
            configuration.ApplyDocument(
                request_id=body.request_id,
                base_version=body.base_version,
                document_bytes=bytes(body.document),
                author=body.author,
                at_ms=int(self._clock.wall() * 1000),
            )
        )
        response.status = http_status(outcome)
        _send_json(response, _outcome_fields(outcome))


class ValidationResource:
    """/api/validate: lists the problems of the document in the body."""

    __slots__ = ()

    def on_post(self, request, response) -> None:
        outcome = validation.validate(read_body(request))
        problems = outcome.unwrap_err() if outcome.is_err() else []
        if problems:
            response.status = falcon.HTTP_422
        _send_json(response, {"problems": problems})


class DiffResource:
    """/api/diff: compares the document in force with the one in the body."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_post(self, request, response) -> None:
        match validation.validate(read_body(request)):
            case result.Err(problems):
                response.status = falcon.HTTP_422
                _send_json(response, {"problems": problems})
            case result.Ok(document):
                current = self._backend.document()
                differences = changes.diff(
                    documents.decode(current.document), document
                )
                _send_json(
                    response,
                    {
                        "version": current.version,
                        "changes": differences,
                        "text": changes.render(differences),
                    },
                )


class HistoryResource:
    """/api/history: the latest changes, newest first."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_get(self, request, response) -> None:
        count = request.get_param_as_int(
            "count",
            min_value=1,
            max_value=configuration.MAX_HISTORY,
            default=DEFAULT_HISTORY_COUNT,
        )
        _send_json(
            response,
            {
                "versions": [
                    {
                        "version": entry.version,
                        "digest": entry.digest,
                        "author": entry.author,
                        "at_ms": entry.at_ms,
                        "summary": entry.summary,
                    }
                    for entry in self._backend.history(count)
                ]
            },
        )


class StatusResource:
    """/api/status: state of the control group and of the processes."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_get(self, request, response) -> None:
        _send_json(response, self._backend.status())


class CallResource:
    """/api/calls/WORKSPACE/KEY: ledger record of a protected call."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_get(self, request, response, workspace: str, key: str) -> None:
        record = self._backend.call(workspace, key)
        if record is None:
            raise falcon.HTTPNotFound(
                title="There is no such call",
                description="No call with this key is recorded, or its"
                " record has expired.",
            )
        _send_json(response, record)


def read_body(
    request: falcon.Request, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Returns: the request body.

    Raises:
        falcon.HTTPContentTooLarge: the body is longer than max_bytes.
    """
    if (request.content_length or 0) <= max_bytes:
        # The server ends the stream with the body, whatever its framing.
        data = request.stream.read(max_bytes + 1)
        if len(data) <= max_bytes:
            return data
    raise falcon.HTTPContentTooLarge(
        title="The request is too large",
        description=f"Send at most {max_bytes} bytes.",
    )


def http_status(outcome: configuration.ApplyOutcome) -> str:
    """Returns: HTTP status line for the outcome of a change."""
    match outcome:
        case configuration.Accepted():
            return falcon.HTTP_200
        case configuration.Invalid():
            return falcon.HTTP_422
        case _:
            return falcon.HTTP_409


def send_error(response: falcon.Response, error: errors.ConsoleError) -> None:
    """Write an error of the backend into the response body."""
    match error:
        case errors.NotLeader():
            body = {"error": "not_leader", "leader": error.leader}
        case errors.Unknown():
            body = {"error": "unknown", "text": UNKNOWN_OUTCOME_TEXT}
        case _:
            body = {"error": "unavailable", "text": str(error)}
    _send_json(response, body)


def set_error_status(
    request: falcon.Request,
    response: falcon.Response,
    error: errors.ConsoleError,
) -> None:
    """Set the response status and headers for an error of the backend."""
    match error:
        case errors.NotLeader():
            response.status = falcon.HTTP_307
            response.set_header(
                "Location", f"http://{error.leader}{request.relative_uri}"
            )
        case errors.Unknown():
            response.status = falcon.HTTP_504
        case _:
            response.status = falcon.HTTP_503
            response.set_header("Retry-After", str(RETRY_AFTER_S))


def _outcome_fields(outcome: configuration.ApplyOutcome) -> dict:
    match outcome:
        case configuration.Accepted():
            name = "accepted"
        case configuration.Conflict():
            name = "conflict"
        case configuration.Invalid():
            name = "invalid"
        case configuration.RequestIdReused():
            name = "request_id_reused"
    fields = msgspec.structs.asdict(outcome)
    return {"outcome": name} | fields


def _send_json(response: falcon.Response, body: object) -> None:
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(body)
