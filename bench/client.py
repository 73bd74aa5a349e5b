"""A caller of an entry, for the demo, tests and measurements."""

from collections.abc import Iterator
import json
import time

import geventhttpclient
import msgspec

from bench import deployment


class Answer(msgspec.Struct):
    """The answer to a call.

    Attributes:
        complete: whether the answer came to its regular end.
        ttft_s: seconds from sending to the first event, None without one.
        gaps_s: seconds between consecutive events.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    complete: bool = True
    ttft_s: float | None = None
    gaps_s: list[float] = []

    def json(self) -> dict:
        return json.loads(self.body)

    def events(self) -> list[dict]:
        """Returns: the JSON of each server-sent event except the end mark."""
        events = self.body.decode().split("\n\n")
        return [
            json.loads(event.removeprefix("data: "))
            for event in events
            if event.startswith("data: {")
        ]


class Caller:
    """Sends requests of one workspace to one entry.

    Args:
        address: "IP:PORT" of the entry.
        token: bearer token of the workspace.
    """

    __slots__ = ("_client", "_token")

    def __init__(
        self, address: str, token: str, timeout_s: float = 60.0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._token = token
        self._client = geventhttpclient.HTTPClient(
            host, int(port), concurrency=256, network_timeout=timeout_s
        )

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
        **headers: str,
    ) -> Answer:
        """Make a call and read its whole answer."""
        response = self._open(method, path, body, headers)
        data = response.read()
        return Answer(
            response.status_code,
            data,
            dict(response.items()),
            response.message_complete,
        )

    def complete(self, **body: object) -> Answer:
        """Request a completion that is not streamed."""
        return self.send("POST", "/v1/completions", body)

    def stream(self, limit: int | None = None, **body: object) -> Answer:
        """Request a streamed completion.

        Args:
            limit: disconnect after this many events, None for never.
        """
        started_at = time.perf_counter()
        body = {"stream": True, **body}
        response = self._open("POST", "/v1/completions", body, {})
        answer = Answer(response.status_code, b"", dict(response.items()))
        previous_at = started_at
        events = []
        for event in _read_events(response, answer):
            now = time.perf_counter()
            if answer.ttft_s is None:
                answer.ttft_s = now - started_at
            else:
                answer.gaps_s.append(now - previous_at)
            previous_at = now
            events.append(event)
            if limit is not None and len(events) >= limit:
                answer.complete = False
                break
        response.release()
        answer.body = b"".join(events)
        return answer

    def confirm(self, key: str, **body: object) -> Answer:
        """Confirm a price of the order service, a protected call."""
        return self.send(
            "POST",
            "/services/orders/prices/confirm",
            body,
            **{"Idempotency-Key": key},
        )

    def close(self) -> None:
        self._client.close()

    def _open(self, method, path, body, headers):
        content = b"" if body is None else msgspec.json.encode(body)
        if isinstance(body, bytes):
            content = body
        return self._client.request(
            method,
            path,
            content,
            {
                "Authorization": f"Bearer {self._token}",
                "Content-Type": "application/json",
                **headers,
            },
        )


def _read_events(response, answer: Answer) -> Iterator[bytes]:
    try:
        while True:
            event = response.readline(b"\n\n")
            if not event:
                return
            yield event
    except (OSError, geventhttpclient.response.HTTPParseError):
        answer.complete = False


def make_caller(address: str, token: str = deployment.TOKEN) -> Caller:
    return Caller(address, token)
