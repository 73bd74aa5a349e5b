"""Splits a page of the platform's list into its entries.

Any writer may leave an entry of any bytes, which must not hide the others. The
page is decoded as JSON at first. If it cannot be, its entries are found by its
brackets and strings, without recursion. If these do not come in pairs either,
each sound entry is searched for by itself.
"""

from collections.abc import Callable
import re

import gevent
import msgspec

# Sound entries have three levels. Where the decoder gives up depends on the
# depth of its callers.
MAX_DEPTH = 32
# Sound entries have about 300 bytes, and 60 more for each model.
MAX_ENTRY_BYTES = 64 * 1024

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
# An unfinished string is a quotation mark by itself.
_TOKEN = re.compile(_STRING + rb'|[\[{]+|[\]}]+|[,:"]', re.DOTALL)
_BRACKET = re.compile(_STRING + rb'|[\[{\]}"]', re.DOTALL)
# Where an entry may start. Within a string, its quotation marks have a
# backslash.
_START = re.compile(rb'[\[,]\s*(?=\{\s*")')
_TOKEN_MEMBER = rb'"nextToken"\s*:\s*(null|"[^"\\]*")\s*'
_HEAD = re.compile(rb"\s*\{\s*" + _TOKEN_MEMBER + rb",")
_TAIL = re.compile(rb"\]\s*\}\s*\Z")
_TAIL_WITH_TOKEN = re.compile(rb"\]\s*,\s*" + _TOKEN_MEMBER + rb"\}\s*\Z")
_CLOSING = bytes.maketrans(b"[{", b"]}")
# Tokens between two switches to other greenlets, about 10 ms of work.
_TOKENS_PER_TURN = 20_000
# Bytes that a search for sound entries reads in vain before it gives up.
MAX_VAIN_BYTES = 4 * 1024 * 1024
# Levels of a page around its entries.
_PAGE_LEVELS = 2
_INSTANCES = b'"instances"'
_NEXT_TOKEN = b'"nextToken"'
_MEMBERS = {_INSTANCES, _NEXT_TOKEN}


class PageUnreadable(Exception):
    """The bytes are not a page of the list."""


class _BracketsUnpaired(Exception):
    """Some bytes close a bracket or string of the page, or open one."""


class Page(msgspec.Struct, frozen=True):
    """A page of the list.

    Attributes:
        entries: JSON of each entry, which may be invalid.
        next_token: token of the next page, None on the last one.
    """

    entries: tuple[bytes, ...]
    next_token: str | None


class _Page(msgspec.Struct, rename="camel"):
    instances: list[msgspec.Raw]
    next_token: str | None = None


def split(data: bytes, is_sound: Callable[[bytes], bool]) -> Page:
    """Split a page.

    Args:
        is_sound: returns whether bytes are a sound entry. If the brackets of
            the page do not match, only sound entries are found.
    Raises: PageUnreadable
    """
    try:
        page = msgspec.json.decode(data, type=_Page)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        pass
    else:
        entries = tuple(bytes(entry) for entry in page.instances)
        return Page(entries, page.next_token)
    try:
        return _Scanner(data).split()
    except _BracketsUnpaired:
        return _search(data, is_sound)


def is_deep(entry: bytes) -> bool:
    """Returns: whether an entry has more than MAX_DEPTH levels."""
    if entry.count(b"[") + entry.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for match in _BRACKET.finditer(entry):
        if match[0] in b"[{":
            depth += 1
        elif match[0] in b"]}":
            depth -= 1
        if depth > MAX_DEPTH:
            return True
    return False


