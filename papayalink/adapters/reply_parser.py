"""Parsing of the reply to one request."""

from geventhttpclient import response as responses

_LOWEST_STATUS = 100
_LOWEST_FINAL_STATUS = 200
# A status beyond it is invalid (RFC 9110, section 15).
_HIGHEST_STATUS = 599
_SWITCHING_PROTOCOLS = 101
# Transfer codings that leave a body as it is, once its chunks are joined.
_READABLE_CODINGS = ("chunked", "identity")


class ReplyParser(responses.HTTPSocketResponse):
    """Reads a reply from a socket that its caller owns.

    The library lets go of its socket at the end of each message, and an
    interim response is a message of its own: what arrives after that would be
    missing, without an error. Here the socket stays until its owner closes it.

    The library also parses what follows a reply in the same segment, and
    joins its body to that of the reply. Here the reply ends with its own
    message, and its connection is not used again.

    A reply with an invalid status is none, nor is one that switches to a
    protocol that nobody asked for, or whose body has a transfer coding that
    is not undone here.
    """

    def __init__(self, *arguments: object, **options: object) -> None:
        self._final_status = 0
        self._has_extra_bytes = False
        super().__init__(*arguments, **options)

    def get_code(self) -> int:
        """Returns: the reply's status, that of an interim one before it."""
        return self._final_status or super().get_code()

    def should_close(self) -> bool:
        return self._has_extra_bytes or super().should_close()

    def release(self) -> None:
        """Keep the socket."""

    def discard_body(self) -> None:
        """Free what was read of the body."""
        self._body_buffer.clear()

    def feed(self, data: bytes) -> None:
        try:
            super().feed(data)
        except responses.HTTPParseError:
            if not self._has_ended():
                raise
            self._has_extra_bytes = True

    def _has_ended(self) -> bool:
        return self.message_complete and bool(self._final_status)

    def _on_message_begin(self) -> None:
        if self._has_ended():
            raise responses.HTTPProtocolViolationError("reply has ended")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        status = self.get_code()
        if (
            not _LOWEST_STATUS <= status <= _HIGHEST_STATUS
            or status == _SWITCHING_PROTOCOLS
        ):
            raise responses.HTTPProtocolViolationError(
                f"invalid status {status}"
            )
        if status >= _LOWEST_FINAL_STATUS:
            self._final_status = status
        ends = super()._on_headers_complete()
        coding = self.get("transfer-encoding", _READABLE_CODINGS[0])
        if (
            not isinstance(coding, str)
            or coding.strip().lower() not in _READABLE_CODINGS
        ):
            raise responses.HTTPProtocolViolationError(
                f"transfer coding {coding!r} is not supported"
            )
        return ends
