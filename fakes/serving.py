"""HTTP serving shared by the stand-ins."""

import errno
import signal
import socket

import gevent
from gevent import event
from gevent import pool
from gevent import pywsgi

SOCKET_KEY = "fakes.socket"


class Handler(pywsgi.WSGIHandler):
    """WSGI handler that hands its socket to the application."""

    def __init__(self, sock, address, server, rfile=None):
        # Head and first chunk are separate writes. Without TCP_NODELAY the
        # second one waits about 40 ms for a delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, t, v, tb):
        # stop() cuts connections; pywsgi would reply with status 500.
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
        state: the stand-in's own state, for in-process tests.
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
        """HOST:PORT; valid after start()."""
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
        self._watcher.start(self._readable)

    def _readable(self):
        try:
            data = self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        # Further data is the client's next request on the connection.
        self.close()
        if not data:
            self._on_disconnect()

    def close(self):
        """Stop watching."""
        self._watcher.stop()
        self._watcher.close()


def cut_connection():
    """Raise the error that makes pywsgi close without a clean end.

    Only the iterator of a response body may call this; falcon turns an
    exception raised by a responder into a 500 response.
    """
    raise ConnectionResetError(errno.ECONNRESET, "cut by the stand-in")


def run(server: Server) -> None:
    """Serve until SIGTERM or SIGINT.

    Args:
        server: server that has not been started.
    """
    stopped = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    with server:
        print(f"listening={server.endpoint}", flush=True)
        stopped.wait()
