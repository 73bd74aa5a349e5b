"""Headers of callers and upstreams on the platform."""

from papayalink.protocol import calls

_REQUEST_ID = b"papayalink-request-id"
_DEADLINE = b"papayalink-deadline-ms"
_MODEL = b"papayalink-model"
_TOKENS = b"papayalink-token-usage"
_LENGTH_HINT = b"papayalink-length-hint"
_PARTS = b"papayalink-prefix-hash"
_STAMP = b"papayalink-server-stamp"
_NOT_RUN = b"papayalink-not-executed"
_LOAD = b"papayalink-server-load"
_INSTANCE = b"papayalink-instance-id"
_VERSIONS = b"papayalink-model-versions"
_LAST_EVENT = b"last-event-id"
_RETRY_AFTER = b"retry-after"

# Set by the system alone; what a caller sends under these names is dropped.
_RESERVED = frozenset(
    (
        _DEADLINE,
        _LAST_EVENT,
        b"authorization",
        b"papayalink-cache-salt",
        b"papayalink-expect-instance",
        b"papayalink-expect-version",
        b"papayalink-hold",
        b"papayalink-kv-backup",
        b"papayalink-kv-fetch",
        b"papayalink-kv-from",
        b"papayalink-kv-save",
        b"papayalink-kv-until",
        b"papayalink-pin-ms",
        b"papayalink-request-priority",
        b"papayalink-tenant-id",
        b"kv-from",
    )
)
# They concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_SCHEME = "bearer "
_MOST_URGENCY = 9


class PlatformDialect:
    """Decodes calls and answers, and spells what the entry adds."""

    __slots__ = ()

    def decode_call(
        self, method: bytes, target: bytes, headers: calls.Headers, body: bytes
    ) -> calls.Call:
        """Returns: the call; values that cannot be read count as missing."""
        found = _first_values(headers)
        prompt_tokens, output_tokens = _numbers(found.get(_TOKENS, ""), 2)
        return calls.Call(
            call_id=found.get(_REQUEST_ID, ""),
            method=method,
            target=target,
            host=found.get(b"host", "").partition(":")[0].lower(),
            path=target.partition(b"?")[0].decode("latin-1"),
            key=_key(found.get(b"authorization", "")),
            budget_ms=_number(found.get(_DEADLINE, "")),
            model=found.get(_MODEL, ""),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            hinted_tokens=_number(found.get(_LENGTH_HINT, "")),
            parts=_parts(found.get(_PARTS, "")),
            last_event=found.get(_LAST_EVENT, ""),
            headers=_forwarded(headers, _RESERVED),
            body=body,
        )

    def encode_call(
        self, call: calls.Call, dispatch: calls.Dispatch
    ) -> calls.Headers:
        """Returns: the headers for an upstream."""
        added = {
            b"Papayalink-Expect-Instance": dispatch.upstream,
            b"Papayalink-Tenant-Id": dispatch.workspace,
            b"Papayalink-Deadline-Ms": str(max(1, dispatch.left_ms)),
            b"Papayalink-Cache-Salt": dispatch.salt,
            b"Last-Event-Id": dispatch.last_event,
        }
        if call.model:
            urgency = min(_MOST_URGENCY, max(0, dispatch.urgency))
            added[b"Papayalink-Request-Priority"] = str(urgency)
        if dispatch.weight_version:
            version = str(dispatch.weight_version)
            added[b"Papayalink-Expect-Version"] = version
        if any(dispatch.fetch):
            added[b"Papayalink-Kv-Fetch"] = _addresses(dispatch.fetch)
        if any(dispatch.save):
            added[b"Papayalink-Kv-Save"] = _addresses(dispatch.save)
        headers = list(call.headers)
        if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
            length = str(len(call.body)).encode()
            headers.append((b"Content-Length", length))
        headers.extend(
            (name, value.encode()) for name, value in added.items() if value
        )
        return headers

    def decode_answer(
        self, status: int, headers: calls.Headers
    ) -> calls.Answer:
        """Returns: the head of an upstream's answer."""
        found = _first_values(headers)
        return calls.Answer(
            status=status,
            call_id=found.get(_REQUEST_ID, ""),
            # 421 is always given before a run, also without the header.
            not_run=_NOT_RUN in found or status == 421,
            stamped=_STAMP in found,
            upstream=found.get(_INSTANCE, ""),
            load=_load(found.get(_LOAD, "")),
            retry_after_s=_seconds(found.get(_RETRY_AFTER, "")),
            weight_version=_number(found.get(_VERSIONS, "")),
            keep_alive_s=_keep_alive_s(found.get(b"keep-alive", "")),
            headers=_forwarded(headers, frozenset()),
        )

    def refusal_headers(
        self, call_id: str, retry_after_s: float | None
    ) -> calls.Headers:
        """Returns: headers of an answer that the entry gives by itself."""
        headers = []
        if call_id:
            headers.append((b"Papayalink-Request-Id", call_id.encode()))
        if retry_after_s is not None:
            text = f"{retry_after_s:.2f}".encode()
            headers.append((b"Retry-After", text))
        return headers


def _first_values(headers: calls.Headers) -> dict[bytes, str]:
    found: dict[bytes, str] = {}
    for name, value in headers:
        found.setdefault(bytes(name).lower(), bytes(value).decode("latin-1"))
    return found


def _forwarded(
    headers: calls.Headers, dropped: frozenset[bytes]
) -> calls.Headers:
    """Returns: the headers that are not about one connection."""
    named = set()
    for name, value in headers:
        if bytes(name).lower() == b"connection":
            words = bytes(value).lower().split(b",")
            named.update(word.strip() for word in words)
    # A connection header must not remove what identifies the call.
    named.discard(_REQUEST_ID)
    return [
        (bytes(name), bytes(value))
        for name, value in headers
        if (lowered := bytes(name).lower()) not in _HOP_BY_HOP
        and lowered not in dropped
        and (lowered not in named or lowered.startswith(b"papayalink-"))
    ]


def _key(value: str) -> str:
    if value[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return value[len(_SCHEME) :].strip()


def _number(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else 0


def _numbers(text: str, count: int) -> list[int]:
    values = [_number(word) for word in text.split(",")][:count]
    return values + [0] * (count - len(values))


def _parts(text: str) -> tuple[calls.Part, ...]:
    parts = []
    for word in text.split(","):
        part_id, _, tokens = word.strip().partition(":")
        if not part_id or not _number(tokens):
            return tuple(parts)
        parts.append(calls.Part(part_id, _number(tokens)))
    return tuple(parts)


def _load(text: str) -> calls.Load | None:
    if text.count(",") != 2:
        return None
    return calls.Load(*_numbers(text, 3))


def _seconds(text: str) -> float | None:
    try:
        return max(0.0, float(text)) if text else None
    except ValueError:
        return None


def _keep_alive_s(text: str) -> float | None:
    for word in text.split(","):
        name, _, value = word.partition("=")
        if name.strip().lower() == "timeout" and _number(value):
            return float(_number(value))
    return None


def _addresses(addresses: tuple[str, ...]) -> str:
    """Returns: one address for each part, "-" where there is none."""
    return ",".join(address or "-" for address in addresses)


def make_dialect() -> PlatformDialect:
    return PlatformDialect()
