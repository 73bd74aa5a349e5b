"""Drafts: documents being edited, held in hidden fields of the forms."""

import urllib.parse

import msgspec
from msgspec import inspect

from papayalink import shape
from papayalink.state import changes
from papayalink.state import document as documents

SECTIONS = changes.SECTIONS + ("limits",)
# One page with all workspaces of a large deployment would be slow to load and
# to edit.
ENTRIES_PER_PAGE = 50
# More than the fields of a full page of entries with many calls or tokens.
MAX_FORM_FIELDS = 20_000

_SECTION_TYPES = {
    field.name: field.type
    for field in inspect.type_info(documents.Document).fields
}


class DraftInvalid(Exception):
    """The submitted form does not contain a valid draft."""


class Draft(msgspec.Struct):
    """A document being edited, as JSON types; it may be invalid.

    Attributes:
        base_version: version that the operator started from.
        document: the whole document.
    """

    base_version: int
    document: dict

    def encode(self) -> str:
        """Returns: the document as JSON, for the hidden field."""
        return msgspec.json.encode(self.document).decode()


class FormRequest(msgspec.Struct, frozen=True):
    """What a submitted form requests.

    Attributes:
        section: section whose fields the form holds, "" for none.
        next_page: section or "review" to show next, "" for the same section.
        action: "add", "remove", "up" or "" for none.
        entry_index: entry to which the action applies, -1 for none.
        page: page of a section of many entries, from 0.
        search: substring of the names to show, "" for all.
    """

    section: str = ""
    next_page: str = ""
    action: str = ""
    entry_index: int = -1
    page: int = 0
    search: str = ""


def make_draft(version: int, document: bytes) -> Draft:
    """Returns: a draft that starts from a version of the document.

    Optional fields that the document omits are set to their defaults.
    """
    complete_document = documents.encode(documents.decode(document))
    return Draft(version, msgspec.json.decode(complete_document))


def section_fields(section: str) -> tuple[inspect.Field, ...]:
    """Returns: fields of one entry of a section, or those of the limits."""
    section_type = _SECTION_TYPES[section]
    if isinstance(section_type, inspect.VarTupleType):
        section_type = section_type.item_type
    return section_type.fields


def parse_form(body: bytes) -> dict[str, str]:
    """Decode the body of a submitted form.

    Raises:
        DraftInvalid: the body cannot be decoded, or it repeats a field.
    """
    try:
        pairs = urllib.parse.parse_qsl(
            body.decode("ascii"),
            keep_blank_values=True,
            max_num_fields=MAX_FORM_FIELDS,
            errors="strict",
        )
    except ValueError as error:
        raise DraftInvalid(f"cannot decode the form: {error}") from error
    form = dict(pairs)
    if len(form) != len(pairs):
        raise DraftInvalid("the form repeats a field")
    return form


def read_draft(form: dict[str, str]) -> Draft:
    """Decode the draft in the hidden fields of a form.

    Raises:
        DraftInvalid: the hidden fields do not contain a valid draft.
    """
    try:
        document = msgspec.json.decode(form["document"])
        version = int(form["base_version"])
    except (KeyError, ValueError, RecursionError) as error:
        raise DraftInvalid(f"cannot decode the draft: {error}") from error
    if not isinstance(document, dict):
        raise DraftInvalid("the draft is not an object")
    document.setdefault("limits", {})
    for section in changes.SECTIONS:
        entries = document.setdefault(section, [])
        if not isinstance(entries, list) or not all(
            isinstance(entry, dict) for entry in entries
        ):
            raise DraftInvalid(f"{section} is not a list of objects")
    if not isinstance(document["limits"], dict):
        raise DraftInvalid("limits is not an object")
    return Draft(version, document)


def read_form_request(form: dict[str, str]) -> FormRequest:
    """Returns: what the form requests.

    The button of an action has the value "ACTION:INDEX" or "ACTION".

    Raises:
        DraftInvalid: an index or a page is not a number.
    """
    action, _, index_text = form.get("action", "").partition(":")
    section = form.get("section", "")
    try:
        return FormRequest(
            section=section if section in SECTIONS else "",
            next_page=form.get("go", ""),
            action=action,
            entry_index=int(index_text or -1),
            page=max(int(form.get("page") or 0), 0),
            search=form.get("search", ""),
        )
    except ValueError as error:
        raise DraftInvalid(f"cannot decode the form: {error}") from error


