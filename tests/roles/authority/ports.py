"""Ports of authorities that listen on several loopback addresses."""

import collections
import contextlib
import socket

from bench import deployment

# A port is chosen again only after this many others, long after the members
# that listened on it have ended.
_REMEMBERED = 100

_block = deployment.make_port_block()
_recent: collections.deque[int] = collections.deque(maxlen=_REMEMBERED)


def choose(ip):
    """Choose a port that is free at an address, and so is the next one.

    Both are of a block that no other run of the tests chooses from, and below
    the range of which the system gives ports to others. All addresses with
    which members listen may use them.
    """
    while True:
        port = _block.choose() & ~1
        if port in _recent:
            continue
        _recent.append(port)
        if _is_free(ip, port) and _is_free(ip, port + 1):
            return port


def _is_free(ip, port):
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True
