"""Answers to uploads that are unread, and the ends of their connections."""

import gevent
from gevent import server as servers
from gevent import socket

from tests.transport import sockets

HEAD = (
    b"HTTP/1.1 200 OK\r\nPapayalink-Server-Stamp: s\r\n"
    b"Papayalink-Request-Id: c1\r\n"
)
PART = HEAD + b"\r\npart"
# More than the buffers of a connection hold, what they hold, and what a
# receive buffer holds.
LARGE, MEDIUM, SMALL = 900_000, 20_000, 100
_LATER_S = 0.15
_RECEIVE_BUFFER_BYTES = 4_096
# Closed connections of other tests hold ports of 127.0.0.1 for a minute.
_LISTEN_HOST = "127.0.0.2"


def _reset(sock):
    sockets.reset(sock)


def _reset_later(sock):
    gevent.sleep(_LATER_S)
    sockets.reset(sock)


def _close_unread(sock):
    sock.close()


def _close_unread_later(sock):
    gevent.sleep(_LATER_S)
    sock.close()


def _read_and_reset(sock):
    for _ in range(6):
        sock.recv(2_000)
        gevent.sleep(0.05)
    sockets.reset(sock)


def _end_and_reset(sock):
    sock.shutdown(socket.SHUT_WR)
    sockets.reset(sock)


def _end_and_reset_later(sock):
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(_LATER_S)
    sockets.reset(sock)


def _end_read_and_reset(sock):
    sock.shutdown(socket.SHUT_WR)
    _read_and_reset(sock)


def _end_and_read(sock):
    sock.shutdown(socket.SHUT_WR)
    _read_to_end(sock)


def _end_and_read_later(sock):
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(2 * _LATER_S)
    _read_to_end(sock)


def _end_and_stand_still(sock):
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(60)


def _read_and_end(sock):
    sock.settimeout(0.05)
    for _ in range(4):
        try:
            sock.recv(2_000)
        except TimeoutError:
            break
        gevent.sleep(0.05)
    sock.settimeout(None)
    _end_and_read(sock)


def _read_to_end(sock):
    try:
        while sock.recv(65536):
            pass
    except ConnectionError:
        pass


# What a replica does after a part of its answer, for uploads that are unread.
FAULTY = {
    "reset": _reset,
    "reset-later": _reset_later,
    "unread": _close_unread,
    "unread-later": _close_unread_later,
    "read-reset": _read_and_reset,
    "end-reset": _end_and_reset,
    "end-reset-later": _end_and_reset_later,
    "end-read-reset": _end_read_and_reset,
}
# The same, if the upload fits into the receive buffer: a reset behind the end
# can be told only while the end has not been read.
FAULTY_SMALL = ("reset", "reset-later", "unread", "unread-later", "end-reset")
SOUND = {
    "end-read": _end_and_read,
    "end-read-later": _end_and_read_later,
    "read-end": _read_and_end,
}
# Ends its answer and reads nothing more, without a reset.
STUCK = "end-still"
_ENDS = FAULTY | SOUND | {STUCK: _end_and_stand_still}
FAULTY_CASES = [
    (size, end)
    for size in (LARGE, MEDIUM, SMALL)
    for end in (FAULTY_SMALL if size == SMALL else FAULTY)
]
SOUND_CASES = [(size, end) for size in (LARGE, MEDIUM, SMALL) for end in SOUND]


def answer_early(sock, end, answer=PART):
    """Answer a request whose head is read, and end the connection."""
    # The answer leaves before what ends it.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.sendall(answer)
    _ENDS[end](sock)


def read_head(sock):
    """Returns: the head of a request, b"" if none came."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        data = sock.recv(1)
        if not data:
            return b""
        head += data
    return head


def make_listener():
    """Returns: a listener whose connections have a small receive buffer."""
    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    listener.bind((_LISTEN_HOST, 0))
    listener.listen()
    return listener


class EarlyServer:
    """Answers each request before it has read its body."""

    def __init__(self, end, answer=PART):
        self._end = end
        self._answer = answer
        self.server = servers.StreamServer(make_listener(), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"{_LISTEN_HOST}:{self.server.server_port}"

    def _serve(self, sock, address):
        if read_head(sock):
            answer_early(sock, self._end, self._answer)
