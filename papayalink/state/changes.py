"""Differences between two documents, for operators and for distribution."""

import bisect
from collections.abc import Iterator
import json
from typing import Literal

import msgspec

from papayalink.state import document as documents
from papayalink.state import errors

SECTIONS = ("ranks", "workspaces", "models", "services", "upstreams", "stores")


class Change(msgspec.Struct, frozen=True):
    """One difference.

    Attributes:
        path: names the entry and field, such as "ranks[urgent].weight".
        kind: what happened to the value.
        old: value before as JSON types, None when added.
        new: value after as JSON types, None when removed.
    """

    path: str
    kind: Literal["added", "removed", "changed"]
    old: object = None
    new: object = None


class SectionDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of one list of entries.

    Attributes:
        drop: names of the removed entries.
        put: index in the new list and new value of each entry that is
            added, changed or moved, in order of increasing index.
    """

    drop: tuple[str, ...] = ()
    put: tuple[tuple[int, msgspec.Raw], ...] = ()


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes that lead from one document to another.

    Attributes:
        sections: changes by the document's field name.
        limits: new limits, None when unchanged.
    """

    sections: dict[str, SectionDelta] = {}
    limits: documents.Limits | None = None


_DECODER = msgspec.json.Decoder(Delta)
_ENTRY_DECODERS = {
    "ranks": msgspec.json.Decoder(documents.Rank),
    "workspaces": msgspec.json.Decoder(documents.Workspace),
    "models": msgspec.json.Decoder(documents.Model),
    "services": msgspec.json.Decoder(documents.Service),
    "upstreams": msgspec.json.Decoder(documents.Upstream),
    "stores": msgspec.json.Decoder(documents.Store),
}


def make_delta(old: documents.Document, new: documents.Document) -> bytes:
    """Make the delta from one document to another.

    Args:
        old, new: documents in which no two entries of a list share a name.

    Returns:
        The delta as JSON.
    """
    return combine_delta(find_touched(old, new), old.limits != new.limits, new)


def find_touched(
    old: documents.Document, new: documents.Document
) -> dict[str, set[str]]:
    """Returns: names of added, removed, changed and moved entries by list.

    The other entries are the same in both documents and in the same order.
    """
    found = {}
    for section in SECTIONS:
        before = getattr(old, section)
        after = getattr(new, section)
        if before != after:
            found[section] = _touched_names(before, after)
    return found


def _touched_names(before: tuple, after: tuple) -> set[str]:
    # Most changes touch a few neighbouring entries, so the common prefix and
    # suffix are removed first.
    shorter = min(len(before), len(after))
    start = 0
    while start < shorter and before[start] == after[start]:
        start += 1
    end = 0
    while end < shorter - start and before[-1 - end] == after[-1 - end]:
        end += 1
    before = before[start : len(before) - end]
    after = after[start : len(after) - end]
    old_indexes = {entry.name: index for index, entry in enumerate(before)}
    names = set(old_indexes)
    unchanged = []
    for entry in after:
        index = old_indexes.get(entry.name)
        if index is not None and before[index] == entry:
            unchanged.append((index, entry.name))
        else:
            names.add(entry.name)
    return names.difference(_longest_increasing(unchanged))


def _longest_increasing(pairs: list[tuple[int, str]]) -> Iterator[str]:
    """Yields: names of a longest subsequence with increasing numbers."""
    # For each length, the smallest last number of a subsequence of that
    # length, and its index in pairs.
    last_indexes = []
    last_numbers = []
    # For each pair, the index of the pair before it in its subsequence.
    predecessors = []
    for index, (number, _) in enumerate(pairs):
        length = bisect.bisect_left(last_numbers, number)
        predecessors.append(last_indexes[length - 1] if length else -1)
        last_numbers[length : length + 1] = [number]
        last_indexes[length : length + 1] = [index]
    index = last_indexes[-1] if last_indexes else -1
    while index >= 0:
        yield pairs[index][1]
        index = predecessors[index]


def combine_delta(
    names: dict[str, set[str]],
    limits_changed: bool,
    new: documents.Document,
) -> bytes:
    """Make a delta to a document from the names of the changed entries.

    Args:
        names: by list, names of all entries touched by the changes.
        limits_changed: whether one of the changes touched the limits.
        new: document after the last change.
    """
    sections = {}
    for section, touched_names in names.items():
        put = []
        present = set()
        for index, entry in enumerate(getattr(new, section)):
            if entry.name in touched_names:
                put.append((index, msgspec.Raw(msgspec.json.encode(entry))))
                present.add(entry.name)
        sections[section] = SectionDelta(
            drop=tuple(sorted(touched_names - present)), put=tuple(put)
        )
    return msgspec.json.encode(
        Delta(sections=sections, limits=new.limits if limits_changed else None)
    )


