"""Authentication between processes with the deployment key."""

import collections
import hashlib
import hmac
import math
import os
import struct

from papayalink import clock as clocks
from papayalink.transport import errors

MAX_CLOCK_SKEW_S = 30.0
SIGNATURE_BYTES = 32
_NONCE_BYTES = 16
_AUTH_HEADER_LAYOUT = struct.Struct(">d16s32s")

HEADER = "X-Papayalink-Auth"
REPLY_HEADER = "X-Papayalink-Reply-Auth"


class Signer:
    """Signs and verifies requests and replies.

    The signature of a reply covers the nonce of its request, so that a reply
    to another request is not accepted.

    Args:
        key: deployment key, at least 32 bytes.
        clock: gives the wall-clock time at which requests are sent and
            received.
    """

    __slots__ = ("_key", "_clock", "_seen_nonces", "_nonces_by_time")

    def __init__(self, key: bytes, clock: clocks.Clock) -> None:
        self._key = key
        self._clock = clock
        self._seen_nonces: set[bytes] = set()
        self._nonces_by_time: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )

    def sign_request(self, context: str, body: bytes) -> tuple[bytes, bytes]:
        """Sign a request.

        Args:
            context: method and path, covered by the signature.
            body: body of the request.
        Returns: (header to send with the request, nonce that its reply has to
            be signed with).
        """
        sent_at = self._clock.wall()
        nonce = os.urandom(_NONCE_BYTES)
        signature = self._sign(
            context, struct.pack(">d", sent_at), nonce, body
        )
        return _AUTH_HEADER_LAYOUT.pack(sent_at, nonce, signature), nonce

    def verify_request(
        self, context: str, auth_header: bytes, body: bytes
    ) -> bytes:
        """Verify a request.

        Returns: the nonce of the request.
        Raises:
            errors.AuthenticationFailed: the request is forged, its time is
                too far from the local clock, or it was received before.
        """
        if len(auth_header) != _AUTH_HEADER_LAYOUT.size:
            raise errors.AuthenticationFailed("no signature")
        sent_at, nonce, signature = _AUTH_HEADER_LAYOUT.unpack(auth_header)
        expected = self._sign(context, struct.pack(">d", sent_at), nonce, body)
        if not hmac.compare_digest(expected, signature):
            raise errors.AuthenticationFailed("wrong signature")
        received_at = self._clock.wall()
        if math.isnan(sent_at):
            raise errors.AuthenticationFailed("request has no time")
        age_s = received_at - sent_at
        if age_s > MAX_CLOCK_SKEW_S:
            raise errors.AuthenticationFailed("request is too old")
        if age_s < -MAX_CLOCK_SKEW_S:
            raise errors.AuthenticationFailed("request is from the future")
        self._record_nonce(nonce, received_at)
        return nonce

    def sign_reply(self, nonce: bytes, body: bytes) -> bytes:
        """Returns: signature of a reply to the request with this nonce."""
        return self._sign("reply", b"", nonce, body)

    def verify_reply(
        self, nonce: bytes, signature: bytes, body: bytes
    ) -> None:
        """Verify a reply.

        Raises:
            errors.AuthenticationFailed: the sender does not hold the key,
                or the reply belongs to another request.
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

    def _record_nonce(self, nonce: bytes, received_at: float) -> None:
        # A nonce is kept for twice the maximum skew, because a request dated
        # in the future by the maximum skew is accepted for that long.
        while (
            self._nonces_by_time
            and self._nonces_by_time[0][0] < received_at - 2 * MAX_CLOCK_SKEW_S
        ):
            self._seen_nonces.discard(self._nonces_by_time.popleft()[1])
        if nonce in self._seen_nonces:
            raise errors.AuthenticationFailed("request was seen before")
        self._seen_nonces.add(nonce)
        self._nonces_by_time.append((received_at, nonce))


def make_signer(key: bytes, clock: clocks.Clock) -> Signer:
    return Signer(key, clock)
