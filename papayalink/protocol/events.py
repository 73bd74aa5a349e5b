"""Splits a text/event-stream into complete events."""

import msgspec

from papayalink.protocol import errors

# Largest event. An engine's event carries a few tokens, about 400 bytes.
MAX_EVENT_BYTES = 256 * 1024

_SEPARATOR = b"\n\n"
_ID_PREFIX = b"id:"
# Ids of more digits do not fit into 64 bits.
_MAX_ID_DIGITS = 18


class Event(msgspec.Struct, frozen=True):
    """One event with its separator; event_id is None without a numeric id."""

    data: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it only keeps the connection alive."""
        return all(line[:1] in (b":", b"") for line in self.data.split(b"\n"))


class EventReader:
    """Splits a stream into events; never returns an incomplete one.

    Its time is linear in the bytes received, also if no event ever ends.
    """

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Length of the buffer's start in which no separator begins.
        self._searched = 0

    @property
    def partial_event(self) -> bytes:
        """Bytes received so far of an event that is not complete."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Returns: the events that this data completes.

        Raises:
            errors.EventTooLarge: more than MAX_EVENT_BYTES without an end.
        """
        buffer = self._buffer
        buffer += data
        events = []
        start = 0
        while (end := buffer.find(_SEPARATOR, self._searched)) >= 0:
            block = bytes(buffer[start:end])
            events.append(Event(block + _SEPARATOR, _event_id(block)))
            start = self._searched = end + len(_SEPARATOR)
        del buffer[:start]
        self._searched = max(0, len(buffer) - len(_SEPARATOR) + 1)
        if len(buffer) > MAX_EVENT_BYTES:
            raise errors.EventTooLarge(
                f"event has more than {MAX_EVENT_BYTES} bytes"
            )
        return events


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            text = line[len(_ID_PREFIX) :].strip()
            if text.isdigit() and len(text) <= _MAX_ID_DIGITS:
                return int(text)
            return None
    return None


def make_event_reader() -> EventReader:
    return EventReader()
