"""HTTP server shared by the stand-ins."""

import errno
import signal
import socket

import gevent
from gevent import event
from gevent import pool
from gevent import pywsgi

SOCKET_KEY = "fakes.socket"


class Handler(pywsgi.WSGIHandler):
    """WSGI handler that passes its socket to the application."""

    def __init__(self, sock, address, server, rfile=None):
        # The response head and the first chunk are separate writes. Without
        # TCP_NODELAY the second one waits about 40 ms for a delayed
        # acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        # stop() kills the greenlets of open connections. pywsgi would answer
        # these with status 500; the client is to see a cut connection.
        if issubclass(t, gevent.GreenletExit):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class Server(pywsgi.WSGIServer):
    """WSGI server of one stand-in; stop() cuts its connections.

    Args:
        app: WSGI application.
        host: address to listen on.
        port: port to listen on; 0 chooses a free one.
        state: state of the stand-in, for tests in the same process.
        tasks: functions to run in greenlets while the server runs.
    """

    def __init__(self, app, host, port, state=None, tasks=()):
        super().__init__(
            (host, port),
            app,
            log=None,
            handler_class=Handler,
            spawn=pool.Pool(),
        )
        self.state = state
        self._tasks = tasks
        self._greenlets = []

    @property
    def endpoint(self) -> str:
        """Address as HOST:PORT; valid after start()."""
        return f"{self.server_host}:{self.server_port}"

    def start(self):
        super().start()
        self._greenlets = [gevent.spawn(task) for task in self._tasks]

    def stop(self, timeout=0):
        super().stop(timeout)
        gevent.killall(self._greenlets)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *error):
        self.stop()


class DisconnectWatch:
    """Calls a function once when the client closes its connection."""

    __slots__ = ("_socket", "_watcher", "_on_disconnect")

    def __init__(self, sock, on_disconnect):
        self._socket = sock
        self._on_disconnect = on_disconnect
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), 1)
        self._watcher.start(self._on_readable)

    def _on_readable(self):
        try:
            data = self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        # Data means that the client has sent its next request on the
        # connection, which ends the watch too.
        self.close()
        if not data:
            self._on_disconnect()

    def close(self):
        """Stop watching."""
        self._watcher.stop()
        self._watcher.close()


def cut_connection():
    """Raise the error that makes pywsgi close without ending the body.

    Call this only in the iterator of a response body: falcon turns an
    exception that a responder raises into a 500 response.
    """
    raise ConnectionResetError(
        errno.ECONNRESET, "connection cut by the stand-in"
    )


def run(server: Server) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        server: server that has not been started.
    """
    stopped = event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stopped.set)
    with server:
        print(f"listening={server.endpoint}", flush=True)
        stopped.wait()
