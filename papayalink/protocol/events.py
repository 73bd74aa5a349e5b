"""Events of a text/event-stream as whole blocks of bytes."""

import msgspec

_END = b"\n\n"
_ID = b"id:"


class Event(msgspec.Struct, frozen=True):
    """One event with its separator; event_id is None when it has none."""

    data: bytes
    event_id: int | None


class EventReader:
    """Cuts a stream into events; a rest without its end is never given."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """What has arrived of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Returns: the events that are complete now."""
        blocks = (self._rest + data).split(_END)
        self._rest = blocks.pop()
        return [Event(block + _END, _event_id(block)) for block in blocks]


def _event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None


def make_event_reader() -> EventReader:
    return EventReader()
