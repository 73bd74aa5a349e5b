"""HTML pages of the console: functions from data to text."""

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

_CHOICES = {
    "kind": validation.KINDS,
    "method": validation.METHODS,
}


def escape(value: object) -> str:
    """Returns: text that is safe in HTML and in quoted attributes."""
    return html.escape(str(value), quote=True)


def page(title: str, body: str) -> str:
    """Returns: a whole page; the body is HTML, the title is text."""
    return _PAGE.substitute(title=escape(title), body=body)


def overview(
    current: backends.Current,
    counts: dict[str, int],
    history: list[configuration.Version],
    status: dict,
) -> str:
    """Returns: the first page, which starts drafts."""
    links = " ".join(
        f'<a href="/edit/{section}">{section}</a>'
        for section in drafts.SECTIONS
    )
    return page(
        "configuration",
        f"<p>Version {current.version},"
        f" digest <code>{escape(current.digest)}</code>.</p>"
        f"<h2>Change</h2><nav>{links}</nav>"
        + _table(
            ["section", "entries"],
            [[escape(name), str(count)] for name, count in counts.items()],
        )
        + "<h2>Last changes</h2>"
        + _history_table(history)
        + "<h2>Status</h2>"
        + f"<pre>{escape(json.dumps(status, indent=2, sort_keys=True))}</pre>",
    )


def section_form(
    draft: drafts.Draft, edit: drafts.Edit, form_token: str
) -> str:
    """Returns: the page that edits one section of a draft."""
    section = edit.section
    if section == "limits":
        indices, pages = [], 1
        table = _limits_table(draft)
    else:
        indices, pages = drafts.rows(draft, edit)
        table = _entries_table(draft, section, indices)
    parts = [
        f'<p class="help">{escape(_HELP[section])}</p>',
        '<form method="post" action="/draft">',
        # The enter key presses the first button, which changes nothing.
        f'<button name="go" value="{section}">Update</button>',
        _hidden_fields(draft, form_token),
        _hidden("section", section),
        _navigation(section),
    ]
    if section != "limits":
        parts.append(_search(edit, pages))
    parts.append(table)
    if section != "limits":
        parts.append(
            '<p><button name="action" value="add">Add an entry</button></p>'
        )
    parts.append("</form>")
    return page(section, "\n".join(parts))


