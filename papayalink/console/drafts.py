"""Drafts: a document under edit, carried in the form itself."""

import urllib.parse

import msgspec
from msgspec import inspect

from papayalink import shape
from papayalink.state import changes
from papayalink.state import document as documents

SECTIONS = changes.SECTIONS + ("limits",)
# A page with every workspace of the design size would be slow to fill in.
ROWS_PER_PAGE = 50
# Above the fields of one page with many calls or tokens.
MAX_FORM_FIELDS = 20_000

_LISTS = {
    field.name: field.type
    for field in inspect.type_info(documents.Document).fields
}


class DraftInvalid(Exception):
    """The form does not hold a draft of this console."""


class Draft(msgspec.Struct):
    """A document under edit, as JSON types: it may have problems.

    Attributes:
        base_version: version that the operator started from.
        document: the whole document.
    """

    base_version: int
    document: dict

    def encode(self) -> str:
        """Returns: the document for the hidden field."""
        return msgspec.json.encode(self.document).decode()


class Edit(msgspec.Struct, frozen=True):
    """What a form asks for.

    Attributes:
        section: section whose fields the form holds, "" for none.
        go: page to show next.
        action: "add", "remove", "up" or "" for none.
        index: entry that the action is about.
        page: page of a long section, from 0.
        search: part of the names to show, "" for all.
    """

    section: str = ""
    go: str = ""
    action: str = ""
    index: int = -1
    page: int = 0
    search: str = ""


def make_draft(version: int, document: bytes) -> Draft:
    """Returns: a draft that starts from a version.

    Fields that a document may leave out are filled with their defaults.
    """
    filled = documents.encode(documents.decode(document))
    return Draft(version, msgspec.json.decode(filled))


def fields_of(section: str) -> tuple[inspect.Field, ...]:
    """Returns: fields of an entry of a section, or of the limits."""
    kind = _LISTS[section]
    if isinstance(kind, inspect.VarTupleType):
        kind = kind.item_type
    return kind.fields


def parse_form(body: bytes) -> dict[str, str]:
    """Decode a form.

    Raises:
        DraftInvalid: not readable, or a field is given twice.
    """
    try:
        pairs = urllib.parse.parse_qsl(
            body.decode("ascii"),
            keep_blank_values=True,
            max_num_fields=MAX_FORM_FIELDS,
            errors="strict",
        )
    except ValueError as error:
        raise DraftInvalid(f"form not readable: {error}") from error
    form = dict(pairs)
    if len(form) != len(pairs):
        raise DraftInvalid("a field is given twice")
    return form


def read_draft(form: dict[str, str]) -> Draft:
    """Take the draft out of the hidden fields of a form.

    Raises:
        DraftInvalid: the hidden fields do not hold a draft.
    """
    try:
        document = msgspec.json.decode(form["document"])
        version = int(form["base_version"])
    except (KeyError, ValueError, RecursionError) as error:
        raise DraftInvalid(f"draft not readable: {error}") from error
    if not isinstance(document, dict):
        raise DraftInvalid("the draft is no object")
    document.setdefault("limits", {})
    for section in changes.SECTIONS:
        entries = document.setdefault(section, [])
        if not isinstance(entries, list) or not all(
            isinstance(entry, dict) for entry in entries
        ):
            raise DraftInvalid(f"{section} is no list of objects")
    if not isinstance(document["limits"], dict):
        raise DraftInvalid("limits is no object")
    return Draft(version, document)


def read_edit(form: dict[str, str]) -> Edit:
    """Returns: what the form asks for.

    The button of an action has the value "ACTION:INDEX" or "ACTION".
    """
    action, _, index = form.get("action", "").partition(":")
    section = form.get("section", "")
    try:
        return Edit(
            section=section if section in SECTIONS else "",
            go=form.get("go", ""),
            action=action,
            index=int(index or -1),
            page=max(int(form.get("page") or 0), 0),
            search=form.get("search", ""),
        )
    except ValueError as error:
        raise DraftInvalid(f"form not readable: {error}") from error


