"""Client of the console's JSON interface."""

import urllib.parse

import geventhttpclient
from geventhttpclient import response as responses
import msgspec

from papayalink.cli import errors
import papayalink.shape as shape

# An operator waits for an election, but not for a machine that is gone.
CONNECT_TIMEOUT_S = 3.0
# Above the time in which a member gives up on an outcome.
REPLY_TIMEOUT_S = 15.0
# Leadership may move while a request is redirected.
MAX_REDIRECTS = 3


class Reply(msgspec.Struct, frozen=True):
    """Answer of a console.

    Attributes:
        body: decoded JSON.
    """

    status: int
    body: object


class Client:
    """Sends requests to the first console that answers.

    A change carries a request id and is applied at most once, so it may
    be sent to several members.
    """

    __slots__ = ("_addresses", "_headers")

    def __init__(self, addresses: list[str], token: str) -> None:
        """Make a client.

        Args:
            addresses: "IP:PORT" of the consoles, tried in turn.
            token: console token.
        """
        self._addresses = addresses
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def document(self) -> dict:
        """Returns: version, digest and document in force."""
        return self._read("GET", "/api/document")

    def diff(self, document: bytes) -> dict:
        """Returns: version in force, changes from it, and their text."""
        return self._read("POST", "/api/diff", document)

    def history(self, count: int) -> list[dict]:
        """Returns: the last changes, newest first."""
        return self._read("GET", f"/api/history?count={count}")["versions"]

    def status(self) -> dict:
        """Returns: state of the group and its processes."""
        return self._read("GET", "/api/status")

    def call(self, workspace: str, key: str) -> dict:
        """Returns: record of a protected call."""
        parts = (
            urllib.parse.quote(part, safe="") for part in (workspace, key)
        )
        return self._read("GET", f"/api/calls/{'/'.join(parts)}")

    def apply(
        self, request_id: str, base_version: int, document: bytes, author: str
    ) -> Reply:
        """Send a change.

        Returns:
            The answer that holds the outcome.

        Raises:
            errors.OutcomeUnknown: a member may have accepted the change.
        """
        body = msgspec.json.encode(
            {
                "request_id": request_id,
                "base_version": base_version,
                "document": msgspec.Raw(document),
                "author": author,
            }
        )
        return self._send("PUT", "/api/document", body)

    def _read(self, method: str, path: str, body: bytes = b"") -> object:
        reply = self._send(method, path, body)
        if reply.status != 200:
            raise errors.Refused(f"the console refused: {describe(reply)}")
        return reply.body

    def _send(self, method: str, path: str, body: bytes) -> Reply:
        """Send a request to one console after the other.

        Raises:
            errors.Refused: the token is wrong.
            errors.NotReachable: no console answered.
            errors.OutcomeUnknown: as above, after a change was sent.
        """
        failures = []
        is_sent = False
        for address in self._addresses:
            try:
                reply = self._follow(address, method, path, body)
            except _Failed as error:
                is_sent = is_sent or error.is_sent
                failures.append(f"{error.address}: {error}")
                continue
            match reply.status:
                case 401:
                    raise errors.Refused(
                        f"{address}: the console token is missing or wrong;"
                        " set PAPAYALINK_TOKEN or give --token-file"
                    )
                case 503:
                    failures.append(f"{address}: {describe(reply)}")
                case 504:
                    is_sent = True
                    failures.append(f"{address}: {describe(reply)}")
                case _:
                    return reply
        text = "; ".join(failures)
        if is_sent and method == "PUT":
            raise errors.OutcomeUnknown(f"the outcome is unknown: {text}")
        raise errors.NotReachable(f"no control member answered: {text}")

    def _follow(
        self, address: str, method: str, path: str, body: bytes
    ) -> Reply:
        for _ in range(MAX_REDIRECTS + 1):
            reply, location = fetch(address, method, path, body, self._headers)
            if reply.status != 307:
                return reply
            target = urllib.parse.urlsplit(location)
            problems = []
            shape.check_address(target.netloc, "Location", problems)
            if target.scheme != "http" or problems:
                raise _Failed(address, f"redirects to {location!r}", False)
            address = target.netloc
        raise _Failed(address, "redirects too often", False)


class _Failed(Exception):
    """A console gave no answer.

    Attributes:
        is_sent: the request may have been received.
    """

    def __init__(self, address: str, text: str, is_sent: bool) -> None:
        super().__init__(text)
        self.address = address
        self.is_sent = is_sent


def get(address: str, path: str) -> object:
    """Read JSON from a process without the console token.

    Raises:
        errors.NotReachable: the process gave no answer.
        errors.Refused: the answer is an error.
    """
    try:
        reply, _ = fetch(address, "GET", path, b"", {})
    except _Failed as error:
        raise errors.NotReachable(f"{address}: {error}") from error
    if reply.status != 200:
        raise errors.Refused(f"{address} refused: {describe(reply)}")
    return reply.body


def fetch(
    address: str, method: str, path: str, body: bytes, headers: dict
) -> tuple[Reply, str]:
    """Send one request to one process.

    Returns:
        The answer, and the Location header if there is one.
    """
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host.strip("[]"),
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=REPLY_TIMEOUT_S,
    )
    try:
        answer = client.request(method, path, body=body, headers=headers)
        data = bytes(answer.read())
        status = answer.status_code
        location = answer.get("location") or ""
    except ConnectionRefusedError as error:
        raise _Failed(address, "connection refused", False) from error
    except (OSError, responses.HTTPParseError) as error:
        text = str(error) or type(error).__name__
        raise _Failed(address, f"no answer: {text}", True) from error
    finally:
        client.close()
    try:
        decoded = msgspec.json.decode(data) if data else None
    except msgspec.DecodeError:
        decoded = data.decode(errors="replace")[:200]
    return Reply(status, decoded), location


def describe(reply: Reply) -> str:
    """Returns: an error answer as one line."""
    match reply.body:
        case {"problems": [{"path": _}, *_] as problems}:
            return "; ".join(
                f"{each['path']}: {each['text']}; {each['fix']}"
                for each in problems
            )
        case {"title": title, "description": text}:
            return f"{title}: {text}"
        case {"title": title}:
            return title
        case {"text": str(text)} if text:
            return text
        case _:
            return f"status {reply.status}"
