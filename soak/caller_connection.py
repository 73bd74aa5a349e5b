"""A connection of a caller, which tells what became of each call."""

import select
import time

import gevent
from gevent import socket
import h11
import msgspec

from soak import records

CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 65_536


class Body(msgspec.Struct, frozen=True):
    """Body of a request.

    Attributes:
        pieces: parts that are written one after the other.
        pause_s: time before each of them.
        chunked: whether the head does not tell the length.
    """

    pieces: tuple[bytes, ...] = ()
    pause_s: float = 0.0
    chunked: bool = False

    @property
    def framing(self) -> tuple[str, str]:
        """Header that tells where the body ends."""
        if self.chunked:
            return ("Transfer-Encoding", "chunked")
        return ("Content-Length", str(sum(len(each) for each in self.pieces)))


class CallerConnection:
    """One connection to a gateway, used again as long as it may be.

    Unlike usual HTTP clients it never sends a call twice, and it records
    when a call had been written.

    Args:
        looks: whether it sees, before it sends, that its connection has been
            closed. Many clients don't look.
    """

    def __init__(
        self, address: tuple[str, int], timeout_s: float, looks: bool
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._looks = looks
        self._sock: socket.socket | None = None
        self._http = h11.Connection(h11.CLIENT)

    def open(self) -> None:
        """Connect, unless there is a connection that can be used.

        Raises: OSError
        """
        if self._looks and self._has_ended():
            self.close()
        if self._sock is None:
            self._sock = socket.create_connection(
                self._address, CONNECT_TIMEOUT_S
            )
            self._sock.settimeout(self._timeout_s)
            self._http = h11.Connection(h11.CLIENT)

    def call(
        self,
        call: records.Exchange,
        method: str,
        path: str,
        headers: dict,
        body: Body = Body(),
        half_closes: bool = False,
    ) -> None:
        """Send a call, and record what comes back.

        Args:
            half_closes: whether nothing more is sent on the connection.
        """
        try:
            self.open()
            call.stale = self._has_ended()
            self._exchange(call, method, path, headers, body, half_closes)
        except (OSError, h11.RemoteProtocolError):
            # No connection, a cut or a time-out: the record tells which.
            self.close()

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _has_ended(self) -> bool:
        """Returns: whether the gateway has closed the connection."""
        return self._sock is not None and _is_readable(self._sock)

    def _exchange(
        self, call, method, path, headers, body, half_closes
    ) -> None:
        request = h11.Request(
            method=method,
            target=path,
            headers=[*headers.items(), body.framing],
        )
        call.began_at = time.monotonic()
        unsent = self._http.send(request)
        for piece in body.pieces:
            if body.pause_s:
                self._sock.sendall(unsent)
                unsent = b""
                gevent.sleep(body.pause_s)
            unsent += self._http.send(h11.Data(piece))
        self._sock.sendall(unsent + self._http.send(h11.EndOfMessage()))
        call.written_at = time.monotonic()
        if half_closes:
            self._sock.shutdown(socket.SHUT_WR)
        while not call.complete:
            match self._http.next_event():
                case h11.NEED_DATA:
                    self._http.receive_data(self._sock.recv(_READ_BYTES))
                case h11.Response() as head:
                    call.status = head.status_code
                    call.server_stamp = (
                        dict(head.headers)
                        .get(b"papayalink-server-stamp", b"")
                        .decode()
                    )
                case h11.Data(data):
                    call.body += bytes(data)
                case h11.EndOfMessage():
                    call.complete = True
        if self._http.their_state is h11.DONE and not half_closes:
            self._http.start_next_cycle()
        else:
            self.close()


def _is_readable(sock: socket.socket) -> bool:
    """Returns: whether an idle connection has ended or holds odd bytes."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def make_caller_connection(
    address: tuple[str, int], timeout_s: float, looks: bool = True
) -> CallerConnection:
    return CallerConnection(address, timeout_s, looks)
