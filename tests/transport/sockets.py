"""Ends of connections for tests."""

import struct

from gevent import socket


def reset(sock):
    """Close a connection so that its peer sees a reset."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()
