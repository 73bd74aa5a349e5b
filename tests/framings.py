"""Answers in all framings, sound and faulty, and what may be read of them."""

import msgspec

_OK = b"HTTP/1.1 200 OK\r\nPapayalink-Server-Stamp: s\r\n"
_CALL_ID = b"Papayalink-Request-Id: c1\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
BODY = b"first"
# What a reader may make of an answer that is no sound one.
LOST = None


class Case(msgspec.Struct, frozen=True):
    """One answer.

    Attributes:
        head, body: bytes as they are sent.
        results: bodies that may be read, or LOST.
        method: method of the request.
        extra: number of bytes that follow the whole answer.
        ends_with_connection: whether nothing else ends it.
    """

    head: bytes
    body: bytes = b""
    results: tuple[bytes | None, ...] = (BODY,)
    method: str = "POST"
    extra: int = 0
    ends_with_connection: bool = False

    @property
    def sent(self) -> bytes:
        return self.head + self.body

    @property
    def whole_bytes(self) -> int:
        """Size of the answer without what follows it."""
        return len(self.sent) - self.extra

    @property
    def status(self) -> int:
        final_head = self.head.strip().split(b"\r\n\r\n")[-1]
        return int(final_head.split()[1])

    def may_read(self, cut, end, result):
        """Whether a result is right for an answer that ends after a cut.

        Args:
            end: "fin" or "rst".
        """
        if self.ends_with_connection:
            if end != "fin" or cut < len(self.head):
                return result is LOST
            if result is LOST:
                return LOST in self.results
            return result == self.sent[len(self.head) : cut]
        if cut < self.whole_bytes:
            return result is LOST
        if end == "rst" and self.extra and result is LOST:
            # The reset drops what has not been read.
            return True
        return result in self.results


def _ok(headers, body=BODY, *results, **fields):
    return Case(_OK + headers + b"\r\n", body, results or (BODY,), **fields)


def _chunks(body, *results, headers=_CHUNKED, **fields):
    return _ok(headers, body, *results, **fields)


_LENGTH = b"Content-Length: 5\r\n"
_ALL_CHUNKS = b"5\r\nfirst\r\n0\r\n\r\n"
_INTERIM = b"HTTP/1.1 %s Wait\r\n%s\r\n"

