"""Completion requests and errors in the format that model clients use."""

import msgspec

from papayalink.protocol import errors

PATHS = ("/v1/completions", "/v1/chat/completions")
DEFAULT_MAX_TOKENS = 256
# Rough estimate for queues and limits; the engine counts exactly.
_BYTES_PER_TOKEN = 4


class RequestInvalid(errors.ProtocolError):
    """The body is not a valid request; the message names the field."""


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list | None = None


class _Body(msgspec.Struct):
    model: str
    prompt: str | list[int] | None = None
    messages: list[_ChatMessage] | None = None
    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS
    service_tier: str = ""


class CompletionRequest(msgspec.Struct, frozen=True):
    """The fields of a caller's request that the system uses.

    Attributes:
        rank: service rank requested by `service_tier`, "" for none.
        prompt_tokens: exact for a list of tokens, otherwise an estimate.
        prompt_bytes: the encoded prompt, for prefix hints.
    """

    model: str
    rank: str
    stream: bool
    max_tokens: int
    prompt_tokens: int
    prompt_bytes: bytes


_DECODER = msgspec.json.Decoder(_Body)


def parse(path: str, data: bytes) -> CompletionRequest:
    """Parse and check a caller's request.

    Args:
        path: one of PATHS.
        data: the request body.
    Raises:
        RequestInvalid: the body is not JSON, or a field is missing or wrong.
    """
    try:
        body = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise RequestInvalid(str(error)) from error
    if body.max_tokens < 1:
        raise RequestInvalid("`$.max_tokens` must be at least 1")
    prompt = _encode_prompt(path, body)
    rank = (
        "" if body.service_tier in ("auto", "default") else body.service_tier
    )
    return CompletionRequest(
        model=body.model,
        rank=rank,
        stream=body.stream,
        max_tokens=body.max_tokens,
        prompt_tokens=_count_prompt_tokens(body, prompt),
        prompt_bytes=prompt,
    )


def _encode_prompt(path: str, body: _Body) -> bytes:
    if path == PATHS[1]:
        if not body.messages:
            raise RequestInvalid("`$.messages` is required")
        return msgspec.json.encode(body.messages)
    match body.prompt:
        case None:
            raise RequestInvalid("`$.prompt` is required")
        case str() as text:
            return text.encode()
        case tokens:
            return msgspec.msgpack.encode(tokens)


def _count_prompt_tokens(body: _Body, prompt: bytes) -> int:
    if isinstance(body.prompt, list):
        return len(body.prompt)
    return len(prompt) // _BYTES_PER_TOKEN + 1


def error_body(code: str, text: str, **details: object) -> bytes:
    """Returns: an error in the format that model clients expect."""
    error = {"code": code, "message": text, "type": code, **details}
    return msgspec.json.encode({"error": error})


def error_event(code: str, text: str) -> bytes:
    """Returns: the error body as a server-sent event."""
    return b"data: " + error_body(code, text) + b"\n\n"
