"""HTTP interface for the operators of the platform."""

import falcon
import msgspec

from papayalink.coordination import errors as coordination_errors
from papayalink.platform import document
from papayalink.platform import errors
from papayalink.roles.authority import numbered_state

# Documents of the largest intended deployment are below 1 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024


class _Weights(msgspec.Struct):
    model: str
    version: int


def _read_body(request: falcon.Request) -> bytes:
    # The server ends the stream with the body, whatever its framing.
    data = request.stream.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise falcon.HTTPContentTooLarge(
            title=f"the body exceeds {MAX_BODY_BYTES} bytes"
        )
    return data


class _Documents:
    """Stores and returns the whole document."""

    __slots__ = ("_state",)

    def __init__(self, state: numbered_state.NumberedState) -> None:
        self._state = state

    def on_put(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        data = _read_body(request)
        try:
            traffic = document.translate(data)
        except errors.DocumentInvalid as error:
            self._state.note_invalid(str(error))
            response.status = 400
            response.media = {"error": str(error)}
            return
        number = self._state.put(traffic.number, data)
        response.media = {"version": number}

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        content = self._state.read()
        if not content:
            raise falcon.HTTPServiceUnavailable(title="no document yet")
        response.data = content
        response.content_type = falcon.MEDIA_JSON


class _WeightVersions:
    """Sets the weight version that replicas of a model are to load."""

    __slots__ = ("_state",)

    def __init__(self, state: numbered_state.NumberedState) -> None:
        self._state = state

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        data = _read_body(request)
        try:
            weights = msgspec.json.decode(data, type=_Weights)
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise falcon.HTTPBadRequest(title=str(error)) from error
        if (
            not weights.model
            or not 1 <= weights.version <= document.MAX_VERSION
        ):
            raise falcon.HTTPBadRequest(
                title="model and a version above 0 are required"
            )
        self._state.name_weights(weights.model, weights.version)
        response.media = {"version": weights.version}


def _answer_unavailable(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    parameters: dict,
) -> None:
    """Answer 503 when the outcome of a change, or the state, is unknown.

    Operators then ask another member.
    """
    response.status = 503
    response.media = {"error": str(error)}


def make_application(state: numbered_state.NumberedState) -> falcon.App:
    application = falcon.App()
    application.add_route("/-/config", _Documents(state))
    application.add_route("/-/version-put", _WeightVersions(state))
    application.add_error_handler(
        coordination_errors.CoordinationError, _answer_unavailable
    )
    return application