class _Scanner:
    """Finds the members of a page and its entries by their brackets.

    Entries need not be valid JSON, as long as their brackets and quotation
    marks come in pairs.
    """

    __slots__ = (
        "_data",
        "_open",
        "_end",
        "_members",
        "_member_start",
        "_key",
        "_entries",
        "_entry_start",
    )

    def __init__(self, data: bytes) -> None:
        self._data = data
        # Closing brackets that are due, the innermost one last.
        self._open = bytearray()
        self._end = 0
        self._members: dict[bytes, bytes] = {}
        self._member_start = 0
        self._key = b""
        self._entries: list[bytes] = []
        self._entry_start = 0

    def split(self) -> Page:
        """Raises: PageUnreadable, _BracketsUnpaired"""
        if not self._data.lstrip().startswith(b"{"):
            raise PageUnreadable("not an object")
        for count, match in enumerate(_TOKEN.finditer(self._data), 1):
            if count % _TOKENS_PER_TURN == 0:
                gevent.sleep(0)
            self._read_token(match[0], match.start())
        if self._open or self._data[self._end :].strip():
            raise _BracketsUnpaired("does not end where it should")
        others = self._members.keys() - _MEMBERS
        if (
            b"" in self._entries
            or not self._members.get(_INSTANCES, b"").startswith(b"[")
            or not all(map(_is_json, others))
            or not all(_is_json(self._members[name]) for name in others)
        ):
            # An entry may have closed the list and opened another member.
            raise _BracketsUnpaired("no list, or another member is invalid")
        token = _decode_token(self._members.get(_NEXT_TOKEN, b"null"))
        return Page(tuple(self._entries), token)

    def _read_token(self, token: bytes, start: int) -> None:
        if token[0] in b"[{":
            self._read_opening(token, start)
        elif token[0] in b"]}":
            self._read_closing(token, start)
        elif token == b'"':
            raise _BracketsUnpaired("unfinished string")
        elif token == b",":
            if len(self._open) == 1:
                self._end_member(start)
            elif self._in_entries:
                self._end_entry(start)
        elif token == b":" and len(self._open) == 1:
            self._key = self._data[self._member_start : start].strip()
            self._member_start = start + 1

    @property
    def _in_entries(self) -> bool:
        """Whether the innermost open bracket is that of the entries."""
        return len(self._open) == _PAGE_LEVELS and self._key == _INSTANCES

    def _read_opening(self, brackets: bytes, start: int) -> None:
        due = brackets.translate(_CLOSING)
        if len(self._open) >= _PAGE_LEVELS:
            self._open += due
            return
        for position, bracket in enumerate(due, start + 1):
            if self._end:
                raise _BracketsUnpaired("goes on after its end")
            self._open.append(bracket)
            if len(self._open) == 1:
                self._member_start = position
            elif self._in_entries:
                self._entry_start = position

    def _read_closing(self, brackets: bytes, start: int) -> None:
        if not self._open.endswith(brackets[::-1]):
            raise _BracketsUnpaired("brackets do not match")
        if len(self._open) - len(brackets) >= _PAGE_LEVELS:
            del self._open[-len(brackets) :]
            return
        for position in range(start, start + len(brackets)):
            if self._in_entries:
                self._end_entries(position)
            elif len(self._open) == 1:
                self._end_member(position)
                self._end = position + 1
            self._open.pop()

    def _end_entry(self, end: int) -> None:
        self._entries.append(self._data[self._entry_start : end].strip())
        self._entry_start = end + 1

    def _end_entries(self, end: int) -> None:
        self._end_entry(end)
        if self._entries == [b""]:
            self._entries.clear()

    def _end_member(self, end: int) -> None:
        value = self._data[self._member_start : end].strip()
        if self._key in self._members:
            raise _BracketsUnpaired("has a member twice")
        self._members[self._key] = value
        self._key = b""
        self._member_start = end + 1


def _is_json(data: bytes) -> bool:
    try:
        msgspec.json.decode(data, type=msgspec.Raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    except RecursionError:
        # Brackets come in pairs.
        return True
    return True


def _decode_token(data: bytes) -> str | None:
    try:
        return msgspec.json.decode(data, type=str | None)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PageUnreadable(f"token of the next page: {error}") from error


def _search(data: bytes, is_sound: Callable[[bytes], bool]) -> Page:
    """Find the sound entries, wherever an entry may start.

    Raises: PageUnreadable
    """
    tail = _TAIL_WITH_TOKEN.search(data)
    member = tail or _HEAD.match(data)
    tail = tail or _TAIL.search(data)
    if tail is None or member is None:
        # It may have been cut short, so that entries are missing.
        raise PageUnreadable("the page is not whole")
    # What closes the page closes no entry that is left open.
    data = data[: tail.start()]
    entries = []
    vain_bytes = 0
    start = _START.search(data)
    while start is not None:
        read_until = _find_end(data, start.end())
        entry = data[start.end() : read_until]
        if is_sound(entry):
            entries.append(entry)
            start = _START.search(data, read_until)
            continue
        vain_bytes += len(entry)
        if entry.endswith(b'"'):
            # The end of this string was looked for in all that follows.
            vain_bytes += min(len(data) - read_until, MAX_ENTRY_BYTES)
        if vain_bytes > MAX_VAIN_BYTES:
            raise PageUnreadable("too much of the page cannot be read")
        gevent.sleep(0)
        start = _START.search(data, start.end())
    return Page(tuple(entries), _decode_token(member[1]))


def _find_end(data: bytes, start: int) -> int:
    """Returns: end of an object, or of the bytes that can't be its start."""
    due = bytearray()
    end = min(len(data), start + MAX_ENTRY_BYTES)
    for match in _TOKEN.finditer(data, start, end):
        if match[0][0] in b"[{":
            due += match[0].translate(_CLOSING)
        elif match[0][0] in b"]}":
            for position, bracket in enumerate(match[0], match.start() + 1):
                if due.pop() != bracket:
                    return position
                if not due:
                    return position
        if len(due) > MAX_DEPTH or match[0] == b'"':
            return match.end()
    return end
