"""HTTP server with a graceful stop."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import gevent
from gevent import event
from gevent import pywsgi
from gevent import socket

from papayalink import logs
from papayalink.transport import auth
from papayalink.transport import caller_watch
from papayalink.transport import errors

WsgiApp = Callable[[dict, Callable], Iterable[bytes]]

NONCE_KEY = "papayalink.nonce"
BODY_KEY = "papayalink.body"
_SOCKET_KEY = "papayalink.socket"


# Errors after which a response ends without its regular end, unlogged.
_ABORTS = (OSError, errors.ResponseAborted, errors.CallerGone)


class _ErrorLog:
    """Turns the server's own error output into log events."""

    __slots__ = ("_log",)

    def __init__(self) -> None:
        self._log = logs.get_logger()

    def write(self, text: str) -> None:
        if text.strip():
            self._log.error("http_server_error", text=text.strip()[-400:])

    def flush(self) -> None:
        pass


class _Handler(pywsgi.WSGIHandler):
    """Sends small answers at once, and expects callers to hang up."""

    def __init__(self, sock: socket.socket, address: Any, server: Any) -> None:
        # Head and body are two writes; without this the second one waits
        # about 40 ms for a delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        if self.server.is_stopping:
            self.close_connection = True
        return environ

    def handle_error(self, kind: type, value: Any, trace: Any) -> None:
        if isinstance(value, _ABORTS):
            self.close_connection = True
            self.rqst_aborted = True
            return
        super().handle_error(kind, value, trace)


class _Server(pywsgi.WSGIServer):
    """Server whose connections end with their next answer once it stops."""

    is_stopping = False


class HttpServer:
    """Serves one WSGI application.

    Args:
        address: (IP, port) to listen on; port 0 chooses a free one.
        app: the application.
    """

    __slots__ = ("_server", "_app", "_in_flight", "_idle")

    def __init__(self, address: tuple[str, int], app: WsgiApp) -> None:
        self._app = app
        self._in_flight = 0
        self._idle = event.Event()
        self._idle.set()
        self._server = _Server(
            address,
            self._count,
            log=None,
            error_log=_ErrorLog(),
            handler_class=_Handler,
        )

    @property
    def address(self) -> tuple[str, int]:
        """Address in use, known after start()."""
        return self._server.address

    @property
    def in_flight(self) -> int:
        """Requests whose answer is not yet complete."""
        return self._in_flight

    def start(self) -> None:
        self._server.start()

    def stop(self) -> None:
        """Wait for requests in flight, then close all sockets.

        The application refuses new work by now. Requests on connections that
        wait to be accepted, or that are kept, are still answered, since their
        senders could not tell whether they were run.
        """
        self._server.is_stopping = True
        self._idle.wait()
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()
        gevent.sleep(_LINGER_S)
        self._idle.wait()
        # Handlers that are left hold idle keep-alive connections.
        self._server.stop(timeout=0)

    def _count(self, environ: dict, start_response: Callable) -> Any:
        self._in_flight += 1
        self._idle.clear()
        try:
            yield from self._app(environ, start_response)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                # The last chunk is written after this generator ends.
                gevent.spawn_later(_LAST_WRITE_S, self._check_idle)

    def _check_idle(self) -> None:
        if not self._in_flight:
            self._idle.set()


_LAST_WRITE_S = 0.05
# Time for requests that were on their way when the port closed. One-way delays
# are a little over 1 ms; the rest is for a busy machine.
_LINGER_S = 0.3


def make_server(address: tuple[str, int], app: WsgiApp) -> HttpServer:
    """Returns: a server that is not yet started."""
    return HttpServer(address, app)


def watch_caller(
    environ: dict, half_closes: bool = True
) -> caller_watch.CallerWatch:
    """Returns: the watch of the caller of a request; see CallerWatch."""
    return caller_watch.CallerWatch(
        environ[_SOCKET_KEY], environ["SERVER_PROTOCOL"], half_closes
    )


def require_signature(app: WsgiApp, signer: auth.Signer) -> WsgiApp:
    """Let only requests of the system's own processes through.

    The body is read and put into the environment under BODY_KEY, the nonce
    under NONCE_KEY. The reply's signature covers nonce and status.
    """

    def checked(environ: dict, start_response: Callable) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        context = f"{environ['REQUEST_METHOD']} {path}"
        head = environ.get("HTTP_X_PAPAYALINK_AUTH", "")
        try:
            nonce = signer.open(context, bytes.fromhex(head), body)
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
            signature = signer.seal_reply(nonce, status[:3].encode())
            signed = (auth.REPLY_HEADER, signature.hex())
            return start_response(status, [*headers, signed], exc_info)

        return app(environ, start_signed)

    return checked
