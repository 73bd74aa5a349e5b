"""Translates HTTP headers of the platform's callers and upstreams."""

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
# Named without the prefix of the other headers.
_LIMIT = b"server-limit"
_PREFIXED_LIMIT = b"papayalink-server-limit"
_LEAVING = b"server-leaving"
_INSTANCE = b"papayalink-instance-id"
_VERSIONS = b"papayalink-model-versions"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_RETRY_AFTER = b"retry-after"

# Headers that only the system sets; they are dropped from callers' requests.
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
# Headers that apply to a single connection and are never forwarded.
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
_BEARER_PREFIX = "bearer "
_MAX_URGENCY = 9
# Longer numbers do not fit into 64 bits.
_MAX_DIGITS = 18
# Sums over many calls must fit too. No prompt is as long.
_MAX_TOKENS = 10**7
# A larger limit is none in practice, and its multiples must fit too.
_MAX_LIMIT_PER_S = 1e6


class PlatformDialect:
    """Decodes calls and answers, and encodes what the entry adds."""

    __slots__ = ()

    def decode_call(
        self, method: bytes, target: bytes, headers: calls.Headers, body: bytes
    ) -> calls.Call:
        """Returns: the call; values that cannot be parsed count as missing."""
        values = _first_values(headers)
        prompt_tokens, output_tokens = (
            min(_MAX_TOKENS, tokens)
            for tokens in _parse_ints(values.get(_TOKENS, ""), 2)
        )
        return calls.Call(
            call_id=values.get(_REQUEST_ID, ""),
            method=method,
            target=target,
            host=values.get(b"host", "").partition(":")[0].lower(),
            path=target.partition(b"?")[0].decode("latin-1"),
            key=_parse_key(values.get(b"authorization", "")),
            budget_ms=_parse_int(values.get(_DEADLINE, "")),
            model=values.get(_MODEL, ""),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            hinted_tokens=_parse_int(values.get(_LENGTH_HINT, "")),
            parts=_parse_parts(values.get(_PARTS, "")),
            resumes=values.get(_RESUMES, ""),
            last_event_id=str(_parse_int(values.get(_LAST_EVENT, "")) or ""),
            headers=_forwardable(headers, _RESERVED),
            body=body,
        )

    def encode_call(
        self, call: calls.Call, dispatch: calls.Dispatch
    ) -> calls.Headers:
        """Returns: the headers for an upstream."""
        added = {
            b"Papayalink-Expect-Instance": dispatch.upstream,
            b"Papayalink-Tenant-Id": dispatch.workspace,
            b"Papayalink-Deadline-Ms": str(max(1, dispatch.remaining_ms)),
            b"Papayalink-Cache-Salt": dispatch.salt,
            b"Last-Event-Id": dispatch.last_event_id,
        }
        if call.model:
            urgency = min(_MAX_URGENCY, max(0, dispatch.urgency))
            added[b"Papayalink-Request-Priority"] = str(urgency)
        if dispatch.weight_version:
            version = str(dispatch.weight_version)
            added[b"Papayalink-Expect-Version"] = version
        if any(dispatch.fetch_addresses):
            added[b"Papayalink-Kv-Fetch"] = _encode_addresses(
                dispatch.fetch_addresses
            )
        if any(dispatch.save_addresses):
            added[b"Papayalink-Kv-Save"] = _encode_addresses(
                dispatch.save_addresses
            )
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
        values = _first_values(headers)
        return calls.Answer(
            status=status,
            call_id=values.get(_REQUEST_ID, ""),
            # 421 means that the call was not run, also without the header.
            not_run=_NOT_RUN in values or status == 421,
            has_server_stamp=_STAMP in values,
            upstream=values.get(_INSTANCE, ""),
            load=_parse_load(values.get(_LOAD, "")),
            retry_after_s=_parse_decimal(values.get(_RETRY_AFTER, "")),
            weight_version=_parse_int(values.get(_VERSIONS, "")),
            keep_alive_s=_parse_keep_alive_s(values.get(b"keep-alive", "")),
            limit_per_s=_parse_limit(
                values.get(_LIMIT, values.get(_PREFIXED_LIMIT, ""))
            ),
            leaving=values.get(_LEAVING, "").strip() == "1",
            headers=_forwardable(headers, frozenset()),
        )

    def refusal_headers(
        self, call_id: str, retry_after_s: float | None
    ) -> calls.Headers:
        """Returns: headers of an answer that the entry itself generates."""
        headers = []
        if call_id:
            headers.append((b"Papayalink-Request-Id", call_id.encode()))
        if retry_after_s is not None:
            text = f"{retry_after_s:.2f}".encode()
            headers.append((b"Retry-After", text))
        return headers


def _first_values(headers: calls.Headers) -> dict[bytes, str]:
    values: dict[bytes, str] = {}
    for name, value in headers:
        values.setdefault(bytes(name).lower(), bytes(value).decode("latin-1"))
    return values


def _forwardable(
    headers: calls.Headers, dropped: frozenset[bytes]
) -> calls.Headers:
    """Returns: the headers that may be passed to the next hop."""
    connection_options = set()
    for name, value in headers:
        if bytes(name).lower() == b"connection":
            options = bytes(value).lower().split(b",")
            connection_options.update(option.strip() for option in options)
    # A Connection header must not remove the id of the call.
    connection_options.discard(_REQUEST_ID)
    return [
        (bytes(name), bytes(value))
        for name, value in headers
        if (lower_name := bytes(name).lower()) not in _HOP_BY_HOP
        and lower_name not in dropped
        and (
            lower_name not in connection_options
            or lower_name.startswith(b"papayalink-")
        )
    ]


def _parse_key(value: str) -> str:
    if value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return ""
    return value[len(_BEARER_PREFIX) :].strip()


def _parse_int(text: str) -> int:
    text = text.strip()
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    return 0


def _parse_ints(text: str, count: int) -> list[int]:
    numbers = [_parse_int(field) for field in text.split(",")][:count]
    return numbers + [0] * (count - len(numbers))


def _parse_parts(text: str) -> tuple[calls.Part, ...]:
    parts = []
    for field in text.split(","):
        part_id, _, tokens = field.strip().partition(":")
        if not part_id or not _parse_int(tokens):
            return tuple(parts)
        part_tokens = min(_MAX_TOKENS, _parse_int(tokens))
        parts.append(calls.Part(part_id, part_tokens))
    return tuple(parts)


def _parse_load(text: str) -> calls.Load | None:
    if text.count(",") != 2:
        return None
    return calls.Load(*_parse_ints(text, 3))


def _parse_decimal(text: str) -> float | None:
    """Returns: the number if it is finite and not negative, else None."""
    try:
        number = float(text) if text else -1.0
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def _parse_limit(text: str) -> float | None:
    limit_per_s = _parse_decimal(text)
    if limit_per_s is None:
        return None
    return min(_MAX_LIMIT_PER_S, limit_per_s)


def _parse_keep_alive_s(text: str) -> float | None:
    for field in text.split(","):
        name, _, value = field.partition("=")
        if name.strip().lower() == "timeout" and _parse_int(value):
            return float(_parse_int(value))
    return None


def _encode_addresses(addresses: tuple[str, ...]) -> str:
    """Returns: the address for each part, "-" for a part without one."""
    return ",".join(address or "-" for address in addresses)


def make_dialect() -> PlatformDialect:
    return PlatformDialect()
