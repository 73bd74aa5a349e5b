"""Answers the calls of one entry."""

import time

from papayalink.protocol import calls
from papayalink.roles.gateway import call_ending
from papayalink.roles.gateway import call_run
from papayalink.roles.gateway import shared as shared_parts
from papayalink.transport import request_reader
from papayalink.transport import responders

# Share of the caller's time budget that its call may wait for the first
# document.
DOCUMENT_WAIT_SHARE = 1 / 3


class Handler:
    """Finds the route and the workspace of each call, and runs the call.

    Args:
        shared: components that all calls use.
    """

    __slots__ = ("_shared",)

    def __init__(self, shared: shared_parts.Shared) -> None:
        self._shared = shared

    def handle(
        self,
        request: request_reader.Request,
        responder: responders.Responder,
    ) -> None:
        """Answer one request.

        The caller's time counts from the arrival of the request, which a
        gateway that stood still reads later.
        """
        received_at = request.arrived_at
        call = self._shared.dialect.decode_call(
            request.method, request.target, request.headers, request.body
        )
        responder.call_id = call.call_id
        directory = self._shared.watcher.directory
        if directory is None and not self._shared.stopping.begun:
            passed_s = time.monotonic() - received_at
            allowed_s = DOCUMENT_WAIT_SHARE * call.budget_ms / 1000
            directory = self._shared.watcher.wait_directory(
                max(0.0, allowed_s - passed_s)
            )
        if directory is None and self._shared.stopping.begun:
            self.reject_late(request, responder)
            return
        if directory is None:
            self._reject(
                call, responder, 503, "no_document", call_ending.RETRY_AFTER_S
            )
            return
        route = directory.route(call.host, call.path)
        if route is None:
            self._reject(call, responder, 404, "no_route")
            return
        workspace = directory.workspace(call.key)
        if workspace is None and not route.public:
            if directory.traffic.workspaces:
                self._reject(call, responder, 401, "unknown_key")
                return
        if not call.call_id:
            self._reject(call, responder, 400, "no_call_id")
            return
        call_run.make_call_run(
            self._shared,
            call,
            route,
            workspace,
            directory,
            responder,
            received_at,
            self._shared.take_ups.find_version(call, route),
        ).run()

    def reject_late(
        self,
        request: request_reader.Request,
        responder: responders.Responder,
    ) -> None:
        """Answer a request that arrives while the entry stops."""
        call = self._shared.dialect.decode_call(
            request.method, request.target, request.headers, request.body
        )
        responder.call_id = call.call_id
        self._reject(
            call,
            responder,
            503,
            "stopping",
            call_ending.STOPPING_RETRY_AFTER_S,
        )

    def _reject(
        self,
        call: calls.Call,
        responder: responders.Responder,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        self._shared.metrics.count("calls", outcome=reason)
        self._shared.log.failed(
            "call_rejected",
            call=call.call_id,
            status=status,
            reason=reason,
            host=call.host,
            path=call.path,
            document=self._shared.watcher.number,
            document_age_s=round(self._shared.watcher.age_s(), 2),
        )
        headers = self._shared.dialect.refusal_headers(
            call.call_id, retry_after_s
        )
        responder.respond(status, headers)


def make_handler(shared: shared_parts.Shared) -> Handler:
    return Handler(shared)
