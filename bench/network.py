"""A TCP proxy that can stop forwarding without closing connections."""

import gevent
from gevent import event
from gevent import server
from gevent import socket

_READ_BYTES = 65_536


class Link:
    """Forwards connections to one address.

    While the link is cut, data is held back and connections stay open.

    Args:
        target: "IP:PORT" that connections go to.
    """

    __slots__ = ("_target", "_server", "_open")

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._open = event.Event()
        self._open.set()
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Address to use instead of the target's."""
        return f"127.0.0.1:{self._server.server_port}"

    def cut(self) -> None:
        """Hold back all data; both ends stay connected."""
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    def close(self) -> None:
        self._server.stop()

    def _serve(self, source: socket.socket, address: tuple) -> None:
        self._open.wait()
        try:
            target = socket.create_connection(self._target)
        except OSError:
            source.close()
            return
        reverse_copy = gevent.spawn(self._copy, target, source)
        self._copy(source, target)
        reverse_copy.join()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                self._open.wait()
                target.sendall(data)
        except OSError:
            pass
        finally:
            source.close()
            target.close()


def make_link(target: str) -> Link:
    """Returns: a link that forwards connections."""
    return Link(target)