def touched_by(delta: bytes) -> tuple[dict[str, set[str]], bool]:
    """Returns: touched names by list, and whether the limits are touched."""
    decoded = _DECODER.decode(delta)
    names = {
        section: {
            *change.drop,
            *(
                _ENTRY_DECODERS[section].decode(entry).name
                for _, entry in change.put
            ),
        }
        for section, change in decoded.sections.items()
    }
    return names, decoded.limits is not None


def apply_delta(
    document: documents.Document, delta: bytes
) -> documents.Document:
    """Apply a delta to the document that it was made from.

    A delta does not name its base: the caller must compare the digest of the
    result with the one that came with the delta.

    Raises:
        errors.DeltaInvalid: the bytes are not a delta.
    """
    try:
        decoded = _DECODER.decode(delta)
        fields = {
            section: _apply_section(document, section, change)
            for section, change in decoded.sections.items()
        }
    except (msgspec.DecodeError, KeyError) as error:
        raise errors.DeltaInvalid(f"cannot decode delta: {error}") from error
    if decoded.limits is not None:
        fields["limits"] = decoded.limits
    return msgspec.structs.replace(document, **fields)


def _apply_section(
    document: documents.Document, section: str, change: SectionDelta
) -> tuple:
    decoder = _ENTRY_DECODERS[section]
    put = [(index, decoder.decode(raw)) for index, raw in change.put]
    names = {*change.drop, *(entry.name for _, entry in put)}
    entries = [
        entry
        for entry in getattr(document, section)
        if entry.name not in names
    ]
    for index, entry in put:
        entries.insert(index, entry)
    return tuple(entries)


def diff(old: documents.Document, new: documents.Document) -> list[Change]:
    """List the differences; entries are matched by name.

    Args:
        old, new: documents in which no two entries of a list share a name.
    """
    found = []
    for section in SECTIONS:
        before = getattr(old, section)
        after = getattr(new, section)
        if before != after:
            found.extend(_diff_entries(section, before, after, _entry_name))
    found.extend(_diff_fields("limits", old.limits, new.limits))
    return found


def _entry_name(entry: msgspec.Struct) -> str:
    return entry.name


def _call_name(call: documents.Call) -> str:
    return f"{call.method} {call.path}"


def _identity(value: str) -> str:
    return value


def _diff_entries(path: str, before: tuple, after: tuple, name_of) -> Iterator:
    old = {name_of(entry): entry for entry in before}
    new = {name_of(entry): entry for entry in after}
    for name, entry in old.items():
        entry_path = f"{path}[{name}]"
        if name not in new:
            yield Change(entry_path, "removed", old=msgspec.to_builtins(entry))
        elif new[name] != entry:
            yield from _diff_fields(entry_path, entry, new[name])
    for name, entry in new.items():
        if name not in old:
            entry_path = f"{path}[{name}]"
            yield Change(entry_path, "added", new=msgspec.to_builtins(entry))
    order_before = [name for name in old if name in new]
    order_after = [name for name in new if name in old]
    if order_before != order_after:
        yield Change(
            f"{path} order", "changed", old=order_before, new=order_after
        )


def _diff_fields(
    path: str, old: msgspec.Struct, new: msgspec.Struct
) -> Iterator[Change]:
    for field in msgspec.structs.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        field_path = f"{path}.{field.name}"
        if before == after:
            continue
        if isinstance(before, tuple):
            name_of = _call_name if field.name == "calls" else _identity
            yield from _diff_entries(field_path, before, after, name_of)
        else:
            yield Change(field_path, "changed", before, after)


def render(changes: list[Change]) -> str:
    """Returns: the changes as text for operators, one per line."""
    return "".join(f"{render_change(change)}\n" for change in changes)


def render_change(change: Change) -> str:
    """Returns: one change as a line without its end."""
    match change.kind:
        case "added":
            return f"+ {change.path}{_render_entry(change.new)}"
        case "removed":
            return f"- {change.path}{_render_entry(change.old)}"
        case _:
            old, new = _render_value(change.old), _render_value(change.new)
            return f"~ {change.path}: {old} -> {new}"


def _render_entry(value: object) -> str:
    if not isinstance(value, dict):
        return ""
    return "".join(
        f" {key}={_render_value(item)}"
        for key, item in value.items()
        if key != "name"
    )


def _render_value(value: object) -> str:
    return json.dumps(value, ensure_ascii=True)
