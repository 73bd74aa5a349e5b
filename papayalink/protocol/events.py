"""Splits a text/event-stream into complete events."""

import msgspec

_SEPARATOR = b"\n\n"
_ID_PREFIX = b"id:"


class Event(msgspec.Struct, frozen=True):
    """One event with its separator; event_id is None without a numeric id."""

    data: bytes
    event_id: int | None


class EventReader:
    """Splits a stream into events; never returns an incomplete one."""

    __slots__ = ("_partial_event",)

    def __init__(self) -> None:
        self._partial_event = b""

    @property
    def partial_event(self) -> bytes:
        """Bytes received so far of an event that is not complete."""
        return self._partial_event

    def feed(self, data: bytes) -> list[Event]:
        """Returns: the events that this data completes."""
        blocks = (self._partial_event + data).split(_SEPARATOR)
        self._partial_event = blocks.pop()
        return [
            Event(block + _SEPARATOR, _event_id(block)) for block in blocks
        ]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            text = line[len(_ID_PREFIX) :].strip()
            return int(text) if text.isdigit() else None
    return None


def make_event_reader() -> EventReader:
    return EventReader()
