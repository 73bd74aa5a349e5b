"""Requests from entry to agent, and the agent's replies."""

import msgspec

from papayalink.protocol import errors

RELAY_PATH = "/relay"
CALL_PATH = "/call"
ORDER_PATH = "/order"


class RelayRequest(msgspec.Struct, frozen=True):
    """One attempt of a model request.

    Attributes:
        attempt_id: unique for each attempt of a request; repeated in the
            frames of the answer.
        request_id: the same in every process that handles the request.
        rank: name of the service rank.
        version: configuration version under which the entry admitted the
            request.
        weight_version: weights that must produce the answer.
        path: path of the engine's interface.
        body: the caller's JSON.
        deadline_s: seconds after its arrival within which the request must
            start.
        tokens: expected number of tokens of prompt and answer together.
        prompt_tokens: expected number of tokens of the prompt alone.
        adapter: adapter that the engine must have loaded, "" for the base
            model.
    """

    attempt_id: str
    request_id: str
    workspace: str
    rank: str
    version: int
    model: str
    weight_version: str
    path: str
    body: bytes
    deadline_s: float
    tokens: int
    prompt_tokens: int = 0
    stream: bool = False
    adapter: str = ""


class CallRequest(msgspec.Struct, frozen=True):
    """One call of a plain service.

    Attributes:
        claim_id: claim in the ledger; empty when the call is not protected
            and may be repeated.
        key: idempotency key of the claim.
    """

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    claim_id: str = ""
    key: str = ""


class Answered(msgspec.Struct, frozen=True, tag=True):
    """The upstream's answer."""

    status: int
    content_type: str
    body: bytes


class NotRun(msgspec.Struct, frozen=True, tag=True):
    """The call did not reach the upstream and never will."""

    reason: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """The call may have run."""

    reason: str


CallReply = Answered | NotRun | OutcomeUnknown


def encode(request: RelayRequest | CallRequest | CallReply) -> bytes:
    return msgspec.msgpack.encode(request)


def decode_relay(data: bytes) -> RelayRequest:
    """Raises: errors.MessageInvalid: the bytes are not a relay request."""
    return _decode(data, RelayRequest)


def decode_call(data: bytes) -> CallRequest:
    """Raises: errors.MessageInvalid: the bytes are not a call request."""
    return _decode(data, CallRequest)


def decode_reply(data: bytes) -> CallReply:
    """Raises: errors.MessageInvalid: the bytes are not a reply."""
    return _decode(data, CallReply)


def _decode(data: bytes, expected_type: type) -> object:
    try:
        return msgspec.msgpack.decode(data, type=expected_type)
    except msgspec.MsgspecError as error:
        raise errors.MessageInvalid(str(error)) from error
