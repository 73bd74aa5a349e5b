"""Open-loop load: requests at planned times, with what became of each."""

import collections
import errno
import math
import time

import gevent
import geventhttpclient
import msgspec

# Connections of one address. Above the requests that any scenario has in
# flight, so that the generator never waits for one.
CONCURRENCY = 2000

TIMEOUT_S = 60.0

_REDIRECTED = (errno.ECONNREFUSED,)


class Record(msgspec.Struct):
    """One request; times in seconds after the intended send time.

    Attributes:
        at: intended send time, seconds after the start.
        lag_s: how late the generator sent it.
        ttft_s: time to the first event, None without one.
        gaps_s: times between tokens.
        status: 0 when the connection failed.
        error: code of a refusal or kind of a failure.
        reason: text of a refusal.
        redirects: entries that refused the connection before.
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


class Shot(msgspec.Struct):
    """A planned request.

    Attributes:
        at: seconds after the start.
        body: encoded body, streamed and with usage.
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
        addresses: entries, used in turn like a balancer does.
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
                concurrency=CONCURRENCY,
                network_timeout=TIMEOUT_S,
            )

    def send(self, shot: Shot, intended: float) -> Record:
        """Send one request and read its answer.

        Args:
            intended: time.perf_counter() at which it was to be sent.
        """
        record = Record(shot.at, shot.rank, shot.workspace, shot.kind)
        record.lag_s = time.perf_counter() - intended
        # A copy, since other requests take turns while this one waits.
        turn = self._turn = self._turn + 1
        for step in range(len(self._addresses)):
            place = (turn + step) % len(self._addresses)
            try:
                self._exchange(
                    self._clients[self._addresses[place]],
                    shot,
                    record,
                    intended,
                )
            except (
                OSError,
                geventhttpclient.response.HTTPParseError,
            ) as error:
                record.error = type(error).__name__
                if (
                    isinstance(error, OSError)
                    and error.errno in _REDIRECTED
                    and not record.status
                ):
                    # Nothing was sent, so a balancer goes to another entry.
                    record.redirects += 1
                    continue
            break
        record.end_s = time.perf_counter() - intended
        return record

    def close(self) -> None:
        for client in self._clients.values():
            client.close()

    def _exchange(self, client, shot, record, intended) -> None:
        response = client.request(
            "POST",
            "/v1/completions",
            shot.body,
            {
                "Authorization": f"Bearer {shot.token}",
                "Content-Type": "application/json",
            },
        )
        record.status = response.status_code
        if record.status != 200:
            record.error, record.reason = _error(response.read())
            return
        try:
            self._read(response, record, intended)
        finally:
            response.release()

    def _read(self, response, record, intended) -> None:
        before = last = b""
        came = intended
        while True:
            part = response.readline(b"\n\n")
            if not part:
                break
            now = time.perf_counter()
            if record.ttft_s is None:
                record.ttft_s = now - intended
            else:
                record.gaps_s.append(now - came)
            came = now
            record.tokens += 1
            before, last = last, part
        record.complete = last.startswith(b"data: [DONE]")
        if not record.complete:
            record.error = record.error or "cut"
            return
        # The end mark and the usage are no tokens.
        record.tokens -= 2
        del record.gaps_s[-2:]
        usage = msgspec.json.decode(before.removeprefix(b"data: "))["usage"]
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
    shots: list[Shot],
    events: list[tuple[float, object]] = (),
) -> list[Record]:
    """Send all requests at their times, whatever became of earlier ones.

    Args:
        events: functions to call, with seconds after the start.
    """
    began = time.perf_counter() + 0.2
    others = [
        gevent.spawn_later(began + at - time.perf_counter(), action)
        for at, action in events
    ]
    running = []
    for shot in sorted(shots, key=lambda one: one.at):
        delay = began + shot.at - time.perf_counter()
        # Also lets answers be read when the generator is late.
        gevent.sleep(max(0.0, delay))
        running.append(gevent.spawn(sender.send, shot, began + shot.at))
    gevent.joinall(running, raise_error=True)
    gevent.joinall(others, raise_error=True)
    return [one.value for one in running]


def percentile(values: list[float], part: float) -> float | None:
    """Returns: the smallest value that `part` of the values do not exceed."""
    if not values:
        return None
    return sorted(values)[max(0, math.ceil(part * len(values)) - 1)]


def milliseconds(values: list[float], *parts: float) -> dict:
    """Returns: percentiles of seconds, in milliseconds, and the count."""
    found: dict[str, float | int | None] = {"count": len(values)}
    for part in parts:
        value = percentile(values, part)
        found[f"p{part * 100:g}_ms"] = (
            None if value is None else round(value * 1000, 2)
        )
    return found


def count_reasons(records: list[Record]) -> dict[str, int]:
    """Returns: number of requests without an answer by what they got."""
    counts = collections.Counter(
        f"{one.status} {one.error} {one.reason}".strip()
        for one in records
        if not one.complete
    )
    return dict(counts)


def _error(data: bytes) -> tuple[str, str]:
    """Returns: code and text of an error body."""
    try:
        error = msgspec.json.decode(data)["error"]
        return str(error["code"]), str(error["message"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "unreadable", ""
