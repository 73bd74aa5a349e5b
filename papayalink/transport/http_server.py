"""HTTP server with a graceful stop."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import io
import time
from typing import Any

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket

from papayalink import logs
from papayalink.transport import arrival_times
from papayalink.transport import auth
from papayalink.transport import caller_watch
from papayalink.transport import errors
from papayalink.transport import lingering
from papayalink.transport import request_source
from papayalink.transport import request_wait
from papayalink.transport import responders

WsgiApp = Callable[[dict, Callable], Iterable[bytes]]

NONCE_KEY = "papayalink.nonce"
BODY_KEY = "papayalink.body"
_SOCKET_KEY = "papayalink.socket"


# Errors that cut off a response, so that it does not look complete. They are
# not logged.
_ABORT_ERRORS = (OSError, errors.ResponseAborted, errors.CallerGone)
# Errors of a request that has not arrived as a whole, and was not run.
_HALF_READ_ERRORS = (errors.RequestIncomplete, errors.ServerStops)
_SERVICE_UNAVAILABLE = 503


class _ErrorLog:
    """Turns the error output of pywsgi into log events."""

    __slots__ = ("_log",)

    def __init__(self) -> None:
        self._log = logs.get_logger()

    def write(self, text: str) -> None:
        if text.strip():
            self._log.error("http_server_error", text=text.strip()[-400:])

    def flush(self) -> None:
        pass


class _Handler(pywsgi.WSGIHandler):
    """Sends short responses without delay and tolerates lost callers.

    Its server has the attributes of _Server.
    """

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        # Head and body are written separately; without TCP_NODELAY the body
        # would wait about 40 ms for a delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._source = request_source.make_request_source(
            sock, server.requests
        )
        rfile = io.BufferedReader(self._source)
        super().__init__(sock, address, server, rfile)

    def handle_one_request(self) -> Any:
        try:
            return super().handle_one_request()
        except _HALF_READ_ERRORS as error:
            self._refuse(error)
            return None

    def read_requestline(self) -> str:
        self._source.begun = self._has_buffered_bytes()
        if not self._source.begun and not self.server.waits.wait(
            self.socket, None
        ):
            return ""
        return super().read_requestline()

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the header fields; raised errors are answered with 400."""
        headers = super().MessageClass(*args)
        _check_framing(headers)
        return headers

    def _has_buffered_bytes(self) -> bool:
        """Returns: whether a request follows the last one without a pause."""
        self._source.blocking = False
        try:
            return bool(self.rfile.peek(1))
        finally:
            self._source.blocking = True

    def handle_one_response(self) -> None:
        if self.server.requests.ended:
            raise errors.ServerStops("server ends")
        self._source.answering = True
        try:
            with self.server.requests.answering():
                super().handle_one_response()
        finally:
            self._source.answering = False

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        if self.server.is_stopping and self.request_version != "HTTP/1.1":
            # The base class announces it.
            self.close_connection = True
        return environ

    def finalize_headers(self) -> None:
        super().finalize_headers()
        if (
            self.server.is_stopping
            and self.request_version == "HTTP/1.1"
            and not self.close_connection
        ):
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))

    def handle_error(
        self, error_type: type, value: Any, traceback: Any
    ) -> None:
        if isinstance(value, _HALF_READ_ERRORS):
            self.close_connection = True
            if not self.headers_sent:
                self._refuse(value)
            return
        if isinstance(value, _ABORT_ERRORS):
            self.close_connection = True
            self.rqst_aborted = True
            return
        super().handle_error(error_type, value, traceback)

    def _refuse(
        self, error: errors.RequestIncomplete | errors.ServerStops
    ) -> None:
        """Answer a request that has not arrived as a whole."""
        status, headers = _SERVICE_UNAVAILABLE, [(b"Retry-After", b"0")]
        if isinstance(error, errors.RequestIncomplete):
            status, headers = error.status, []
        logs.get_logger().info(
            "request_not_readable", status=status, reason=error
        )
        with contextlib.suppress(OSError):
            self.socket.sendall(
                responders.encode_last_response(status, headers)
            )
        lingering.linger(self.socket)


class _Server(pywsgi.WSGIServer):
    """Server whose responses announce, while it stops, that it closes."""

    def __init__(self, address: tuple[str, int], app: WsgiApp) -> None:
        self.is_stopping = False
        self.waits = request_wait.make_request_waits(_IN_TRANSIT_DELAY_S)
        self.tasks = pool.Pool()
        self.requests = request_source.make_requests()
        super().__init__(
            address,
            app,
            spawn=self.tasks,
            log=None,
            error_log=_ErrorLog(),
            handler_class=_Handler,
        )


