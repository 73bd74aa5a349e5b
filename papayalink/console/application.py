"""The console as one WSGI application."""

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
        console_token: what every request must give.
        clock: for the time of changes.
        make_request_id: names a change when it is shown for confirmation.
    """
    access = accesses.Access(console_token)
    application = falcon.App(middleware=[access])
    for path, resource in (
        ("/api/document", api.Document(backend, clock)),
        ("/api/validate", api.Validate()),
        ("/api/diff", api.Diff(backend)),
        ("/api/history", api.History(backend)),
        ("/api/status", api.Status(backend)),
        # A key may hold slashes.
        ("/api/calls/{workspace}/{key:path}", api.Call(backend)),
        ("/", views.Overview(backend)),
        ("/console.css", views.Style()),
        ("/edit/{section}", views.Start(backend, access)),
        ("/draft", views.Change(backend, access, make_request_id)),
        ("/confirm", views.Confirm(backend, access, clock)),
    ):
        application.add_route(path, resource)
    application.add_error_handler(errors.ConsoleError, _answer_console_error)
    application.add_error_handler(drafts.DraftInvalid, _answer_draft_error)
    application.add_error_handler(Exception, _answer_failure)
    application.set_error_serializer(_serialise_error)
    return application


def _is_api(request: falcon.Request) -> bool:
    return request.path.startswith("/api/")


def _answer_console_error(request, response, error, params) -> None:
    api.set_error_status(request, response, error)
    if _is_api(request):
        api.send_error(response, error)
    else:
        _send_page(response, "not available", str(error))


def _answer_draft_error(request, response, error, params) -> None:
    response.status = falcon.HTTP_400
    _send_page(response, "not readable", str(error))


def _answer_failure(request, response, error, params) -> None:
    if isinstance(error, (falcon.HTTPError, falcon.HTTPStatus)):
        raise error
    logs.get_logger().error(
        "console_failed",
        path=request.path,
        error=f"{type(error).__name__}: {error}",
    )
    raise falcon.HTTPInternalServerError(
        title="The console failed",
        description="See the log of this member.",
    )


def _serialise_error(request, response, error: falcon.HTTPError) -> None:
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
