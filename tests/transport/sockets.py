"""Helpers that end connections in tests."""

import struct

from gevent import socket


def reset(sock):
    """Close a connection by a reset instead of an orderly shutdown."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()
