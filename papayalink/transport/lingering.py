"""Close of connections whose caller may still send."""

import contextlib

import gevent
from gevent import socket

_READ_BYTES = 65_536
# Time within which a caller reads the last answer of a connection on which it
# has sent more.
_LINGERING_CLOSE_S = 2.0


def linger(sock: socket.socket) -> None:
    """Wait until a caller that has sent more has read its last answer.

    With unread bytes, close() would reset the connection, and the caller might
    lose the answer.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(_LINGERING_CLOSE_S, False):
            while sock.recv(_READ_BYTES):
                pass
