"""When bytes arrived that a process may have read late."""

import struct
import time

from gevent import socket

# tcpi_last_data_recv of Linux: milliseconds since the last bytes arrived.
_LAST_DATA_RECV = struct.Struct("@52xI")


def last_arrival(sock: socket.socket) -> float:
    """Returns: monotonic seconds at which the last bytes arrived.

    A process that stood still or lacked processor time reads them later. Where
    the system does not tell, that is now.
    """
    now = time.monotonic()
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECV.size
        )
    except (OSError, AttributeError):
        return now
    if len(info) < _LAST_DATA_RECV.size:
        return now
    (passed_ms,) = _LAST_DATA_RECV.unpack(info)
    return now - passed_ms / 1000
