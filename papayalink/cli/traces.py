"""Lines of logs that tell what became of one call."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import re

import msgspec

# What happened to a replica or to control this long before a call failed may
# have caused it; restarts and lists take a few seconds.
CONTEXT_S = 5.0
# Events of a process that explain failures of its calls.
_PROCESS_EVENTS = frozenset(
    ("control_lost", "list_lost", "stopping", "document_in_force")
)
_FIELD = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')


class Line(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: seconds since the epoch, 0 when it has no time.
    """

    text: str
    at: float
    fields: dict[str, str]


def parse(text: str) -> Line:
    """Returns: the line with its fields; text around them is kept."""
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    at = 0.0
    if stamp := fields.get("timestamp"):
        try:
            at = datetime.datetime.fromisoformat(stamp).timestamp()
        except ValueError:
            # A line of another program; it is found by its fields only.
            at = 0.0
    return Line(text.rstrip("\n"), at, fields)


def trace(call_id: str, texts: Iterable[str]) -> list[Line]:
    """Find the lines on a call, and what may have caused its end.

    Args:
        call_id: id that the caller sent.
        texts: lines of any processes, in any order.
    Returns: lines by time; first those that are about the call.
    """
    lines = [parse(text) for text in texts]
    own = [line for line in lines if line.fields.get("call") == call_id]
    return sorted(
        [*own, *_context(own, lines)], key=lambda line: (line.at, line.text)
    )


def _context(own: list[Line], lines: list[Line]) -> Iterator[Line]:
    """Lines on the replicas and the processes of a call, shortly before."""
    if not own:
        return
    first = min(line.at for line in own) - CONTEXT_S
    last = max(line.at for line in own)
    tried = {
        replica
        for line in own
        for name in ("replica", "replicas")
        for replica in line.fields.get(name, "").split(",")
        if replica
    }
    processes = {line.fields.get("process") for line in own}
    for line in lines:
        if not first <= line.at <= last or "call" in line.fields:
            continue
        about_replica = line.fields.get("replica") in tried
        about_process = (
            line.fields.get("process") in processes
            and line.fields.get("event") in _PROCESS_EVENTS
        )
        if about_replica or about_process:
            yield line