def visible_entries(
    draft: Draft, form_request: FormRequest
) -> tuple[list[int], int]:
    """Select the entries to show on a page of a section.

    Returns:
        Indices of the entries in the section, and the number of pages.
    """
    entries = draft.document[form_request.section]
    matches = [
        index
        for index, entry in enumerate(entries)
        if form_request.search in str(entry.get("name", ""))
    ]
    pages = max(-(-len(matches) // ENTRIES_PER_PAGE), 1)
    start = min(form_request.page, pages - 1) * ENTRIES_PER_PAGE
    return matches[start : start + ENTRIES_PER_PAGE], pages


def merge_form(
    draft: Draft, form_request: FormRequest, form: dict[str, str]
) -> None:
    """Copy the fields of a form into its section of the draft.

    Fields are named "INDEX.FIELD". "INDEX.shown" marks the entries that the
    form contains: a browser does not send an unticked check box, so a missing
    field alone does not tell whether its entry was shown.
    """
    if not form_request.section:
        return
    if form_request.section == "limits":
        _merge_entry_fields(draft.document["limits"], "limits", "0", form)
        return
    for index, entry in enumerate(draft.document[form_request.section]):
        if f"{index}.shown" in form:
            _merge_entry_fields(entry, form_request.section, str(index), form)


def apply_action(draft: Draft, form_request: FormRequest) -> FormRequest:
    """Add, remove or move an entry.

    Returns:
        The form request, set to the page of the entry if one was added.
    """
    entries = draft.document.get(form_request.section)
    if not isinstance(entries, list):
        return form_request
    is_present = 0 <= form_request.entry_index < len(entries)
    match form_request.action:
        case "add":
            entries.append(_make_blank_entry(form_request.section))
            last_page = (len(entries) - 1) // ENTRIES_PER_PAGE
            return msgspec.structs.replace(
                form_request, page=last_page, search=""
            )
        case "remove" if is_present:
            del entries[form_request.entry_index]
        case "up" if is_present and form_request.entry_index > 0:
            entries.insert(
                form_request.entry_index - 1,
                entries.pop(form_request.entry_index),
            )
    return form_request


def _make_blank_entry(section: str) -> dict:
    entry = {}
    for field in section_fields(section):
        if field.required:
            is_number = isinstance(field.type, inspect.IntType)
            entry[field.name] = 0 if is_number else ""
        else:
            default = field.default
            entry[field.name] = [] if default == () else default
    return entry


def _merge_entry_fields(
    entry: dict, section: str, prefix: str, form: dict[str, str]
) -> None:
    for field in section_fields(section):
        form_name = f"{prefix}.{field.name}"
        match field.type:
            case inspect.BoolType():
                entry[field.name] = form_name in form
            case inspect.VarTupleType(item_type=inspect.StructType()):
                entry[field.name] = _read_calls(form_name, form)
            case inspect.VarTupleType():
                if form_name in form:
                    entry[field.name] = form[form_name].split()
            case inspect.IntType():
                _set_number_or_text(
                    entry, field.name, form.get(form_name), int
                )
            case inspect.FloatType():
                _set_number_or_text(
                    entry, field.name, form.get(form_name), float
                )
            case _:
                if form_name in form:
                    entry[field.name] = form[form_name].strip()
    token = form.get(f"{prefix}.new_token", "").strip()
    if section == "workspaces" and token:
        # Only the digest is kept: the token must not be part of a document.
        entry["token_digests"] = [
            *(entry.get("token_digests") or ()),
            documents.token_digest(token),
        ]


def _set_number_or_text(
    entry: dict, name: str, text: str | None, number_type: type
) -> None:
    if text is None:
        return
    if not text.strip():
        entry.pop(name, None)
        return
    try:
        number = number_type(text)
        is_valid = abs(number) <= shape.MAX_INTEGER
    except ValueError:
        is_valid = False
    # Text that is not a valid number stays, so that the validator reports it.
    entry[name] = number if is_valid else text


def _read_calls(name: str, form: dict[str, str]) -> list[dict]:
    """Returns: the calls of a service, without rows that have no path."""
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
