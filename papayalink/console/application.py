"""WSGI application of the console."""

from collections.abc import Callable
import secrets

import falcon

from papayalink import clock as clocks
from papayalink.console import access as accesses
from papayalink.console import api
from papayalink.console import backend as backends
from papayalink.console import drafts
from papayalink.console import errors
from papayalink.console import pages
from papayalink.console import views
import papayalink.logs as logs


def make_application(
    backend: backends.Backend,
    console_token: str,
    clock: clocks.Clock,
    make_request_id: Callable[[], str] = lambda: secrets.token_hex(16),
) -> falcon.App:
    """Make the application that a control member serves.

    Args:
        backend: access to the replicated state.
        console_token: token that every request must carry.
        clock: gives the time of changes.
        make_request_id: returns the request id of a change that is shown
            for confirmation.
    """
    access = accesses.Access(console_token)
    application = falcon.App(middleware=[access])
    for path, resource in (
        ("/api/document", api.DocumentResource(backend, clock)),
        ("/api/validate", api.ValidationResource()),
        ("/api/diff", api.DiffResource(backend)),
        ("/api/history", api.HistoryResource(backend)),
        ("/api/status", api.StatusResource(backend)),
        # An idempotency key may contain slashes.
        ("/api/calls/{workspace}/{key:path}", api.CallResource(backend)),
        ("/", views.Overview(backend)),
        ("/console.css", views.StyleSheet()),
        ("/edit/{section}", views.NewDraft(backend, access)),
        ("/draft", views.EditDraft(backend, access, make_request_id)),
        ("/confirm", views.ConfirmDraft(backend, access, clock)),
    ):
        application.add_route(path, resource)
    application.add_error_handler(errors.ConsoleError, _handle_console_error)
    application.add_error_handler(drafts.DraftInvalid, _handle_invalid_draft)
    application.add_error_handler(Exception, _handle_unexpected_error)
    application.set_error_serializer(_render_http_error)
    return application


def _is_api(request: falcon.Request) -> bool:
    return request.path.startswith("/api/")


def _handle_console_error(request, response, error, params) -> None:
    api.set_error_status(request, response, error)
    if _is_api(request):
        api.send_error(response, error)
    else:
        _send_page(response, "service unavailable", str(error))


def _handle_invalid_draft(request, response, error, params) -> None:
    response.status = falcon.HTTP_400
    _send_page(response, "invalid form", str(error))


def _handle_unexpected_error(request, response, error, params) -> None:
    if isinstance(error, (falcon.HTTPError, falcon.HTTPStatus)):
        raise error
    logs.get_logger().error(
        "console_failed",
        path=request.path,
        error=f"{type(error).__name__}: {error}",
    )
    raise falcon.HTTPInternalServerError(
        title="Internal error in the console",
        description="See the log of this control member.",
    )


def _render_http_error(request, response, error: falcon.HTTPError) -> None:
    if _is_api(request):
        response.content_type = falcon.MEDIA_JSON
        response.data = error.to_json()
    else:
        _send_page(
            response, error.title or error.status, error.description or ""
        )


def _send_page(response: falcon.Response, title: str, text: str) -> None:
    response.content_type = falcon.MEDIA_HTML
    response.text = pages.error_page(title, text)