SOUND = {
    "length": _ok(_LENGTH),
    "length-extra": _ok(_LENGTH, b"firstXX", extra=2),
    "length-extra-answer": _ok(
        _LENGTH, BODY + _OK + _LENGTH + b"\r\nother", extra=len(_OK) + 26
    ),
    "length-empty": _ok(b"Content-Length: 0\r\n", b"", b""),
    "length-closes": _ok(_LENGTH + b"Connection: close\r\n"),
    "length-keep-alive-0": _ok(_LENGTH + b"Keep-Alive: timeout=0\r\n"),
    "length-encoded": _ok(_LENGTH + b"Content-Encoding: gzip\r\n"),
    "length-1.0": Case(
        b"HTTP/1.0 200 OK\r\nPapayalink-Server-Stamp: s\r\n"
        + _LENGTH
        + b"\r\n",
        BODY,
    ),
    "no-reason": Case(
        b"HTTP/1.1 200 \r\nPapayalink-Server-Stamp: s\r\n" + _LENGTH + b"\r\n",
        BODY,
    ),
    "chunked": _chunks(_ALL_CHUNKS),
    "chunked-capital": _chunks(
        _ALL_CHUNKS, headers=b"Transfer-Encoding: Chunked\r\n"
    ),
    "chunk-extension": _chunks(b'5;a=b;c="d"\r\nfirst\r\n0;e\r\n\r\n'),
    "chunk-zeros": _chunks(b"0005\r\nfirst\r\n000\r\n\r\n"),
    "chunks": _chunks(b"1\r\nf\r\n4\r\nirst\r\n0\r\n\r\n"),
    "chunked-trailers": _chunks(b"5\r\nfirst\r\n0\r\nA: b\r\nC: d\r\n\r\n"),
    "chunked-extra": _chunks(_ALL_CHUNKS + b"5\r\nother\r\n", extra=10),
    "chunked-empty": _chunks(b"0\r\n\r\n", b""),
    "connection": _ok(b"", ends_with_connection=True),
    "connection-keep-alive": _ok(
        b"Connection: keep-alive\r\nKeep-Alive: timeout=9\r\n",
        ends_with_connection=True,
    ),
    "connection-1.0": Case(
        b"HTTP/1.0 200 OK\r\nPapayalink-Server-Stamp: s\r\n\r\n",
        BODY,
        ends_with_connection=True,
    ),
    "connection-like-chunks": Case(
        _OK + b"\r\n",
        _ALL_CHUNKS,
        (_ALL_CHUNKS,),
        ends_with_connection=True,
    ),
    "interim-100": Case(
        _INTERIM % (b"100", b"") + _OK + _LENGTH + b"\r\n", BODY
    ),
    "interim-three": Case(
        _INTERIM % (b"100", b"")
        + _INTERIM % (b"102", b"A: b\r\n")
        + _INTERIM % (b"103", b"Link: </a>\r\n")
        + _OK
        + _CHUNKED
        + b"\r\n",
        _ALL_CHUNKS,
    ),
    "head-length": _ok(_LENGTH, b"", b"", method="HEAD"),
    "head-chunked": _ok(_CHUNKED, b"", b"", method="HEAD"),
    "head-body": _ok(_LENGTH, BODY, b"", method="HEAD", extra=5),
    "204": Case(
        b"HTTP/1.1 204 No\r\nPapayalink-Server-Stamp: s\r\n\r\n", b"", (b"",)
    ),
    "204-body": Case(
        b"HTTP/1.1 204 No\r\nPapayalink-Server-Stamp: s\r\n"
        + _LENGTH
        + b"\r\n",
        BODY,
        (b"",),
        extra=5,
    ),
    "204-chunked": Case(
        b"HTTP/1.1 204 No\r\nPapayalink-Server-Stamp: s\r\n"
        + _CHUNKED
        + b"\r\n",
        _ALL_CHUNKS,
        (b"",),
        extra=len(_ALL_CHUNKS),
    ),
    "304-length": Case(
        b"HTTP/1.1 304 No\r\nPapayalink-Server-Stamp: s\r\n"
        + _LENGTH
        + b"\r\n",
        b"",
        (b"",),
    ),
}
# Readers may refuse these or read them as RFC 9112 says, in no other way.
FAULTY = {
    "lengths-equal": _ok(_LENGTH + _LENGTH, BODY, BODY, LOST),
    "lengths-list": _ok(b"Content-Length: 5, 5\r\n", BODY, BODY, LOST),
    "lengths-differ": _ok(_LENGTH + b"Content-Length: 3\r\n", BODY, LOST),
    "lengths-differ-3": _ok(b"Content-Length: 3\r\n" + _LENGTH, BODY, LOST),
    "length-too-long": _ok(b"Content-Length: 9\r\n", BODY, LOST),
    "length-sign": _ok(b"Content-Length: +5\r\n", BODY, LOST),
    "length-negative": _ok(b"Content-Length: -5\r\n", BODY, LOST),
    "length-hex": _ok(b"Content-Length: 0x5\r\n", BODY, LOST),
    "length-none": _ok(b"Content-Length:\r\n", BODY, LOST),
    "length-text": _ok(b"Content-Length: 3 5\r\n", BODY, LOST),
    "length-huge": _ok(
        b"Content-Length: 18446744073709551621\r\n", BODY, LOST
    ),
    "length-space": _ok(b"Content-Length : 5\r\n", BODY, BODY, LOST),
    "length-folded": _ok(b"Content-Length:\r\n 5\r\n", BODY, BODY, LOST),
    "length-chunked": _ok(_LENGTH + _CHUNKED, _ALL_CHUNKS, BODY, LOST),
    "chunked-length": _ok(_CHUNKED + _LENGTH, _ALL_CHUNKS, BODY, LOST),
    "chunked-twice": _ok(_CHUNKED + _CHUNKED, _ALL_CHUNKS, BODY, LOST),
    "coding-gzip": _ok(b"Transfer-Encoding: gzip\r\n", BODY, LOST),
    "coding-gzip-chunked": _ok(
        b"Transfer-Encoding: gzip, chunked\r\n", _ALL_CHUNKS, LOST
    ),
    "coding-chunked-gzip": _ok(
        b"Transfer-Encoding: chunked, gzip\r\n", _ALL_CHUNKS, LOST
    ),
    "coding-unknown": _ok(b"Transfer-Encoding: xchunked\r\n", BODY, LOST),
    "coding-identity": _ok(
        b"Transfer-Encoding: identity\r\n",
        BODY,
        BODY,
        LOST,
        ends_with_connection=True,
    ),
    "coding-empty": _ok(b"Transfer-Encoding:\r\n", BODY, LOST),
    "coding-folded": _ok(
        b"Transfer-Encoding:\r\n chunked\r\n", _ALL_CHUNKS, BODY, LOST
    ),
    "chunked-1.0": Case(
        b"HTTP/1.0 200 OK\r\nPapayalink-Server-Stamp: s\r\n"
        + _CHUNKED
        + b"\r\n",
        _ALL_CHUNKS,
        (BODY, LOST),
    ),
    "chunk-sign": _chunks(b"+5\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-hex": _chunks(b"0x5\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-negative": _chunks(b"-5\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-empty": _chunks(b"\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-huge": _chunks(b"10000000000000005\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-short": _chunks(b"3\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-long": _chunks(b"7\r\nfirst\r\n0\r\n\r\n", LOST),
    "chunk-no-end": _chunks(b"5\r\nfirst\r\n", LOST),
    "chunk-space": _chunks(b"5 \r\nfirst\r\n0\r\n\r\n", BODY, LOST),
    "chunk-no-last-line": _chunks(b"5\r\nfirst\r\n0\r\n", LOST),
    "chunk-lf": _chunks(b"5\nfirst\n0\n\n", BODY, LOST),
    "trailer-length": _chunks(
        b"5\r\nfirst\r\n0\r\nContent-Length: 3\r\n\r\n", BODY, LOST
    ),
    "trailer-cut": _chunks(b"5\r\nfirst\r\n0\r\nA: b\r\n", LOST),
    "trailer-odd": _chunks(b"5\r\nfirst\r\n0\r\nA\r\n\r\n", BODY, LOST),
    "no-status-line": Case(b"first", b"", (LOST,)),
    "version-2": Case(
        b"HTTP/2.0 200 OK\r\n" + _LENGTH + b"\r\n", BODY, (BODY, LOST)
    ),
    "interim-length": Case(
        _INTERIM % (b"103", _LENGTH) + _OK + _LENGTH + b"\r\n",
        BODY,
        (BODY, LOST),
    ),
    "interim-chunked": Case(
        _INTERIM % (b"103", _CHUNKED) + _OK + _LENGTH + b"\r\n",
        BODY,
        (BODY, LOST),
    ),
    "interim-alone": Case(_INTERIM % (b"103", b""), b"", (LOST,)),
    "header-nul": _ok(_LENGTH + b"A: b\0c\r\n", BODY, BODY, LOST),
    "header-cr": _ok(b"A: b\r" + _LENGTH, BODY, LOST),
}
CASES = SOUND | FAULTY


def with_call_id(case):
    """Returns: the case, whose answers name the call."""
    head = case.head.replace(b"Stamp: s\r\n", b"Stamp: s\r\n" + _CALL_ID)
    return msgspec.structs.replace(case, head=head)
