"""Client for the JSON API of the console."""

import urllib.parse

import geventhttpclient
from geventhttpclient import response as responses
import msgspec

from papayalink.cli import errors
import papayalink.shape as shape

# An operator waits for a leader election (REPLY_TIMEOUT_S), but not for a
# machine that is down.
CONNECT_TIMEOUT_S = 3.0
# Longer than a control member waits for the outcome of a change before it
# responds.
REPLY_TIMEOUT_S = 15.0
# More than one, since the leader may change while a request is redirected.
MAX_REDIRECTS = 3


class Reply(msgspec.Struct, frozen=True):
    """Response of a process.

    Attributes:
        status: HTTP status code.
        body: decoded JSON, the first 200 characters of a body that is not
            JSON, or None for an empty body.
    """

    status: int
    body: object


class Client:
    """Sends requests to the first console that responds.

    A change carries a request id and is applied at most once, so it can
    safely be sent to several control members.
    """

    __slots__ = ("_addresses", "_headers")

    def __init__(self, addresses: list[str], token: str) -> None:
        """Make a client.

        Args:
            addresses: "IP:PORT" of each console, tried in this order.
            token: console token; if empty, no Authorization header is sent.
        """
        self._addresses = addresses
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def document(self) -> dict:
        """Returns: the document in force, with its version and digest."""
        return self._read("GET", "/api/document")

    def diff(self, document: bytes) -> dict:
        """Returns: version in force, changes from it, rendered changes."""
        return self._read("POST", "/api/diff", document)

    def history(self, count: int) -> list[dict]:
        """Returns: the latest changes, newest first."""
        return self._read("GET", f"/api/history?count={count}")["versions"]

    def status(self) -> dict:
        """Returns: state of the control group and of the processes."""
        return self._read("GET", "/api/status")

    def call(self, workspace: str, key: str) -> dict:
        """Returns: the ledger record of a protected call."""
        parts = (
            urllib.parse.quote(part, safe="") for part in (workspace, key)
        )
        return self._read("GET", f"/api/calls/{'/'.join(parts)}")

    def apply(
        self, request_id: str, base_version: int, document: bytes, author: str
    ) -> Reply:
        """Send a change.

        Args:
            request_id: identifies the change, also when it is sent again.
            base_version: version that the document was edited from.
            document: the whole document as JSON.
            author: name that the history shows.

        Returns:
            The response, whose body holds the outcome.

        Raises:
            errors.OutcomeUnknown: a control member may have accepted the
                change.
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
            raise errors.Refused(
                f"the console refused the request: {describe_error(reply)}"
            )
        return reply.body

    def _send(self, method: str, path: str, body: bytes) -> Reply:
        """Try the consoles in order until one responds.

        Raises:
            errors.Refused: the token is missing or wrong.
            errors.NotReachable: no console responded, and no change can
                have been accepted.
            errors.OutcomeUnknown: no console responded, but one may have
                received the change.
        """
        failures = []
        may_have_arrived = False
        for address in self._addresses:
            try:
                reply = self._send_with_redirects(address, method, path, body)
            except _RequestFailed as error:
                may_have_arrived = may_have_arrived or error.may_have_arrived
                failures.append(f"{error.address}: {error}")
                continue
            match reply.status:
                case 401:
                    raise errors.Refused(
                        f"{address}: the console token is missing or wrong;"
                        " set PAPAYALINK_TOKEN or give --token-file"
                    )
                case 503:
                    failures.append(f"{address}: {describe_error(reply)}")
                case 504:
                    may_have_arrived = True
                    failures.append(f"{address}: {describe_error(reply)}")
                case _:
                    return reply
        text = "; ".join(failures)
        if may_have_arrived and method == "PUT":
            raise errors.OutcomeUnknown(
                f"the outcome of the change is unknown: {text}"
            )
        raise errors.NotReachable(f"no control member responded: {text}")

    def _send_with_redirects(
        self, address: str, method: str, path: str, body: bytes
    ) -> Reply:
        for _ in range(MAX_REDIRECTS + 1):
            reply, location = send_request(
                address, method, path, body, self._headers
            )
            if reply.status != 307:
                return reply
            target = urllib.parse.urlsplit(location)
            problems = []
            shape.check_address(target.netloc, "Location", problems)
            if target.scheme != "http" or problems:
                raise _RequestFailed(
                    address, f"invalid redirect to {location!r}", False
                )
            address = target.netloc
        raise _RequestFailed(address, "too many redirects", False)


class _RequestFailed(Exception):
    """A process did not respond to a request, or redirected it wrongly.

    Attributes:
        address: "IP:PORT" to which the request was sent.
        may_have_arrived: whether the process may have received the request.
    """

    def __init__(
        self, address: str, text: str, may_have_arrived: bool
    ) -> None:
        super().__init__(text)
        self.address = address
        self.may_have_arrived = may_have_arrived


def get(address: str, path: str) -> object:
    """Read JSON from any process; the console token is not sent.

    Raises:
        errors.NotReachable: the process did not respond.
        errors.Refused: the response is an error.
    """
    try:
        reply, _ = send_request(address, "GET", path, b"", {})
    except _RequestFailed as error:
        raise errors.NotReachable(f"{address}: {error}") from error
    if reply.status != 200:
        raise errors.Refused(
            f"{address} refused the request: {describe_error(reply)}"
        )
    return reply.body


def send_request(
    address: str, method: str, path: str, body: bytes, headers: dict
) -> tuple[Reply, str]:
    """Send one request to one process.

    Returns:
        The response, and its Location header or "".
    """
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host.strip("[]"),
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=REPLY_TIMEOUT_S,
    )
    try:
        response = client.request(method, path, body=body, headers=headers)
        response_body = bytes(response.read())
        status = response.status_code
        location = response.get("location") or ""
    except ConnectionRefusedError as error:
        raise _RequestFailed(address, "connection refused", False) from error
    except (OSError, responses.HTTPParseError) as error:
        text = str(error) or type(error).__name__
        raise _RequestFailed(address, f"no response: {text}", True) from error
    finally:
        client.close()
    try:
        decoded = msgspec.json.decode(response_body) if response_body else None
    except msgspec.DecodeError:
        decoded = response_body.decode(errors="replace")[:200]
    return Reply(status, decoded), location


def describe_error(reply: Reply) -> str:
    """Returns: the text of an error response, as one line."""
    match reply.body:
        case {"problems": [{"path": _}, *_] as problems}:
            return "; ".join(
                f"{problem['path']}: {problem['text']}; {problem['fix']}"
                for problem in problems
            )
        case {"title": title, "description": text}:
            return f"{title}: {text}"
        case {"title": title}:
            return title
        case {"text": str(text)} if text:
            return text
        case _:
            return f"status {reply.status}"
