"""HTML pages of the console."""

from collections.abc import Iterable
import datetime
import html
import json
import string

from msgspec import inspect

from papayalink.console import backend as backends
from papayalink.console import drafts
from papayalink.state import configuration
from papayalink.state import validation

_PAGE = string.Template("""\
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>$title - papayalink</title>
<link rel="stylesheet" href="/console.css">
</head>
<body>
<header><h1>papayalink: $title</h1></header>
$body
</body>
</html>
""")

_HELP = {
    "ranks": "The most urgent rank comes first. Shares add up to at most 1.",
    "workspaces": "A limit of 0 is no limit. Tokens are kept as digests.",
    "models": "New requests use the weight version given here.",
    "services": (
        'A path ending in "/*" is a prefix. Protected calls run at most once.'
        " A call with an empty path is removed."
    ),
    "upstreams": "A draining upstream finishes its work and gets no more.",
    "stores": "A draining store is read from but not written to.",
    "limits": "These limits hold for the whole deployment.",
}

_FIXED_CHOICES = {
    "kind": validation.KINDS,
    "method": validation.METHODS,
}


def escape(value: object) -> str:
    """Returns: the value escaped for HTML text and quoted attributes."""
    return html.escape(str(value), quote=True)


def render_page(title: str, body: str) -> str:
    """Returns: a whole page; the body is HTML, the title is plain text."""
    return _PAGE.substitute(title=escape(title), body=body)


def overview(
    current: backends.CurrentConfiguration,
    counts: dict[str, int],
    history: list[configuration.Version],
    status: dict,
) -> str:
    """Returns: the start page, whose links start a draft."""
    links = " ".join(
        f'<a href="/edit/{section}">{section}</a>'
        for section in drafts.SECTIONS
    )
    return render_page(
        "configuration",
        f"<p>Version {current.version},"
        f" digest <code>{escape(current.digest)}</code>.</p>"
        f"<h2>Change</h2><nav>{links}</nav>"
        + _table(
            ["section", "entries"],
            [[escape(name), str(count)] for name, count in counts.items()],
        )
        + "<h2>Latest changes</h2>"
        + _history_table(history)
        + "<h2>Status</h2>"
        + f"<pre>{escape(json.dumps(status, indent=2, sort_keys=True))}</pre>",
    )


def section_form(
    draft: drafts.Draft, form_request: drafts.FormRequest, form_token: str
) -> str:
    """Returns: the page that edits one section of a draft."""
    section = form_request.section
    if section == "limits":
        indices, pages = [], 1
        table = _limits_table(draft)
    else:
        indices, pages = drafts.visible_entries(draft, form_request)
        table = _entries_table(draft, section, indices)
    parts = [
        f'<p class="help">{escape(_HELP[section])}</p>',
        '<form method="post" action="/draft">',
        # The enter key activates the first button of a form, so this one only
        # updates the draft.
        f'<button name="go" value="{section}">Update</button>',
        _hidden_fields(draft, form_token),
        _hidden("section", section),
        _navigation(section),
    ]
    if section != "limits":
        parts.append(_search_fields(form_request, pages))
    parts.append(table)
    if section != "limits":
        parts.append(
            '<p><button name="action" value="add">Add an entry</button></p>'
        )
    parts.append("</form>")
    return render_page(section, "\n".join(parts))


def problems_page(
    draft: drafts.Draft,
    problems: list[validation.Problem],
    form_token: str,
) -> str:
    """Returns: the page that lists the problems of a draft."""
    return render_page(
        "problems",
        "<p>The draft is not valid. Nothing was changed.</p>"
        + _table(
            ["path", "problem", "fix"],
            [
                [
                    f"<code>{escape(problem.path)}</code>",
                    escape(problem.text),
                    escape(problem.fix),
                ]
                for problem in problems
            ],
        )
        + '<form method="post" action="/draft">'
        + _hidden_fields(draft, form_token)
        + _navigation("")
        + "</form>",
    )


def review_page(
    draft: drafts.Draft,
    text: str,
    author: str,
    request_id: str,
    form_token: str,
) -> str:
    """Returns: the page on which the operator reviews and confirms changes.

    Args:
        text: the rendered changes, empty if there are none.
        request_id: identifies the change, also when the form is resent.
    """
    shown = text or "no changes\n"
    return render_page(
        "review",
        f"<p>Changes since version {draft.base_version}:</p>"
        f"<pre>{escape(shown)}</pre>"
        # One form serves confirmation and further edits, since it carries
        # the whole document.
        '<form method="post" action="/draft">'
        + _hidden_fields(draft, form_token)
        + _hidden("request_id", request_id)
        + '<p><label>Author <input type="text" name="author"'
        + f' value="{escape(author)}"></label></p>'
        + '<p><button formaction="/confirm">Confirm</button></p>'
        + _navigation("review")
        + "</form>",
    )