def problems_page(
    draft: drafts.Draft,
    problems: list[validation.Problem],
    form_token: str,
) -> str:
    """Returns: the page that lists what to correct in a draft."""
    return page(
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
    """Returns: the page that shows the changes and confirms them.

    Args:
        text: the rendered changes.
        request_id: identifies the change, also when the form is resent.
    """
    shown = text or "no changes\n"
    return page(
        "review",
        f"<p>Changes since version {draft.base_version}:</p>"
        f"<pre>{escape(shown)}</pre>"
        # One form for both ways on, since it carries the whole document.
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
    """Returns: the page that says that the change is in force."""
    return page(
        "accepted",
        f'<p class="notice">The change was accepted as version'
        f" {outcome.version}, digest <code>{escape(outcome.digest)}</code>."
        ' It is in force everywhere within 4 s.</p><p><a href="/">Back to'
        " the configuration</a></p>",
    )


def conflict_page(draft: drafts.Draft, outcome: configuration.Conflict) -> str:
    """Returns: the page that shows what won over a draft."""
    return page(
        "conflict",
        f'<p class="notice">The draft started from version'
        f" {draft.base_version}, but version {outcome.version} by"
        f" {escape(outcome.author)} is in force. Nothing was changed.</p>"
        f"<h2>What won</h2><pre>{escape(outcome.changes)}</pre>"
        f'<p><a href="/">Start again from version {outcome.version}</a></p>'
        "<h2>The draft</h2>"
        '<textarea rows="12" readonly>'
        f"{escape(json.dumps(draft.document, indent=2))}</textarea>",
    )


def reused_page(outcome: configuration.RequestIdReused) -> str:
    """Returns: the page for a request id that names another change."""
    return page(
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
    """Returns: the page that offers to send the same change again."""
    return page(
        "not confirmed",
        f'<p class="notice error">{escape(text)}</p>'
        '<form method="post" action="/confirm">'
        + _hidden_fields(draft, form_token)
        + _hidden("request_id", request_id)
        + _hidden("author", author)
        + "<p><button>Send again</button></p></form>",
    )


def error_page(title: str, text: str) -> str:
    """Returns: a page for a request that could not be answered."""
    return page(
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
        mark = ' class="current"' if name == current else ""
        buttons.append(
            f'<button name="go" value="{name}"{mark}>{name}</button>'
        )
    return (
        f"<nav>{' '.join(buttons)}" ' <a href="/">discard the draft</a></nav>'
    )


def _search(edit: drafts.Edit, pages: int) -> str:
    shown = min(edit.page, pages - 1)
    choices = "".join(
        f'<option value="{number}"{_if(number == shown, " selected")}>'
        f"{number + 1} of {pages}</option>"
        for number in range(pages)
    )
    return (
        '<p><label>Names containing <input type="text" name="search"'
        f' value="{escape(edit.search)}"></label>'
        f' <label>Page <select name="page">{choices}</select></label></p>'
    )


def _limits_table(draft: drafts.Draft) -> str:
    limits = draft.document["limits"]
    return _table(
        ["limit", "value"],
        [
            [
                escape(field.name),
                _input(draft, field, limits.get(field.name), "0"),
            ]
            for field in drafts.fields_of("limits")
        ],
    )


def _entries_table(
    draft: drafts.Draft, section: str, indices: list[int]
) -> str:
    fields = drafts.fields_of(section)
    heads = [field.name for field in fields]
    if section == "workspaces":
        heads.append("new token")
    rows = []
    for index in indices:
        entry = draft.document[section][index]
        cells = [
            _input(draft, field, entry.get(field.name), str(index))
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
    return _table([*heads, ""], rows)


def _row_buttons(section: str, index: int) -> str:
    buttons = [f'<button name="action" value="remove:{index}">Remove</button>']
    if section == "ranks" and index > 0:
        buttons.append(f'<button name="action" value="up:{index}">Up</button>')
    return " ".join(buttons)


def _input(
    draft: drafts.Draft, field: inspect.Field, value: object, prefix: str
) -> str:
    name = f"{prefix}.{field.name}"
    attributes = f'name="{name}" aria-label="{escape(field.name)}"'
    match field.type:
        case inspect.BoolType():
            mark = _if(value is True, " checked")
            return f'<input type="checkbox" {attributes}{mark}>'
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
            return _names(draft, "ranks")
        case "serves":
            return _names(draft, "models") + _names(draft, "services")
        case _:
            return _CHOICES.get(name)


def _names(draft: drafts.Draft, section: str) -> list[str]:
    return [str(entry.get("name")) for entry in draft.document[section]]


def _select(attributes: str, choices: Iterable[str], value: object) -> str:
    # A value that is not among the choices stays, for the validator to
    # report it.
    listed = list(choices)
    chosen = "" if value is None else str(value)
    if chosen not in listed:
        listed.insert(0, chosen)
    options = "".join(
        f'<option value="{escape(choice)}"'
        f'{_if(choice == chosen, " selected")}>{escape(choice)}</option>'
        for choice in listed
    )
    return f"<select {attributes}>{options}</select>"


def _calls_table(name: str, value: object) -> str:
    calls = [call for call in value or () if isinstance(call, dict)]
    rows = []
    for row, call in enumerate([*calls, {}]):
        method = f'name="{name}.{row}.method" aria-label="method"'
        mark = _if(call.get("protected") is True, " checked")
        rows.append(
            [
                _select(method, validation.METHODS, call.get("method", "GET")),
                f'<input type="text" name="{name}.{row}.path"'
                f' aria-label="path" value="{escape(call.get("path", ""))}">',
                f'<input type="checkbox" name="{name}.{row}.protected"'
                f' aria-label="protected"{mark}>',
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
                escape(_time(entry.at_ms)),
                f"<pre>{escape(entry.summary)}</pre>",
            ]
            for entry in history
        ],
    )


def _time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        at_ms / 1000, tz=datetime.timezone.utc
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def _table(heads: list[str], rows: list[list[str]]) -> str:
    """Returns: a table; heads are text, cells are HTML."""
    head = "".join(f"<th>{escape(text)}</th>" for text in heads)
    body = "\n".join(
        f"<tr>{''.join(f'<td>{cell}</td>' for cell in cells)}</tr>"
        for cells in rows
    )
    return f"<table>\n<tr>{head}</tr>\n{body}\n</table>"


def _if(condition: bool, text: str) -> str:
    return text if condition else ""
