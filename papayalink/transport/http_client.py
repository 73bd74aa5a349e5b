"""HTTP calls to the system's own processes."""

from collections.abc import Mapping

import gevent
from gevent import socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response

from papayalink.transport import auth
from papayalink.transport import errors

# Above a round trip between regions, and short enough that a request that met
# a lost VM can reach its target of 1.6 s at another one.
CONNECT_TIMEOUT_S = 0.5
# A connection is bound to one stream, so the pool is as large as the number
# of streams that one process may hold open to another.
MAX_CONNECTIONS = 512
_BLOCK_BYTES = 65_536


class _Pool(connectionpool.ConnectionPool):
    """Tells failures to connect from those of a connection."""

    def get_socket(self) -> socket.socket:
        try:
            return super().get_socket()
        except OSError as error:
            raise errors.NotConnected(str(error)) from error


class _Client(geventhttpclient.HTTPClient):
    """Client of one address, with a pool of its own kind."""

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        super().__init__(host, port, block_size=_BLOCK_BYTES)
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
    """An answer whose body is read as it arrives."""

    __slots__ = ("_response",)

    def __init__(self, response: http_response.HTTPSocketResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        return self._response.status_code

    def header(self, name: str) -> str:
        """Returns: value of a header, "" when it is missing."""
        return self._response.get(name) or ""

    def read(self) -> bytes:
        """Read the whole body.

        Raises:
            errors.ConnectionLost: the body is not complete.
            errors.Timeout: no data in time.
        """
        with _translated():
            data = self._response.read()
        if not self._response.message_complete:
            raise errors.ConnectionLost("body is incomplete")
        return data

    def readline(self) -> bytes:
        """Read up to the next newline.

        Returns: the line with its newline, b"" at the end of the body.
        Raises:
            errors.ConnectionLost: the body stopped before its end.
            errors.Timeout: no data in time.
        """
        with _translated():
            return self._response.readline(b"\n")

    def close(self) -> None:
        """Close the connection unless the whole body was read."""
        self._response.release()


class HttpClient:
    """Sends signed requests; keeps connections to each address."""

    __slots__ = ("_signer", "_pools", "_timeout_s")

    def __init__(self, signer: auth.Signer, timeout_s: float) -> None:
        self._signer = signer
        self._timeout_s = timeout_s
        self._pools: dict[str, _Client] = {}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Send a request and wait for the head of its answer.

        A request is sent once; no layer repeats a POST.

        Args:
            address: "IP:PORT" of the receiver.
            path: path with its query.
        Raises:
            errors.NotConnected: nothing was sent.
            errors.ConnectionLost: broke after it may have been sent.
            errors.Timeout: no answer in time.
            errors.AuthenticationFailed: the answer is not signed.
        """
        head, nonce = self._signer.seal(f"{method} {path}", body)
        sent_headers = {auth.HEADER: head.hex(), **(headers or {})}
        pool = self._pool(address)
        with _translated():
            response = _request(pool, method, path, body, sent_headers)
        answer = Response(response)
        try:
            self._check(answer, nonce)
        except errors.AuthenticationFailed:
            answer.close()
            raise
        return answer

    def close(self) -> None:
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def _check(self, answer: Response, nonce: bytes) -> None:
        try:
            signature = bytes.fromhex(answer.header(auth.REPLY_HEADER))
        except ValueError as error:
            raise errors.AuthenticationFailed("malformed signature") from error
        status = str(answer.status).encode()
        self._signer.open_reply(nonce, signature, status)

    def _pool(self, address: str) -> _Client:
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = _Client(host, int(port), self._timeout_s)
            self._pools[address] = pool
        return pool


class _Abandoned(OSError):
    """Nobody waits for the answer; the library frees the connection."""


def _request(
    pool: geventhttpclient.HTTPClient, *arguments: object
) -> http_response.HTTPSocketPoolResponse:
    """Make a request that may be interrupted.

    The library loses a place of its pool when a greenlet that sends gets an
    exception other than an OSError, so it runs in a greenlet of its own.
    """

    def run() -> object:
        try:
            return pool.request(*arguments)
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


class _translated:
    """Turns errors of sockets and of the HTTP library into our own."""

    __slots__ = ()

    def __enter__(self) -> None:
        pass

    def __exit__(
        self, kind: type, error: BaseException, trace: object
    ) -> None:
        match error:
            case TimeoutError():
                raise errors.Timeout(str(error)) from error
            case OSError() | http_response.HTTPParseError():
                raise errors.ConnectionLost(str(error)) from error


def make_client(signer: auth.Signer, timeout_s: float) -> HttpClient:
    """Args: timeout_s: seconds without any data until a call fails."""
    return HttpClient(signer, timeout_s)
