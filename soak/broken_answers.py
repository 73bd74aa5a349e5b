"""Answers of a replica that is broken: they end early, or have no status."""

import re
import zlib

import gevent
from gevent import socket

# How a connection is ended behind a part of an answer, and what stands where
# a status is due.
MODES = ("end_reset", "end_reset_later", "odd_status")
# Uploads of this size are not taken in whole by the buffers of a proxy, so
# that their sender can tell that an answer is a part.
MIN_UPLOAD_BYTES = 300_000
_LATER_S = 0.15
_STATUSES = (b"000", b"099", b"600", b"999", b"20", b"2000")
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CALL_ID = re.compile(
    rb"\r\npapayalink-request-id: *([^\r\n]+)", re.IGNORECASE
)
_PART = b"part of an answer"


def answer(mode: str, request: bytes, sock: socket.socket) -> bool:
    """Answer a request as a broken replica does.

    Nothing more of the request may be read, and the caller resets the
    connection.

    Args:
        request: beginning of the request.
    Returns: whether it was answered; others are to be passed on.
    """
    head, _, _ = request.partition(b"\r\n\r\n")
    length = _LENGTH.search(head)
    call_id = _CALL_ID.search(head)
    if not head.startswith(b"POST ") or b" /stream/" in head:
        return False
    if length is None or call_id is None:
        return False
    status = b"200"
    if mode == "odd_status":
        status = _STATUSES[zlib.crc32(call_id[1]) % len(_STATUSES)]
    elif int(length[1]) < MIN_UPLOAD_BYTES:
        return False
    sock.sendall(
        b"HTTP/1.1 %s Odd\r\nPapayalink-Request-Id: %s\r\n"
        b"Papayalink-Server-Stamp: broken.%s\r\n\r\n%s"
        % (status, call_id[1], call_id[1], _PART)
    )
    sock.shutdown(socket.SHUT_WR)
    if mode == "end_reset_later":
        gevent.sleep(_LATER_S)
    return True
