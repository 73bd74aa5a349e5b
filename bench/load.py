"""Open-loop load: requests at planned times and the outcome of each."""

import collections
import errno
import math
import time

import gevent
import geventhttpclient
import msgspec

# Connections to one address. More than any scenario has requests in flight, so
# that the generator never waits for a connection.
MAX_CONNECTIONS = 2000

TIMEOUT_S = 60.0

_REDIRECT_ERRORS = (errno.ECONNREFUSED,)


class Record(msgspec.Struct):
    """One request; times are in seconds after the intended send time.

    Attributes:
        at: intended send time, seconds after the start.
        lag_s: how late the generator sent it.
        ttft_s: time to the first event, None without one.
        gaps_s: times between tokens.
        status: 0 when the connection failed.
        error: code of an error answer, or kind of a failure.
        reason: text of an error answer.
        redirects: number of entries that refused the connection before.
    """

    at: float
    rank: str
    workspace: str
    kind: str
    lag_s: float = 0.0
    ttft_s: float | None = None
    end_s: float | None = None
    status: int = 0
    complete: bool = False
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    error: str = ""
    reason: str = ""
    redirects: int = 0
    gaps_s: list[float] = []

    @property
    def refused(self) -> bool:
        return self.status == 503 and self.error == "not_run"

    @property
    def failed(self) -> bool:
        return not self.complete and not self.refused


class PlannedRequest(msgspec.Struct):
    """A planned request.

    Attributes:
        at: seconds after the start.
        kind: label by which a scenario tells its requests apart.
        body: encoded body that asks for a stream with its token usage.
    """

    at: float
    rank: str
    workspace: str
    kind: str
    token: str
    body: bytes


class Sender:
    """Sends streamed completions over pooled connections.

    Args:
        addresses: entries; requests are sent to them in turn, as by a
            balancer.
    """

    __slots__ = ("_addresses", "_clients", "_turn")

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._turn = 0
        self._clients = {}
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._clients[address] = geventhttpclient.HTTPClient(
                host,
                int(port),
                concurrency=MAX_CONNECTIONS,
                network_timeout=TIMEOUT_S,
            )

    def send(
        self, planned_request: PlannedRequest, intended_at: float
    ) -> Record:
        """Send one request and read its answer.

        Args:
            intended_at: planned send time by time.perf_counter().
        """
        record = Record(
            planned_request.at,
            planned_request.rank,
            planned_request.workspace,
            planned_request.kind,
        )
        record.lag_s = time.perf_counter() - intended_at
        # A copy, since other requests change the attribute while this one
        # waits.
        turn = self._turn = self._turn + 1
        for attempt in range(len(self._addresses)):
            index = (turn + attempt) % len(self._addresses)
            try:
                self._exchange(
                    self._clients[self._addresses[index]],
                    planned_request,
                    record,
                    intended_at,
                )
            except (
                OSError,
                geventhttpclient.response.HTTPParseError,
            ) as error:
                record.error = type(error).__name__
                if (
                    isinstance(error, OSError)
                    and error.errno in _REDIRECT_ERRORS
                    and not record.status
                ):
                    # Nothing was sent, so a balancer would try another entry.
                    record.redirects += 1
                    continue
            break
        record.end_s = time.perf_counter() - intended_at
        return record

    def close(self) -> None:
        for client in self._clients.values():
            client.close()

    def _exchange(self, client, planned_request, record, intended_at) -> None:
        response = client.request(
            "POST",
            "/v1/completions",
            planned_request.body,
            {
                "Authorization": f"Bearer {planned_request.token}",
                "Content-Type": "application/json",
            },
        )
        record.status = response.status_code
        if record.status != 200:
            record.error, record.reason = _decode_error(response.read())
            return
        try:
            self._read_stream(response, record, intended_at)
        finally:
            response.release()

    def _read_stream(self, response, record, intended_at) -> None:
        previous = last = b""
        previous_at = intended_at
        while True:
            event = response.readline(b"\n\n")
            if not event:
                break
            now = time.perf_counter()
            if record.ttft_s is None:
                record.ttft_s = now - intended_at
            else:
                record.gaps_s.append(now - previous_at)
            previous_at = now
            record.tokens += 1
            previous, last = last, event
        record.complete = last.startswith(b"data: [DONE]")
        if not record.complete:
            record.error = record.error or "cut"
            return
        # The last two events are the usage and the end mark, not tokens.
        record.tokens -= 2
        del record.gaps_s[-2:]
        usage = msgspec.json.decode(previous.removeprefix(b"data: "))["usage"]
        record.prompt_tokens = usage["prompt_tokens"]
        record.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]


def make_body(
    model: str, prompt: str, max_tokens: int, rank: str = ""
) -> bytes:
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    if rank:
        body["service_tier"] = rank
    return msgspec.json.encode(body)


def run(
    sender: Sender,
    planned_requests: list[PlannedRequest],
    events: list[tuple[float, object]] = (),
) -> list[Record]:
    """Send all requests at their times, whatever the state of earlier ones.

    Args:
        events: functions to call, each with its time in seconds after the
            start.
    """
    started_at = time.perf_counter() + 0.2
    actions = [
        gevent.spawn_later(started_at + at - time.perf_counter(), action)
        for at, action in events
    ]
    running = []
    for planned_request in sorted(planned_requests, key=lambda one: one.at):
        delay = started_at + planned_request.at - time.perf_counter()
        # Yields also when the generator is late, so that answers are read.
        gevent.sleep(max(0.0, delay))
        running.append(
            gevent.spawn(
                sender.send, planned_request, started_at + planned_request.at
            )
        )
    gevent.joinall(running, raise_error=True)
    gevent.joinall(actions, raise_error=True)
    return [one.value for one in running]


def percentile(values: list[float], fraction: float) -> float | None:
    """Returns: the smallest value that a fraction of values do not exceed."""
    if not values:
        return None
    return sorted(values)[max(0, math.ceil(fraction * len(values)) - 1)]


def milliseconds(values: list[float], *fractions: float) -> dict:
    """Returns: count of values in s, and percentiles of them in ms."""
    summary: dict[str, float | int | None] = {"count": len(values)}
    for fraction in fractions:
        value = percentile(values, fraction)
        summary[f"p{fraction * 100:g}_ms"] = (
            None if value is None else round(value * 1000, 2)
        )
    return summary


def count_reasons(records: list[Record]) -> dict[str, int]:
    """Returns: number of incomplete requests by status, code and reason."""
    counts = collections.Counter(
        f"{one.status} {one.error} {one.reason}".strip()
        for one in records
        if not one.complete
    )
    return dict(counts)


def _decode_error(data: bytes) -> tuple[str, str]:
    """Returns: code and text of an error body."""
    try:
        error = msgspec.json.decode(data)["error"]
        return str(error["code"]), str(error["message"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "unreadable", ""
