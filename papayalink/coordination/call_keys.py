"""Keys by which entries relate a call to earlier ones."""

import hashlib

from papayalink.protocol import calls

MAX_KEY_LENGTH = 32
# Parts never have a key with this prefix.
_REQUEST_PREFIX = "request "
_REQUEST_DIGEST_BYTES = (MAX_KEY_LENGTH - len(_REQUEST_PREFIX)) // 2


def part_key(part_id: str) -> str:
    """Returns: the key of a part, of bounded length."""
    if len(part_id) <= MAX_KEY_LENGTH and not is_request_key(part_id):
        return part_id
    return hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()


def bounded_key(key: str) -> str:
    """Returns: a key that another process has reported."""
    return key if len(key) <= MAX_KEY_LENGTH else part_key(key)


def request_key(call: calls.Call, caller: str) -> str:
    """Returns: the key that a call shares with its repetitions alone.

    Each repetition has a call id of its own, and may have another deadline.
    """
    digest = hashlib.blake2b(digest_size=_REQUEST_DIGEST_BYTES)
    fields = (
        caller.encode(),
        call.method,
        call.host.encode(),
        call.target,
        call.body,
    )
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return _REQUEST_PREFIX + digest.hexdigest()


def is_request_key(key: str) -> bool:
    return key.startswith(_REQUEST_PREFIX)


class CallKeys:
    """Keys of one call.

    Attributes:
        parts: keys of all parts but the last, which is the prompt's own.
    """

    __slots__ = ("parts", "_call", "_caller", "_request")

    def __init__(self, call: calls.Call, caller: str) -> None:
        self.parts = tuple(part_key(part.part_id) for part in call.parts[:-1])
        self._call = call
        self._caller = caller
        self._request: str | None = None

    @property
    def request(self) -> str:
        """Key of the request, see `request_key`; computed when needed."""
        if self._request is None:
            self._request = request_key(self._call, self._caller)
        return self._request


def make_call_keys(call: calls.Call, caller: str) -> CallKeys:
    """Returns: the keys of a call.

    Args:
        caller: workspace of the caller, or its key if it has none.
    """
    return CallKeys(call, caller)
