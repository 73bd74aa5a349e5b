"""Validation of a configuration document."""

from collections.abc import Iterator
import json
import math
import re

import msgspec
from msgspec import inspect
import result

from papayalink import shape
from papayalink.state import document as documents

Problem = shape.Problem

# The document of a deployment of the design size has less than 1 MB.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# Bounded because every control member stores outcomes with their problems;
# an operator would not correct more than this many at a time.
MAX_PROBLEMS = 200

METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
KINDS = ("engine", "service")

# Allows for rounding when shares such as 0.1 and 0.2 are added up.
_SHARE_TOLERANCE = 1e-9
_DOCUMENT_TYPE = inspect.type_info(documents.Document)
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_CALL_PATH_PATTERN = re.compile(
    r"/(?:[A-Za-z0-9._~!$&'()+,;=:@-]+/?)*(?:(?<=/)\*)?"
)

# Minimum and maximum of each number; None stands for no maximum.
_RANGES = {
    # No answer takes less than 1 ms, and a target above an hour is a mistake.
    (documents.Rank, "ttft_target_ms"): (1, 3_600_000),
    (documents.Rank, "weight"): (1, 1_000_000),
    (documents.Rank, "min_share"): (0, 1),
    (documents.Workspace, "tokens_per_s"): (0, None),
    (documents.Workspace, "max_in_flight"): (0, None),
    (documents.Workspace, "cache_share"): (0, 1),
    (documents.Upstream, "max_running"): (1, 1_000_000),
    (documents.Limits, "max_body_bytes"): (1, None),
    (documents.Limits, "max_queue_per_upstream"): (0, None),
    # A protected call that is repeated after its record expired would run
    # again, so records must outlive a caller's retries.
    (documents.Limits, "ledger_retention_s"): (60, None),
    # With 0, a rollout would never finish.
    (documents.Limits, "max_loading_replicas"): (1, 1_000_000),
}