def accepted_page(outcome: configuration.Accepted) -> str:
    """Returns: the page that reports an accepted change."""
    return render_page(
        "accepted",
        f'<p class="notice">The change was accepted as version'
        f" {outcome.version}, digest <code>{escape(outcome.digest)}</code>."
        ' It is in force everywhere within 4 s.</p><p><a href="/">Back to'
        " the configuration</a></p>",
    )


def conflict_page(draft: drafts.Draft, outcome: configuration.Conflict) -> str:
    """Returns: the page that shows the changes that conflict with a draft."""
    return render_page(
        "conflict",
        f'<p class="notice">The draft started from version'
        f" {draft.base_version}, but version {outcome.version} by"
        f" {escape(outcome.author)} is in force. Nothing was changed.</p>"
        f"<h2>Changes since then</h2><pre>{escape(outcome.changes)}</pre>"
        f'<p><a href="/">Start again from version {outcome.version}</a></p>'
        "<h2>The draft</h2>"
        '<textarea rows="12" readonly>'
        f"{escape(json.dumps(draft.document, indent=2))}</textarea>",
    )


def request_id_reused_page(outcome: configuration.RequestIdReused) -> str:
    """Returns: the page for a request id that belongs to another change."""
    return render_page(
        "refused",
        '<p class="notice">The request id'
        f" <code>{escape(outcome.request_id)}</code> belongs to another"
        " change. Nothing was changed.</p>"
        '<p><a href="/">Start again</a></p>',
    )


def resend_page(
    draft: drafts.Draft,
    text: str,
    author: str,
    request_id: str,
    form_token: str,
) -> str:
    """Returns: the page from which the operator can resend a change."""
    return render_page(
        "not confirmed",
        f'<p class="notice error">{escape(text)}</p>'
        '<form method="post" action="/confirm">'
        + _hidden_fields(draft, form_token)
        + _hidden("request_id", request_id)
        + _hidden("author", author)
        + "<p><button>Send again</button></p></form>",
    )


def error_page(title: str, text: str) -> str:
    """Returns: the page that reports a failed request."""
    return render_page(
        title,
        f'<p class="notice error">{escape(text)}</p>'
        '<p><a href="/">Back to the configuration</a></p>',
    )


def _hidden(name: str, value: object) -> str:
    return f'<input type="hidden" name="{name}" value="{escape(value)}">'


def _hidden_fields(draft: drafts.Draft, form_token: str) -> str:
    return "\n".join(
        (
            _hidden("form_token", form_token),
            _hidden("base_version", draft.base_version),
            _hidden("document", draft.encode()),
        )
    )


def _navigation(current: str) -> str:
    buttons = []
    for name in (*drafts.SECTIONS, "review"):
        css_class = ' class="current"' if name == current else ""
        buttons.append(
            f'<button name="go" value="{name}"{css_class}>{name}</button>'
        )
    return (
        f"<nav>{' '.join(buttons)}" ' <a href="/">discard the draft</a></nav>'
    )


def _search_fields(form_request: drafts.FormRequest, pages: int) -> str:
    shown_page = min(form_request.page, pages - 1)
    choices = "".join(
        f'<option value="{number}"'
        f'{_text_if(number == shown_page, " selected")}>'
        f"{number + 1} of {pages}</option>"
        for number in range(pages)
    )
    return (
        '<p><label>Names containing <input type="text" name="search"'
        f' value="{escape(form_request.search)}"></label>'
        f' <label>Page <select name="page">{choices}</select></label></p>'
    )


def _limits_table(draft: drafts.Draft) -> str:
    limits = draft.document["limits"]
    return _table(
        ["limit", "value"],
        [
            [
                escape(field.name),
                _input_element(draft, field, limits.get(field.name), "0"),
            ]
            for field in drafts.section_fields("limits")
        ],
    )


