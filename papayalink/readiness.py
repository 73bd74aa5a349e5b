"""Looks at sockets without letting other greenlets run."""

import select

from gevent import socket


def has_unread_bytes(sock: socket.socket) -> bool:
    """Returns: whether bytes or the end of the connection can be read.

    gevent's select with a time-out of 0 looks and then runs other greenlets,
    so that what it returns may be outdated.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
