"""HTTP calls to the system's own processes."""

from collections.abc import Mapping
import time

import gevent
from gevent import socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response

from papayalink import readiness
from papayalink.transport import auth
from papayalink.transport import errors
from papayalink.transport import request_delivery

# Longer than a round trip between regions, and short enough that a request
# whose first VM is lost can still meet its target of 1.6 s at another one.
CONNECT_TIMEOUT_S = 0.5
# Each stream occupies a connection, so the pool is as large as the number of
# streams that one process may keep open to another.
MAX_CONNECTIONS = 512
_READ_BLOCK_BYTES = 65_536
# Largest head of a response, with the responses before it that announce it.
MAX_HEAD_BYTES = 64 * 1024
# A head ends within this many times the time allowed without data, so that
# single bytes do not keep a call alive.
MAX_TIMEOUTS = 4
# A status beyond it is invalid (RFC 9110, section 15).
_HIGHEST_STATUS = 599


class _HeadTooLong(OSError):
    """The head has more bytes, or takes longer, than any sound one."""


class _Socket(socket.socket):
    """Reads the end of a peer's sending once that has the whole request.

    The library takes it for the end of a response that has no other.

    Limits what is read between a request and `end_head`: the library reads
    until a head is complete, and a head is verified only then.
    """

    _is_in_head = False
    _head_bytes = 0
    _head_until = 0.0

    def sendall(self, data: bytes, flags: int = 0) -> None:
        self._is_in_head = True
        self._head_bytes = 0
        self._head_until = time.monotonic() + MAX_TIMEOUTS * self.gettimeout()
        super().sendall(data, flags)

    def end_head(self) -> None:
        """Read the rest of the response without these limits."""
        self._is_in_head = False

    def recv(self, size: int, flags: int = 0) -> bytes:
        if self._is_in_head:
            size = min(size, MAX_HEAD_BYTES - self._head_bytes)
            if size <= 0:
                raise _HeadTooLong("head of a response has too many bytes")
            if time.monotonic() > self._head_until:
                raise _HeadTooLong("head of a response takes too long")
        data = super().recv(size, flags)
        self._head_bytes += len(data)
        if size and not data:
            # A peer of the system has room for requests.
            request_delivery.confirm_within_timeout(self, 0)
        return data


class _Pool(connectionpool.ConnectionPool):
    """Raises NotConnected when no connection can be opened.

    Looks at idle connections with any descriptor; the base class takes those
    from 1024 for dead.
    """

    def get_socket(self) -> socket.socket:
        try:
            return super().get_socket()
        except OSError as error:
            raise errors.NotConnected(str(error)) from error

    def _create_tcp_socket(
        self, family: int, kind: int, protocol: int
    ) -> socket.socket:
        return _Socket(family, kind, protocol)

    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        if sock is None or sock.fileno() < 0:
            return False
        return not readiness.has_unread_bytes(sock)


class _Client(geventhttpclient.HTTPClient):
    """Client of one address that uses _Pool."""

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, block_size=_READ_BLOCK_BYTES)
        self._connection_pool = _Pool(
            host,
            port,
            host,
            port,
            size=MAX_CONNECTIONS,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
        )


class Response:
    """A response whose body is read as it arrives."""

    __slots__ = ("_response",)

    def __init__(self, response: http_response.HTTPSocketResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        return self._response.status_code

    def header(self, name: str) -> str:
        """Returns: the value of a header, or "" if it is missing."""
        return self._response.get(name) or ""

    def end_head(self) -> None:
        """Read the body without the limits of the head."""
        sock = self._response._sock
        if sock is not None:
            sock.end_head()

    def read(self) -> bytes:
        """Read the complete body.

        Raises:
            errors.ConnectionLost: the body is truncated.
            errors.Timeout: no data arrived in time.
        """
        with _translated_errors():
            data = self._response.read()
        if not self._response.message_complete:
            raise errors.ConnectionLost("response body is truncated")
        return data

    def readline(self) -> bytes:
        """Read up to the next newline.

        Returns: the line with its newline, b"" at the end of the body.
        Raises:
            errors.ConnectionLost: the body is truncated.
            errors.Timeout: no data arrived in time.
        """
        with _translated_errors():
            return self._response.readline(b"\n")

    def close(self) -> None:
        """Close the connection unless the whole body was read."""
        self._response.release()


class HttpClient:
    """Sends signed requests and reuses the connections to each address."""

    __slots__ = ("_signer", "_clients", "_timeout_s")

    def __init__(self, signer: auth.Signer, timeout_s: float) -> None:
        self._signer = signer
        self._timeout_s = timeout_s
        self._clients: dict[str, _Client] = {}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Send a request and wait for the head of its response.

        A POST request is sent at most once; no layer repeats it.

        Args:
            address: "IP:PORT" of the receiver.
            path: path with its query.
        Raises:
            errors.NotConnected: nothing was sent.
            errors.ConnectionLost: the connection broke after the request may
                have been sent.
            errors.Timeout: no response arrived in time.
            errors.AuthenticationFailed: the response has no valid signature.
        """
        auth_header, nonce = self._signer.sign_request(
            f"{method} {path}", body
        )
        all_headers = {auth.HEADER: auth_header.hex(), **(headers or {})}
        client = self._get_client(address)
        with _translated_errors():
            response = _request(client, method, path, body, all_headers)
        answer = Response(response)
        answer.end_head()
        if answer.status > _HIGHEST_STATUS:
            answer.close()
            raise errors.ConnectionLost(f"invalid status {answer.status}")
        try:
            self._verify_signature(answer, nonce)
        except errors.AuthenticationFailed:
            answer.close()
            raise
        return answer

    def close(self) -> None:
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _verify_signature(self, answer: Response, nonce: bytes) -> None:
        try:
            signature = bytes.fromhex(answer.header(auth.REPLY_HEADER))
        except ValueError as error:
            raise errors.AuthenticationFailed(
                "malformed signature of a response"
            ) from error
        status = str(answer.status).encode()
        self._signer.verify_reply(nonce, signature, status)

    def _get_client(self, address: str) -> _Client:
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = _Client(host, int(port), self._timeout_s)
            self._clients[address] = client
        return client


class _Abandoned(OSError):
    """Nobody waits for the response; makes the library free the connection."""


def _request(
    client: geventhttpclient.HTTPClient, *arguments: object
) -> http_response.HTTPSocketPoolResponse:
    """Make a request in a way that allows the caller to be interrupted.

    The library leaks a slot of its connection pool when an exception other
    than OSError is raised in a greenlet that sends, so the request runs in a
    greenlet of its own.
    """

    def run() -> object:
        try:
            return client.request(*arguments)
        except BaseException as error:
            return error

    task = gevent.spawn(run)
    try:
        result = task.get()
    except BaseException:
        task.kill(_Abandoned("interrupted"), block=False)
        raise
    if isinstance(result, BaseException):
        raise result
    return result


class _translated_errors:
    """Turns errors of sockets and of the HTTP library into TransportError."""

    __slots__ = ()

    def __enter__(self) -> None:
        pass

    def __exit__(
        self, error_type: type, error: BaseException, traceback: object
    ) -> None:
        match error:
            case TimeoutError():
                raise errors.Timeout(str(error)) from error
            case OSError() | http_response.HTTPParseError():
                raise errors.ConnectionLost(str(error)) from error


def make_client(signer: auth.Signer, timeout_s: float) -> HttpClient:
    """Args: timeout_s: seconds without any data after which a call fails."""
    return HttpClient(signer, timeout_s)
