"""Entries of the list of replicas that name no replica to use."""

import json

_SOUND = {
    "id": "odd",
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z0",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "coldRemainingMs": 0,
}
_NESTED = b"[" * 3_000 + b"]" * 3_000
_DIGITS = b"7" * 31


def _make(**fields: bytes) -> bytes:
    """Returns: a sound entry with some fields replaced by JSON."""
    values = {name: json.dumps(value) for name, value in _SOUND.items()}
    values |= {name: value.decode("latin-1") for name, value in fields.items()}
    pairs = (f'"{name}": {value}' for name, value in values.items())
    return f"{{{', '.join(pairs)}}}".encode("latin-1")


ENTRIES = (
    _make(note=_NESTED),
    _make(models=_NESTED),
    _make(id=rb'"odd-\ud800"'),
    _make(id=b'"odd-\xff"'),
    _make(id=_NESTED),
    _make(id=b"null"),
    _make(address=b'"127.0.0.1:99999"'),
    _make(address=b'"127.0.0.1:-1"'),
    _make(address=b'"127.0.0.1"'),
    _make(address=b'"127.0.0.1:http"'),
    _make(address=b'"127.0.0.1:' + _DIGITS + b'"'),
    _make(address=b'"localhost:9"'),
    _make(address=b"{}"),
    _make(slots=_DIGITS),
    _make(slots=b"1e400"),
    _make(slots=b"-5"),
    _make(coldRemainingMs=b"1e400"),
    _make(coldRemainingMs=b"1e308"),
    _make(models=b'[{"name": "m", "version": ' + _DIGITS + b"}]"),
    _make(models=b"7"),
    _make(version=b"1"),
    _make(state=b'["ready"]'),
    _make(service=b"[]"),
    b"null",
    b"[]",
    b"7",
)
# Entries whose brackets or quotation marks do not match, or that nest by
# objects.
_START = b'{"id":"odd","service":"desk","zone":"z1","version":"v1",'
UNPAIRED = (
    _START + b'"more":' + b'{"a":' * 20_000 + b"1" + b"}" * 20_001,
    _START + b'"more":"\xff\x00',
    b'"',
    b"]",
)
ALL = ENTRIES + UNPAIRED
