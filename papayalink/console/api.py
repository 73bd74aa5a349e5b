"""JSON interface of the console."""

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

# Room for the other fields around a document.
MAX_BODY_BYTES = validation.MAX_DOCUMENT_BYTES + 65_536
DEFAULT_HISTORY = 50
# Clients wait about as long as an election takes.
RETRY_AFTER_S = 1

UNKNOWN_TEXT = (
    "It is not known whether the change was accepted. Send it again with the"
    " same request id: it is applied at most once."
)


class Apply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of PUT /api/document."""

    request_id: str
    base_version: int
    document: msgspec.Raw
    author: str


class Document:
    """/api/document: the document in force, and changes of it."""

    __slots__ = ("_backend", "_clock")

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._clock = clock

    def on_get(self, request, response) -> None:
        current = self._backend.document()
        _send(
            response,
            {
                "version": current.version,
                "digest": current.digest,
                "document": msgspec.Raw(current.document),
            },
        )

    def on_put(self, request, response) -> None:
        try:
            body = msgspec.json.decode(read(request), type=Apply)
        except (msgspec.DecodeError, RecursionError) as error:
            raise falcon.HTTPBadRequest(
                title="The request is not readable",
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
        response.status = status_of(outcome)
        _send(response, _describe(outcome))


class Validate:
    """/api/validate: problems of the document in the body."""

    __slots__ = ()

    def on_post(self, request, response) -> None:
        outcome = validation.validate(read(request))
        problems = outcome.unwrap_err() if outcome.is_err() else []
        if problems:
            response.status = falcon.HTTP_422
        _send(response, {"problems": problems})


class Diff:
    """/api/diff: changes from the document in force to the body."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_post(self, request, response) -> None:
        match validation.validate(read(request)):
            case result.Err(problems):
                response.status = falcon.HTTP_422
                _send(response, {"problems": problems})
            case result.Ok(document):
                current = self._backend.document()
                found = changes.diff(
                    documents.decode(current.document), document
                )
                _send(
                    response,
                    {
                        "version": current.version,
                        "changes": found,
                        "text": changes.render(found),
                    },
                )


class History:
    """/api/history: the last changes, newest first."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_get(self, request, response) -> None:
        count = request.get_param_as_int(
            "count",
            min_value=1,
            max_value=configuration.MAX_HISTORY,
            default=DEFAULT_HISTORY,
        )
        _send(
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


class Status:
    """/api/status: state of the group and its processes."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_get(self, request, response) -> None:
        _send(response, self._backend.status())


class Call:
    """/api/calls/WORKSPACE/KEY: record of a protected call."""

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
        _send(response, record)


def read(request: falcon.Request, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Returns: the body.

    Raises:
        falcon.HTTPContentTooLarge: the body is larger than allowed.
    """
    if (request.content_length or 0) > max_bytes:
        raise falcon.HTTPContentTooLarge(
            title="The request is too large",
            description=f"Send at most {max_bytes} bytes.",
        )
    return request.bounded_stream.read()


def status_of(outcome: configuration.ApplyOutcome) -> str:
    """Returns: HTTP status of an outcome."""
    match outcome:
        case configuration.Accepted():
            return falcon.HTTP_200
        case configuration.Invalid():
            return falcon.HTTP_422
        case _:
            return falcon.HTTP_409


def send_error(response: falcon.Response, error: errors.ConsoleError) -> None:
    """Answer with an error of the backend."""
    match error:
        case errors.NotLeader():
            body = {"error": "not_leader", "leader": error.leader}
        case errors.Unknown():
            body = {"error": "unknown", "text": UNKNOWN_TEXT}
        case _:
            body = {"error": "unavailable", "text": str(error)}
    _send(response, body)


def set_error_status(
    request: falcon.Request,
    response: falcon.Response,
    error: errors.ConsoleError,
) -> None:
    """Set status and headers for an error of the backend."""
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


def _describe(outcome: configuration.ApplyOutcome) -> dict:
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


def _send(response: falcon.Response, body: object) -> None:
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(body)