class HttpServer:
    """Serves one WSGI application.

    Args:
        address: (IP, port) to listen on; port 0 chooses a free port.
        app: the application.
    """

    __slots__ = ("_server",)

    def __init__(self, address: tuple[str, int], app: WsgiApp) -> None:
        self._server = _Server(address, app)

    @property
    def address(self) -> tuple[str, int]:
        """Address that the server listens on, known after start()."""
        return self._server.address

    @property
    def in_flight(self) -> int:
        """Number of requests whose response is not complete."""
        return self._server.requests.in_flight

    def start(self) -> None:
        self._server.start()

    def stop(self, timeout_s: float | None = None) -> bool:
        """Wait for requests in flight, then close all sockets.

        The application must already refuse new work. Requests on idle
        connections and on those in the accept queue are still answered,
        because otherwise their senders could not tell whether they were run.
        A request of which a part is still missing at the end is refused.

        Args:
            timeout_s: longest wait, None to wait until all are answered.
        Returns: whether all requests were answered within the time-out.
        """
        last_s = 0.0
        if timeout_s is not None:
            last_s = _LAST_REFUSALS_SHARE * timeout_s
            timeout_s -= last_s
        with gevent.Timeout(timeout_s, False):
            self._stop()
            return True
        self._server.requests.end()
        self._close_port()
        self._server.waits.stop(last_s)
        self._server.tasks.join(last_s)
        return not self.in_flight

    def _stop(self) -> None:
        self._server.is_stopping = True
        self._server.requests.all_answered.wait()
        self._close_port()
        gevent.sleep(_IN_TRANSIT_DELAY_S)
        self._server.waits.stop()
        if not self._server.tasks.join(_HALF_READ_WAIT_S):
            self._server.requests.end()
            self._server.tasks.join()

    def _close_port(self) -> None:
        if not self._server.closed:
            request_wait.accept_all(self._server)
            self._server.close()


# Time for requests that were in transit when the port was closed. One-way
# delays are little more than 1 ms; the rest allows for a busy machine.
_IN_TRANSIT_DELAY_S = 0.3
# Time within which a caller sends the rest of a request.
_HALF_READ_WAIT_S = 2.0
# Part of the time of a stop that is kept for refusals at its end.
_LAST_REFUSALS_SHARE = 0.1


def _check_framing(headers: Any) -> None:
    """Refuse framing that different parsers may interpret differently.

    Raises: ValueError
    """
    codings = headers.get_all("transfer-encoding", [])
    lengths = headers.get_all("content-length", [])
    if codings and [coding.lower() for coding in codings] != ["chunked"]:
        raise ValueError("unknown Transfer-Encoding")
    if len(lengths) + len(codings) > 1:
        raise ValueError("several lengths of a request")


def make_server(address: tuple[str, int], app: WsgiApp) -> HttpServer:
    """Returns: a server that has not been started."""
    return HttpServer(address, app)


def watch_caller(
    environ: dict, allows_half_close: bool = True
) -> caller_watch.CallerWatch:
    """Returns: a CallerWatch for the caller of a request."""
    return caller_watch.CallerWatch(
        environ[_SOCKET_KEY], environ["SERVER_PROTOCOL"], allows_half_close
    )


def unread_s(environ: dict) -> float:
    """Returns: seconds since the last bytes of a request arrived.

    To be called once the request has been read.
    """
    arrived_at = arrival_times.last_arrival(environ[_SOCKET_KEY])
    return time.monotonic() - arrived_at


def require_signature(app: WsgiApp, signer: auth.Signer) -> WsgiApp:
    """Wrap an application so that only signed requests reach it.

    The body is read and put into the WSGI environment under BODY_KEY, the
    nonce under NONCE_KEY. The signature of the reply covers nonce and status.
    """

    def run_verified(
        environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        context = f"{environ['REQUEST_METHOD']} {path}"
        auth_header = environ.get("HTTP_X_PAPAYALINK_AUTH", "")
        try:
            nonce = signer.verify_request(
                context, bytes.fromhex(auth_header), body
            )
        except (errors.AuthenticationFailed, ValueError) as error:
            logs.get_logger().warning("peer_refused", reason=str(error))
            text = b"not authenticated\n"
            headers = [("Content-Length", str(len(text)))]
            start_response("401 Unauthorized", headers)
            return [text]
        environ[NONCE_KEY] = nonce
        environ[BODY_KEY] = body

        def start_signed(
            status: str, headers: list, exc_info: Any = None
        ) -> Any:
            signature = signer.sign_reply(nonce, status[:3].encode())
            signature_header = (auth.REPLY_HEADER, signature.hex())
            return start_response(
                status, [*headers, signature_header], exc_info
            )

        return app(environ, start_signed)

    return run_verified
