"""Whether a peer that ended its sending has taken in the whole request.

An answer whose end is only that of its connection looks complete when the
peer ends its sending side and then resets the connection. TCP tells the two
apart by what becomes of the request: a sound peer acknowledges all of it.
"""

from collections.abc import Callable
import fcntl
import struct
import termios
import time

import gevent
from gevent import socket

from papayalink.transport import errors

# Time without progress after which the peer counts as lost, as for data that
# is not acknowledged.
STALL_TIMEOUT_S = 3.0
# Time between two looks at the connection.
_POLL_PERIOD_S = 0.01
# Where the system does not tell what is acknowledged: the time in which a
# reset is expected, and the size of a request that fits into the buffers of
# any peer, so that nothing is expected.
_UNTOLD_WAIT_S = 0.25
_UNTOLD_BYTES = 16_384
# tcpi_state, the first byte of TCP_INFO, of a connection that was reset.
_TCP_CLOSE = 7
_OUTQ = struct.Struct("@i")


def confirm(
    sock: socket.socket,
    size: int,
    remaining_s: Callable[[], float],
    unsent: bytes = b"",
) -> None:
    """Wait until the peer has acknowledged the whole request.

    To be called after the peer has ended its sending side. Returns at once if
    nothing is outstanding. Other greenlets run meanwhile.

    Args:
        size: bytes of the request.
        remaining_s: returns the seconds that are left for the call.
        unsent: end of the request that has not been sent yet.
    Raises:
        errors.ConnectionLost: the connection was reset, or the peer takes in
            nothing more.
        errors.Timeout: the request was not taken in in time.
    """
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        _confirm(sock, size, remaining_s, memoryview(unsent))
    except OSError as error:
        raise errors.ConnectionLost(str(error)) from error
    finally:
        if sock.fileno() >= 0:
            sock.settimeout(timeout_s)


def confirm_within_timeout(sock: socket.socket, size: int) -> None:
    """The same, within the time-out of the socket.

    Args:
        size: bytes of the request.
    Raises:
        OSError: the connection was reset, or the peer took in too little.
    """
    timeout_s = sock.gettimeout()
    if timeout_s is None:
        timeout_s = STALL_TIMEOUT_S
    deadline = time.monotonic() + timeout_s
    try:
        confirm(sock, size, lambda: deadline - time.monotonic())
    except errors.TransportError as error:
        raise ConnectionResetError(str(error)) from error


def _confirm(
    sock: socket.socket,
    size: int,
    remaining_s: Callable[[], float],
    unsent: memoryview,
) -> None:
    progress_at = time.monotonic()
    outstanding = None
    while True:
        if unsent:
            try:
                unsent = unsent[sock.send(unsent) :]
            except BlockingIOError:
                pass
        unacknowledged = _unacknowledged_bytes(sock)
        _check_open(sock, unacknowledged)
        if not unsent:
            if unacknowledged == 0:
                return
            if unacknowledged is None and size <= _UNTOLD_BYTES:
                return
        now = time.monotonic()
        left = len(unsent) + (unacknowledged or 0)
        if outstanding is None or left < outstanding:
            outstanding = left
            progress_at = now
        if unacknowledged is None and not unsent:
            if now - progress_at >= _UNTOLD_WAIT_S:
                return
        elif now - progress_at >= STALL_TIMEOUT_S:
            raise errors.ConnectionLost("peer does not read the request")
        time_left_s = remaining_s()
        if time_left_s <= 0:
            raise errors.Timeout("request was not read in time")
        gevent.sleep(min(_POLL_PERIOD_S, time_left_s))


def _check_open(sock: socket.socket, unacknowledged: int | None) -> None:
    """Raises: OSError: the connection was reset, or closed here."""
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "connection was reset")
    if not unacknowledged:
        return
    # The error is told once, to whoever asked first.
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, AttributeError):
        return
    if info and info[0] == _TCP_CLOSE:
        raise ConnectionResetError("connection was reset")


def _unacknowledged_bytes(sock: socket.socket) -> int | None:
    """Returns: bytes sent but not acknowledged, None if it is not told."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _OUTQ.pack(-1))
    except (OSError, ValueError):
        return None
    (count,) = _OUTQ.unpack(answer)
    return count if count >= 0 else None
