"""Reads from the logs of gateways why they answered calls with 503."""

import datetime
import os
import re

from soak import nodes as node_module
from soak import records

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_EVENTS = ("call_rejected", "call_not_answered")


def read(gateway: node_module.Node) -> list[records.Rejection]:
    """Returns: calls that a gateway answered with 503, as it logged them."""
    rejections = []
    started_at = 0.0
    path = os.path.join(gateway.folder, "log")
    with open(path, encoding="utf-8", errors="replace") as log:
        for line in log:
            fields = dict(_FIELD.findall(line))
            event = fields.get("event")
            if event == "started":
                started_at = _read_time(fields)
            elif event in _EVENTS and fields.get("status") == "503":
                rejections.append(
                    records.Rejection(
                        fields["call"],
                        gateway.name,
                        fields["reason"].strip('"'),
                        _read_time(fields) - started_at,
                    )
                )
    return rejections


def _read_time(fields: dict[str, str]) -> float:
    """Returns: Unix seconds."""
    return datetime.datetime.fromisoformat(fields["timestamp"]).timestamp()
