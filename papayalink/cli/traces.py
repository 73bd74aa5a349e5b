"""Search of logs for the lines that explain what happened to a call."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import re

import msgspec

# Events of a replica or of control up to this long before the first line of a
# call may have made it fail; a restart or a new list of replicas takes a few
# seconds.
CONTEXT_WINDOW_S = 5.0
# Events of a process that may explain why its calls failed.
_RELATED_PROCESS_EVENTS = frozenset(
    ("control_lost", "list_lost", "stopping", "document_in_force")
)
_FIELD_PATTERN = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        text: the whole line without its line end.
        time_s: seconds since the epoch, 0 if the line has no timestamp.
        fields: values of the key=value pairs by key.
    """

    text: str
    time_s: float
    fields: dict[str, str]


def parse_line(text: str) -> LogLine:
    """Returns: the line and the key=value pairs found in it."""
    fields = {
        name: value.strip('"') for name, value in _FIELD_PATTERN.findall(text)
    }
    time_s = 0.0
    if timestamp := fields.get("timestamp"):
        try:
            time_s = datetime.datetime.fromisoformat(timestamp).timestamp()
        except ValueError:
            # Written by another program: such a line can still be found by
            # its fields.
            time_s = 0.0
    return LogLine(text.rstrip("\n"), time_s, fields)


def trace(call_id: str, log_texts: Iterable[str]) -> list[LogLine]:
    """Find the log lines on a call and on what may have made it fail.

    Args:
        call_id: id that the caller sent.
        log_texts: log lines of any processes, in any order.
    Returns: lines sorted by time, then by text.
    """
    lines = [parse_line(text) for text in log_texts]
    call_lines = [line for line in lines if line.fields.get("call") == call_id]
    return sorted(
        [*call_lines, *_related_lines(call_lines, lines)],
        key=lambda line: (line.time_s, line.text),
    )


def _related_lines(
    call_lines: list[LogLine], lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yield lines on the replicas and processes of a call.

    Only lines from shortly before the call to its end are considered.
    """
    if not call_lines:
        return
    earliest_s = min(line.time_s for line in call_lines) - CONTEXT_WINDOW_S
    latest_s = max(line.time_s for line in call_lines)
    tried_replicas = {
        replica
        for line in call_lines
        for name in ("replica", "replicas")
        for replica in line.fields.get(name, "").split(",")
        if replica
    }
    processes = {line.fields.get("process") for line in call_lines}
    for line in lines:
        if not earliest_s <= line.time_s <= latest_s or "call" in line.fields:
            continue
        about_replica = line.fields.get("replica") in tried_replicas
        about_process = (
            line.fields.get("process") in processes
            and line.fields.get("event") in _RELATED_PROCESS_EVENTS
        )
        if about_replica or about_process:
            yield line