def validate(
    data: bytes,
) -> result.Result[documents.Document, list[Problem]]:
    """Check a document.

    Args:
        data: the document as JSON.

    Returns:
        The document, or all problems: wrong types and keys first, then wrong
        values.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return result.Err(
            [
                Problem(
                    "$",
                    f"has {len(data)} bytes",
                    f"give at most {MAX_DOCUMENT_BYTES} bytes",
                )
            ]
        )
    document = _decode(data)
    if document is not None:
        problems = []
    else:
        value, problems = shape.parse(data)
        if not problems and not _is_known_format(value):
            problems = [_unknown_format(value["format"])]
        if problems:
            return result.Err(problems)
        document = shape.build(value, _DOCUMENT_TYPE, "$", problems)
    if document is not None:
        for check in _CHECKS:
            problems.extend(check(document))
    if problems:
        return result.Err(_truncate(problems))
    return result.Ok(document)


def _decode(data: bytes) -> documents.Document | None:
    """Decode a document with the right keys and types.

    Nearly all documents take this path. The check that reports every fault
    takes ten times as long, and control members validate documents in the
    event loop that also sends heartbeats.

    Returns: the document, None when it needs that check.
    """
    try:
        document = documents.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    if document.format != documents.FORMAT or shape.has_repeated_key(data):
        return None
    return document


def render(problems: list[Problem]) -> str:
    """Returns: the problems as text, one per line."""
    return "".join(f"{problem}\n" for problem in problems)


def _is_known_format(value: object) -> bool:
    if not isinstance(value, dict):
        return True
    format_ = value.get("format", documents.FORMAT)
    return type(format_) is int and format_ == documents.FORMAT


def _unknown_format(format_: object) -> Problem:
    return Problem(
        "$.format",
        f"is {shape.describe(format_)}",
        f"this version reads format {documents.FORMAT}",
    )


def _truncate(problems: list[Problem]) -> list[Problem]:
    if len(problems) <= MAX_PROBLEMS:
        return problems
    omitted = len(problems) - MAX_PROBLEMS
    return problems[:MAX_PROBLEMS] + [
        Problem(
            "$", f"{omitted} more problems", "correct the ones above first"
        )
    ]


def _entries(
    document: documents.Document, section: str
) -> Iterator[tuple[str, msgspec.Struct]]:
    """Yields: path and value of the entries that could be decoded."""
    for index, entry in enumerate(getattr(document, section) or ()):
        if entry is not None:
            yield f"$.{section}[{index}]", entry


def _names(document: documents.Document, section: str) -> list[str] | None:
    """Returns: names of the entries, None unless all could be decoded.

    With None, references to the entries cannot be checked.
    """
    entries = getattr(document, section)
    if entries is None or None in entries:
        return None
    names = [entry.name for entry in entries]
    return None if None in names else names


def _quote(value: str) -> str:
    return json.dumps(value if len(value) <= 80 else value[:77] + "...")


def _check_ranges(document: documents.Document) -> Iterator[Problem]:
    problems = []
    for (struct, name), (minimum, maximum) in _RANGES.items():
        if struct is documents.Limits:
            entries = (
                [("$.limits", document.limits)] if document.limits else []
            )
        else:
            entries = _entries(document, f"{struct.__name__.lower()}s")
        for path, entry in entries:
            shape.check_range(
                getattr(entry, name),
                minimum,
                maximum,
                f"{path}.{name}",
                problems,
            )
    yield from problems


def _check_share_totals(document: documents.Document) -> Iterator[Problem]:
    for section, name in (
        ("ranks", "min_share"),
        ("workspaces", "cache_share"),
    ):
        shares = (
            getattr(entry, name) for _, entry in _entries(document, section)
        )
        # Shares above 1 are reported by the range check and left out here.
        total = math.fsum(share for share in shares if share and share <= 1)
        if total > 1 + _SHARE_TOLERANCE:
            yield Problem(
                f"$.{section}[*].{name}",
                f"the shares add up to {total:g}",
                "reduce them to at most 1 in total",
            )


def _check_names(document: documents.Document) -> Iterator[Problem]:
    for section in (
        "ranks",
        "workspaces",
        "models",
        "services",
        "upstreams",
        "stores",
    ):
        pattern = shape.MODEL_NAME if section == "models" else shape.NAME
        first_paths = {}
        for path, entry in _entries(document, section):
            if entry.name is None:
                continue
            yield from _check_name(entry.name, pattern, f"{path}.name")
            if first_paths.setdefault(entry.name, path) != path:
                yield Problem(
                    f"{path}.name",
                    f"{_quote(entry.name)} is also the name of"
                    f" {first_paths[entry.name]}",
                    "give each entry its own name",
                )
    model_paths = {
        entry.name: path for path, entry in _entries(document, "models")
    }
    for path, entry in _entries(document, "services"):
        if entry.name is not None and entry.name in model_paths:
            yield Problem(
                f"{path}.name",
                f"{_quote(entry.name)} is also the name of"
                f" {model_paths[entry.name]}",
                "give the service or the model another name",
            )


def _check_name(
    name: str | None, pattern: re.Pattern, path: str
) -> list[Problem]:
    problems = []
    shape.check_name(name, path, problems, pattern)
    return problems


def _check_workspaces(document: documents.Document) -> Iterator[Problem]:
    ranks = _names(document, "ranks")
    owners = {}
    for path, entry in _entries(document, "workspaces"):
        if None not in (entry.rank, ranks) and entry.rank not in ranks:
            yield Problem(
                f"{path}.rank",
                f"there is no rank {_quote(entry.rank)}",
                _name_one_of(ranks, "rank"),
            )
        if entry.token_digests == ():
            yield Problem(
                f"{path}.token_digests",
                "the workspace has no tokens",
                "add the SHA-256 hex digest of a token",
            )
        for index, digest in enumerate(entry.token_digests or ()):
            if digest is not None:
                yield from _check_digest(
                    digest, path, f"{path}.token_digests[{index}]", owners
                )


def _check_digest(
    digest: str, workspace: str, path: str, owners: dict[str, str]
) -> Iterator[Problem]:
    if not _DIGEST_PATTERN.fullmatch(digest):
        # The value may be a plaintext token, so the message does not show it.
        yield Problem(
            path,
            "is not a SHA-256 digest in lower-case hex",
            "give the 64 hex digits of the token's SHA-256",
        )
    owner = owners.setdefault(digest, workspace)
    if owner != workspace:
        yield Problem(
            path,
            f"the token also belongs to {owner}",
            "issue another token for one of the workspaces",
        )


def _check_models(document: documents.Document) -> Iterator[Problem]:
    # Requests name a model or an adapter in the same field, so the names must
    # differ. The owner is "" for a model, and the model's name for an adapter.
    owners = {entry.name: "" for _, entry in _entries(document, "models")}
    for path, entry in _entries(document, "models"):
        yield from _check_name(
            entry.weight_version, shape.MODEL_NAME, f"{path}.weight_version"
        )
        seen = set()
        for index, adapter in enumerate(entry.adapters or ()):
            if adapter is None:
                continue
            adapter_path = f"{path}.adapters[{index}]"
            yield from _check_name(adapter, shape.MODEL_NAME, adapter_path)
            if adapter in seen:
                yield Problem(
                    adapter_path,
                    f"{_quote(adapter)} is listed twice",
                    "remove one",
                )
            seen.add(adapter)
            owner = owners.setdefault(adapter, entry.name)
            if owner != entry.name:
                yield Problem(
                    adapter_path,
                    f"{_quote(adapter)} is also "
                    + (
                        f"an adapter of {_quote(owner)}"
                        if owner
                        else "a model"
                    ),
                    "give it another name",
                )


def _check_calls(document: documents.Document) -> Iterator[Problem]:
    for path, service in _entries(document, "services"):
        calls = {}
        for index, call in enumerate(service.calls or ()):
            if call is None:
                continue
            call_path = f"{path}.calls[{index}]"
            if call.method is not None and call.method not in METHODS:
                yield Problem(
                    f"{call_path}.method",
                    f"{_quote(call.method)} is not a method",
                    f"use one of: {', '.join(METHODS)}",
                )
            if call.path is None:
                continue
            if not _is_call_path(call.path):
                yield Problem(
                    f"{call_path}.path",
                    f"{_quote(call.path)} is not a call path",
                    'give an exact path such as "/orders" or a prefix such'
                    ' as "/orders/*"; "*" stands only at the end',
                )
                continue
            key = (call.method, call.path)
            if key in calls:
                yield Problem(
                    f"{call_path}.path",
                    f"is also the path of {calls[key][0]}",
                    "remove one of the two calls",
                )
            else:
                calls[key] = (call_path, call)
        yield from _check_overlaps(calls)


def _is_call_path(path: str) -> bool:
    if not _CALL_PATH_PATTERN.fullmatch(path):
        return False
    # A server that normalises such paths would run a different call from the
    # one whose protection was looked up.
    return not any(part in (".", "..") for part in path.split("/"))


def _check_overlaps(
    calls: dict[tuple[str, str], tuple[str, documents.Call]],
) -> Iterator[Problem]:
    for (method, path), (call_path, call) in calls.items():
        stem = path.removesuffix("*")
        prefix_ends = [
            index + 1 for index, char in enumerate(stem) if char == "/"
        ]
        for end in prefix_ends:
            prefix = stem[:end] + "*"
            other_path, other = calls.get((method, prefix), (call_path, call))
            if call.protected is None or other.protected is None:
                continue
            if other.protected != call.protected:
                yield Problem(
                    f"{call_path}.protected",
                    f"{_quote(path)} overlaps {_quote(prefix)} of"
                    f" {other_path}, and only one of them is protected",
                    "give both the same value, or paths that do not overlap",
                )


def _check_upstreams(document: documents.Document) -> Iterator[Problem]:
    served = {
        "engine": _names(document, "models"),
        "service": _names(document, "services"),
    }
    for path, entry in _entries(document, "upstreams"):
        yield from _check_name(entry.zone, shape.NAME, f"{path}.zone")
        if entry.kind is not None and entry.kind not in KINDS:
            yield Problem(
                f"{path}.kind",
                f"{_quote(entry.kind)} is not a kind of upstream",
                'use "engine" or "service"',
            )
        elif None not in (entry.kind, entry.serves, *served.values()):
            yield from _check_serves(entry, path, served)


def _check_serves(
    entry: documents.Upstream, path: str, served: dict[str, list[str]]
) -> Iterator[Problem]:
    other = "service" if entry.kind == "engine" else "engine"
    if entry.serves in served[entry.kind]:
        return
    if entry.serves in served[other]:
        yield Problem(
            f"{path}.kind",
            f"{_quote(entry.serves)} is served by upstreams of kind"
            f' "{other}"',
            f'set the kind to "{other}"',
        )
        return
    noun = "model" if entry.kind == "engine" else "service"
    yield Problem(
        f"{path}.serves",
        f"there is no {noun} {_quote(entry.serves)}",
        _name_one_of(served[entry.kind], noun),
    )


def _check_stores(document: documents.Document) -> Iterator[Problem]:
    for path, entry in _entries(document, "stores"):
        yield from _check_name(entry.zone, shape.NAME, f"{path}.zone")


def _check_addresses(document: documents.Document) -> Iterator[Problem]:
    first_paths = {}
    for section, name in (("upstreams", "agent"), ("stores", "address")):
        for path, entry in _entries(document, section):
            address = getattr(entry, name)
            if address is None:
                continue
            problems = []
            shape.check_address(address, f"{path}.{name}", problems)
            yield from problems
            if first_paths.setdefault(address, path) != path:
                yield Problem(
                    f"{path}.{name}",
                    f"{_quote(address)} is also the address of"
                    f" {first_paths[address]}",
                    "give each process its own address",
                )


def _name_one_of(names: list[str], noun: str) -> str:
    """Returns: the fix for a reference to an unknown name."""
    if not names:
        return f"add a {noun} of that name"
    listed = ", ".join(names[:8]) + (", ..." if len(names) > 8 else "")
    return f"name one of: {listed}"


_CHECKS = (
    _check_names,
    _check_ranges,
    _check_share_totals,
    _check_workspaces,
    _check_models,
    _check_calls,
    _check_upstreams,
    _check_stores,
    _check_addresses,
)
