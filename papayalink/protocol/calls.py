"""Calls and answers at an edge entry, independent of their wire format."""

from typing import Protocol

import msgspec

Headers = list[tuple[bytes, bytes]]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A section of a prompt; prompts may share their first sections."""

    part_id: str
    tokens: int


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request from a caller.

    Attributes:
        call_id: unique for each attempt of the caller; "" when missing.
        method: HTTP method as received.
        target: request target as received, with the query.
        path: the target without its query.
        key: the caller's credential, "" for none.
        budget_ms: how long the caller will wait, 0 when unspecified.
        model: model that runs the prompt, "" for a plain call.
        prompt_tokens: size of the prompt.
        output_tokens: largest number of tokens that may be generated.
        hinted_tokens: the caller's estimate of the tokens that will be
            generated, 0 for none.
        parts: the prompt's parts in order.
        last_event_id: id of the last event that the caller received, "" for
            none.
        resumes: id of the call that brought the first event of the stream that
            this call takes up, "" for none.
        headers: headers that are forwarded to the upstream unchanged.
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
    last_event_id: str = ""
    resumes: str = ""
    headers: Headers = []
    body: bytes = b""

    @property
    def expected_tokens(self) -> int:
        """Estimated number of tokens that will be generated."""
        if not self.hinted_tokens:
            return self.output_tokens
        return min(self.hinted_tokens, self.output_tokens)


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """What the entry adds to a call that it sends to an upstream.

    Attributes:
        upstream: incarnation that the call is addressed to.
        workspace: workspace that the caller's key belongs to, "" for none.
        remaining_ms: time left for the upstream to answer.
        urgency: from 0 for the most urgent to 9.
        salt: a cached part is only found by calls with the same salt.
        weight_version: an upstream with other weights refuses the call; 0
            accepts any.
        fetch_addresses: for each part the store address to fetch it from, ""
            for none.
        save_addresses: for each part the store address to save it to, "" for
            none.
        last_event_id: id of the event after which the answer resumes, "" to
            start from the beginning.
    """

    upstream: str
    workspace: str = ""
    remaining_ms: int = 0
    urgency: int = 5
    salt: str = ""
    weight_version: int = 0
    fetch_addresses: tuple[str, ...] = ()
    save_addresses: tuple[str, ...] = ()
    last_event_id: str = ""


class Load(msgspec.Struct, frozen=True):
    """Requests at an upstream, as reported in its answer."""

    running: int
    waiting: int
    slots: int


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an upstream's answer.

    Attributes:
        call_id: id of the answered call, "" when the answer has none.
        not_run: the upstream did not run the call and will not run it.
        has_server_stamp: the answer carries the upstream's proof of origin.
        upstream: incarnation that answered, "" when the answer has none.
        retry_after_s: delay before a retry, None when the answer has none.
        weight_version: weights that produced the answer, 0 when unknown.
        keep_alive_s: how long the connection may stay idle, None when
            unknown.
        limit_per_s: requests a second that the upstream takes from all
            entries together, None when it names no limit.
        leaving: the upstream says that it leaves.
        headers: headers that are passed on to the caller.
    """

    status: int
    call_id: str = ""
    not_run: bool = False
    has_server_stamp: bool = False
    upstream: str = ""
    load: Load | None = None
    retry_after_s: float | None = None
    weight_version: int = 0
    keep_alive_s: float | None = None
    limit_per_s: float | None = None
    leaving: bool = False
    headers: Headers = []


class Dialect(Protocol):
    """Maps calls and answers to the HTTP headers of one platform."""

    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> Call: ...

    def encode_call(self, call: Call, dispatch: Dispatch) -> Headers: ...

    def decode_answer(self, status: int, headers: Headers) -> Answer: ...

    def refusal_headers(
        self, call_id: str, retry_after_s: float | None
    ) -> Headers: ...
