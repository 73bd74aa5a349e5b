"""Authentication between processes with the deployment key."""

import collections
import hashlib
import hmac
import os
import struct

from papayalink import clock as clocks
from papayalink.transport import errors

MAX_SKEW_S = 30.0
SIGNATURE_BYTES = 32
_NONCE_BYTES = 16
_HEAD = struct.Struct(">d16s32s")

HEADER = "X-Papayalink-Auth"
REPLY_HEADER = "X-Papayalink-Reply-Auth"


class Signer:
    """Signs and verifies requests and replies.

    A reply is signed over the nonce of its request, so that an answer to
    another request is not accepted.

    Args:
        key: deployment key, 32 bytes or more.
        clock: wall clock for the age of requests.
    """

    __slots__ = ("_key", "_clock", "_seen", "_by_age")

    def __init__(self, key: bytes, clock: clocks.Clock) -> None:
        self._key = key
        self._clock = clock
        self._seen: set[bytes] = set()
        self._by_age: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )

    def seal(self, context: str, body: bytes) -> tuple[bytes, bytes]:
        """Sign a request.

        Args:
            context: method and path, covered by the signature.
            body: the request's body.
        Returns: (head to send along, nonce for the reply).
        """
        sent_at = self._clock.wall()
        nonce = os.urandom(_NONCE_BYTES)
        signature = self._sign(
            context, struct.pack(">d", sent_at), nonce, body
        )
        return _HEAD.pack(sent_at, nonce, signature), nonce

    def open(self, context: str, head: bytes, body: bytes) -> bytes:
        """Verify a request.

        Returns: the request's nonce.
        Raises:
            errors.AuthenticationFailed: forged, too old, or seen before.
        """
        if len(head) != _HEAD.size:
            raise errors.AuthenticationFailed("no signature")
        sent_at, nonce, signature = _HEAD.unpack(head)
        expected = self._sign(context, struct.pack(">d", sent_at), nonce, body)
        if not hmac.compare_digest(expected, signature):
            raise errors.AuthenticationFailed("wrong signature")
        now = self._clock.wall()
        if abs(now - sent_at) > MAX_SKEW_S:
            raise errors.AuthenticationFailed("request is too old")
        self._remember(nonce, now)
        return nonce

    def seal_reply(self, nonce: bytes, body: bytes) -> bytes:
        """Returns: the signature of a reply to the request of the nonce."""
        return self._sign("reply", b"", nonce, body)

    def open_reply(self, nonce: bytes, signature: bytes, body: bytes) -> None:
        """Verify a reply.

        Raises:
            errors.AuthenticationFailed: the reply is not from a process
                that holds the key, or answers another request.
        """
        expected = self._sign("reply", b"", nonce, body)
        if not hmac.compare_digest(expected, signature):
            raise errors.AuthenticationFailed("wrong signature on a reply")

    def _sign(
        self, context: str, sent_at: bytes, nonce: bytes, body: bytes
    ) -> bytes:
        text = b"\0".join((context.encode(), sent_at.hex().encode(), nonce))
        digest = hashlib.sha256(body).digest()
        return hmac.digest(self._key, text + b"\0" + digest, "sha256")

    def _remember(self, nonce: bytes, now: float) -> None:
        # A nonce is kept for twice the accepted skew: a request stamped in
        # the future by that much stays acceptable for as long.
        while self._by_age and self._by_age[0][0] < now - 2 * MAX_SKEW_S:
            self._seen.discard(self._by_age.popleft()[1])
        if nonce in self._seen:
            raise errors.AuthenticationFailed("request was seen before")
        self._seen.add(nonce)
        self._by_age.append((now, nonce))


def make_signer(key: bytes, clock: clocks.Clock) -> Signer:
    return Signer(key, clock)
