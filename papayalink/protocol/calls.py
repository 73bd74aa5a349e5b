"""Calls as an edge entry sees them, apart from how a wire spells them."""

from typing import Protocol

import msgspec

Headers = list[tuple[bytes, bytes]]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A piece of a prompt that several prompts may begin with."""

    part_id: str
    tokens: int


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller.

    Attributes:
        call_id: differs between attempts of the caller; "" when missing.
        method, target: as received, with the query.
        path: the target without its query.
        key: the caller's credential, "" for none.
        budget_ms: how long the caller waits, 0 when it does not say.
        model: model that is to run the prompt, "" for a plain call.
        prompt_tokens, output_tokens: size of the prompt, and the most that
            may be generated.
        hinted_tokens: the caller's estimate of what is generated, 0 for none.
        parts: the prompt's parts in order.
        last_event: id of the last event that the caller has, "" for none.
        headers: what an upstream gets unchanged.
    """

    call_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    key: str = ""
    budget_ms: int = 0
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int = 0
    parts: tuple[Part, ...] = ()
    last_event: str = ""
    headers: Headers = []
    body: bytes = b""

    @property
    def expected_tokens(self) -> int:
        """Tokens that are likely to be generated."""
        if not self.hinted_tokens:
            return self.output_tokens
        return min(self.hinted_tokens, self.output_tokens)


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """What the entry adds to a call that it sends to an upstream.

    Attributes:
        upstream: incarnation that is to take the call.
        workspace: whose key the caller gave, "" for none.
        left_ms: time that the upstream has.
        urgency: 0 for the most urgent to 9.
        salt: cached parts are found only under the same text.
        weight_version: the upstream refuses with another one; 0 for any.
        fetch, save: store address for each part, "" for none.
        last_event: the answer goes on behind this event; "" from its start.
    """

    upstream: str
    workspace: str = ""
    left_ms: int = 0
    urgency: int = 5
    salt: str = ""
    weight_version: int = 0
    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()
    last_event: str = ""


class Load(msgspec.Struct, frozen=True):
    """Requests at an upstream as it tells in an answer."""

    running: int
    waiting: int
    slots: int


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Head of an upstream's answer.

    Attributes:
        call_id: call that it answers, "" when it does not say.
        not_run: the upstream did not run the call and will not.
        stamped: it carries the upstream's proof of origin.
        upstream: incarnation that answered, "" when it does not say.
        retry_after_s: when to come back, None when it does not say.
        weight_version: weights that the answer was made with, 0 unknown.
        keep_alive_s: how long the connection may be idle, None unknown.
        headers: what the caller gets.
    """

    status: int
    call_id: str = ""
    not_run: bool = False
    stamped: bool = False
    upstream: str = ""
    load: Load | None = None
    retry_after_s: float | None = None
    weight_version: int = 0
    keep_alive_s: float | None = None
    headers: Headers = []


class Dialect(Protocol):
    """Spelling of calls and answers on one platform."""

    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> Call: ...

    def encode_call(self, call: Call, dispatch: Dispatch) -> Headers: ...

    def decode_answer(self, status: int, headers: Headers) -> Answer: ...

    def refusal_headers(
        self, call_id: str, retry_after_s: float | None
    ) -> Headers: ...