def _entries_table(
    draft: drafts.Draft, section: str, indices: list[int]
) -> str:
    fields = drafts.section_fields(section)
    headings = [field.name for field in fields]
    if section == "workspaces":
        headings.append("new token")
    rows = []
    for index in indices:
        entry = draft.document[section][index]
        cells = [
            _input_element(draft, field, entry.get(field.name), str(index))
            for field in fields
        ]
        if section == "workspaces":
            cells.append(
                f'<input type="password" name="{index}.new_token"'
                ' autocomplete="off" aria-label="new token">'
            )
        cells.append(
            _hidden(f"{index}.shown", 1) + _row_buttons(section, index)
        )
        rows.append(cells)
    return _table([*headings, ""], rows)


def _row_buttons(section: str, index: int) -> str:
    buttons = [f'<button name="action" value="remove:{index}">Remove</button>']
    if section == "ranks" and index > 0:
        buttons.append(f'<button name="action" value="up:{index}">Up</button>')
    return " ".join(buttons)


def _input_element(
    draft: drafts.Draft, field: inspect.Field, value: object, prefix: str
) -> str:
    name = f"{prefix}.{field.name}"
    attributes = f'name="{name}" aria-label="{escape(field.name)}"'
    match field.type:
        case inspect.BoolType():
            checked = _text_if(value is True, " checked")
            return f'<input type="checkbox" {attributes}{checked}>'
        case inspect.VarTupleType(item_type=inspect.StructType()):
            return _calls_table(name, value)
        case inspect.VarTupleType():
            lines = value if isinstance(value, list) else []
            text = escape("\n".join(str(line) for line in lines))
            return f'<textarea rows="2" {attributes}>\n{text}</textarea>'
        case _:
            choices = _choices(draft, field.name)
            if choices is not None:
                return _select(attributes, choices, value)
            text = "" if value is None else escape(value)
            return f'<input type="text" {attributes} value="{text}">'


def _choices(draft: drafts.Draft, name: str) -> Iterable[str] | None:
    match name:
        case "rank":
            return _entry_names(draft, "ranks")
        case "serves":
            return _entry_names(draft, "models") + _entry_names(
                draft, "services"
            )
        case _:
            return _FIXED_CHOICES.get(name)


def _entry_names(draft: drafts.Draft, section: str) -> list[str]:
    return [str(entry.get("name")) for entry in draft.document[section]]


def _select(attributes: str, choices: Iterable[str], value: object) -> str:
    # A value that is not among the choices is kept, so that the validator
    # reports it.
    all_choices = list(choices)
    selected = "" if value is None else str(value)
    if selected not in all_choices:
        all_choices.insert(0, selected)
    options = "".join(
        f'<option value="{escape(choice)}"'
        f'{_text_if(choice == selected, " selected")}>'
        f"{escape(choice)}</option>"
        for choice in all_choices
    )
    return f"<select {attributes}>{options}</select>"


def _calls_table(name: str, value: object) -> str:
    calls = [call for call in value or () if isinstance(call, dict)]
    rows = []
    for row, call in enumerate([*calls, {}]):
        method_attributes = f'name="{name}.{row}.method" aria-label="method"'
        checked = _text_if(call.get("protected") is True, " checked")
        rows.append(
            [
                _select(
                    method_attributes,
                    validation.METHODS,
                    call.get("method", "GET"),
                ),
                f'<input type="text" name="{name}.{row}.path"'
                f' aria-label="path" value="{escape(call.get("path", ""))}">',
                f'<input type="checkbox" name="{name}.{row}.protected"'
                f' aria-label="protected"{checked}>',
            ]
        )
    return _table(["method", "path", "protected"], rows)


def _history_table(history: list[configuration.Version]) -> str:
    return _table(
        ["version", "author", "time (UTC)", "changes"],
        [
            [
                str(entry.version),
                escape(entry.author),
                escape(_format_time(entry.at_ms)),
                f"<pre>{escape(entry.summary)}</pre>",
            ]
            for entry in history
        ],
    )


def _format_time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        at_ms / 1000, tz=datetime.timezone.utc
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def _table(headings: list[str], rows: list[list[str]]) -> str:
    """Returns: a table; headings are plain text, cells are HTML."""
    heading_cells = "".join(f"<th>{escape(text)}</th>" for text in headings)
    body_rows = "\n".join(
        f"<tr>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"
        for cells in rows
    )
    return f"<table>\n<tr>{heading_cells}</tr>\n{body_rows}\n</table>"


def _text_if(condition: bool, text: str) -> str:
    return text if condition else ""