def rows(draft: Draft, edit: Edit) -> tuple[list[int], int]:
    """Choose the entries that a page of a section shows.

    Returns:
        Indices of the entries, and the number of pages.
    """
    entries = draft.document[edit.section]
    found = [
        index
        for index, entry in enumerate(entries)
        if edit.search in str(entry.get("name", ""))
    ]
    pages = max(-(-len(found) // ROWS_PER_PAGE), 1)
    first = min(edit.page, pages - 1) * ROWS_PER_PAGE
    return found[first : first + ROWS_PER_PAGE], pages


def merge(draft: Draft, edit: Edit, form: dict[str, str]) -> None:
    """Write the fields of a form into its section of the draft.

    Fields are named "INDEX.FIELD"; "INDEX.shown" marks the entries that
    the form holds, since a box that is not ticked is not sent.
    """
    if not edit.section:
        return
    if edit.section == "limits":
        _merge_entry(draft.document["limits"], "limits", "0", form)
        return
    for index, entry in enumerate(draft.document[edit.section]):
        if f"{index}.shown" in form:
            _merge_entry(entry, edit.section, str(index), form)


def act(draft: Draft, edit: Edit) -> Edit:
    """Add, remove or move an entry.

    Returns:
        The edit, with the page on which an added entry is.
    """
    entries = draft.document.get(edit.section)
    if not isinstance(entries, list):
        return edit
    present = 0 <= edit.index < len(entries)
    match edit.action:
        case "add":
            entries.append(_make_entry(edit.section))
            last = (len(entries) - 1) // ROWS_PER_PAGE
            return msgspec.structs.replace(edit, page=last, search="")
        case "remove" if present:
            del entries[edit.index]
        case "up" if present and edit.index > 0:
            entries.insert(edit.index - 1, entries.pop(edit.index))
    return edit


def _make_entry(section: str) -> dict:
    entry = {}
    for field in fields_of(section):
        if field.required:
            is_number = isinstance(field.type, inspect.IntType)
            entry[field.name] = 0 if is_number else ""
        else:
            default = field.default
            entry[field.name] = [] if default == () else default
    return entry


def _merge_entry(
    entry: dict, section: str, prefix: str, form: dict[str, str]
) -> None:
    for field in fields_of(section):
        name = f"{prefix}.{field.name}"
        match field.type:
            case inspect.BoolType():
                entry[field.name] = name in form
            case inspect.VarTupleType(item_type=inspect.StructType()):
                entry[field.name] = _read_calls(name, form)
            case inspect.VarTupleType():
                if name in form:
                    entry[field.name] = form[name].split()
            case inspect.IntType():
                _set_number(entry, field.name, form.get(name), int)
            case inspect.FloatType():
                _set_number(entry, field.name, form.get(name), float)
            case _:
                if name in form:
                    entry[field.name] = form[name].strip()
    token = form.get(f"{prefix}.new_token", "").strip()
    if section == "workspaces" and token:
        # The token itself never becomes part of the draft.
        entry["token_digests"] = [
            *(entry.get("token_digests") or ()),
            documents.token_digest(token),
        ]


def _set_number(entry: dict, name: str, text: str | None, kind: type) -> None:
    if text is None:
        return
    if not text.strip():
        entry.pop(name, None)
        return
    try:
        number = kind(text)
        usable = abs(number) <= shape.MAX_INTEGER
    except ValueError:
        usable = False
    # The validator names a field that holds text in place of a number.
    entry[name] = number if usable else text


def _read_calls(name: str, form: dict[str, str]) -> list[dict]:
    """Returns: the calls of a service; rows with an empty path are left."""
    calls = []
    row = 0
    while f"{name}.{row}.path" in form:
        path = form[f"{name}.{row}.path"].strip()
        if path:
            calls.append(
                {
                    "method": form.get(f"{name}.{row}.method", ""),
                    "path": path,
                    "protected": f"{name}.{row}.protected" in form,
                }
            )
        row += 1
    return calls
