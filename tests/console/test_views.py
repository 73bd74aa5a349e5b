"""Tests of the HTML forms."""

import html
import re
import urllib.parse

import msgspec
import pytest

from papayalink.console import drafts
from papayalink.console import errors
from papayalink.state import configuration
from papayalink.state import document as documents
from tests.state import samples


def _form_values(page, form_index=0):
    """Returns: the values that a browser submits, except for buttons."""
    form = re.findall(r"<form.*?</form>", page.text, re.S)[form_index]
    values_by_name = {}
    for tag in re.findall(r"<input[^>]*>", form):
        attributes = dict(re.findall(r'([\w-]+)="([^"]*)"', tag))
        if attributes["type"] != "checkbox":
            values_by_name[attributes["name"]] = html.unescape(
                attributes.get("value", "")
            )
        elif " checked" in tag:
            values_by_name[attributes["name"]] = "on"
    for name, body in re.findall(
        r'<select name="([^"]*)".*?>(.*?)</select>', form, re.S
    ):
        chosen = re.search(r'value="([^"]*)" selected', body)
        values_by_name[name] = html.unescape(chosen.group(1))
    for name, body in re.findall(
        r'<textarea rows="2" name="([^"]*)".*?>\n(.*?)</textarea>', form, re.S
    ):
        values_by_name[name] = html.unescape(body)
    return values_by_name


def _post(client, path, fields):
    return client.simulate_post(
        path,
        body=urllib.parse.urlencode(fields),
        content_type="application/x-www-form-urlencoded",
    )


def _review(client, section, change, **action):
    fields = _form_values(client.simulate_get(f"/edit/{section}"))
    fields |= change
    if action:
        fields = _form_values(_post(client, "/draft", fields | action))
    return _post(client, "/draft", fields | {"go": "review"})


def _apply_document(backend, value, base=1):
    outcome = backend.configuration.apply(
        configuration.ApplyDocument(
            f"s{base}", base, msgspec.json.encode(value), "bea", 2_000
        )
    )
    assert isinstance(outcome, configuration.Accepted)


@pytest.mark.parametrize("section", drafts.SECTIONS)
def test_unchanged_form_changes_nothing(client, section):
    # Guards against a page that alters fields which were not edited.
    page = _review(client, section, {})
    assert page.status_code == 200
    assert "<pre>no changes\n</pre>" in page.text


@pytest.mark.parametrize(
    "section, change, action, expected",
    [
        ("ranks", {"0.ttft_target_ms": "900"}, {}, "1600 -&gt; 900"),
        ("ranks", {}, {"action": "up:1"}, "ranks order"),
        ("workspaces", {}, {"action": "remove:2"}, "- workspaces[w2]"),
        (
            "workspaces",
            {"0.new_token": "fresh"},
            {},
            f"token_digests[{documents.token_digest('fresh')}]",
        ),
        ("models", {"0.adapters": " b "}, {}, "adapters[b]"),
        (
            "services",
            {"0.calls.2.path": "/x", "0.calls.2.protected": "on"},
            {},
            "+ services[orders].calls[GET /x]",
        ),
        (
            "services",
            {"0.calls.0.path": ""},
            {},
            "- services[orders].calls[GET /prices/*]",
        ),
        ("upstreams", {"0.draining": "on"}, {}, "false -&gt; true"),
        ("limits", {"0.max_body_bytes": "5"}, {}, "1000000 -&gt; 5"),
        # An empty number field means the default.
        ("ranks", {"0.min_share": ""}, {}, "0.6 -&gt; 0.0"),
    ],
)
def test_edits_reach_the_diff(client, section, change, action, expected):
    # Guards against edits that are lost or applied to another entry.
    page = _review(client, section, change, **action)
    assert page.status_code == 200
    shown = re.search(r"<pre>(.*?)</pre>", page.text, re.S).group(1)
    assert expected in shown
    assert shown.count("\n") == 1
    assert "fresh" not in page.text


def test_added_entry_must_be_filled_in(client):
    # Guards against submitting a draft with an empty entry.
    page = _review(client, "stores", {}, action="add")
    assert page.status_code == 422
    assert "$.stores[1].name" in page.text
    # The page of problems carries the draft, which can be edited further.
    page = _post(client, "/draft", _form_values(page) | {"go": "stores"})
    filled = {"1.name": "k2", "1.address": "10.0.0.8:80", "1.zone": "z"}
    page = _post(
        client, "/draft", _form_values(page) | filled | {"go": "review"}
    )
    assert "+ stores[k2]" in page.text


@pytest.mark.parametrize("text", ["x", "1.5", "9" * 400, "nan", "1e999"])
def test_wrong_numbers_are_reported(client, text):
    # Guards against numbers that are rounded or that make the form fail.
    page = _review(client, "ranks", {"0.weight": text, "0.min_share": "nan"})
    assert page.status_code == 422
    assert "$.ranks[0].weight" in page.text
    assert "$.ranks[0].min_share" in page.text


def test_long_sections_are_shown_by_page(client, backend):
    # Guards against changed or dropped entries that the page does not show.
    value = samples.valid()
    value["stores"] = [
        {"name": f"k{number}", "address": f"10.0.1.{number}:80", "zone": "z"}
        for number in range(1, 121)
    ]
    value["stores"][60]["draining"] = True
    _apply_document(backend, value)
    fields = _form_values(client.simulate_get("/edit/stores"))
    assert "49.name" in fields and "50.name" not in fields
    fields = _form_values(
        _post(client, "/draft", fields | {"page": "2", "go": "stores"})
    )
    assert "119.name" in fields and "99.name" not in fields
    fields = _form_values(
        _post(client, "/draft", fields | {"search": "k77", "go": "stores"})
    )
    assert [name for name in fields if name.endswith(".name")] == ["76.name"]
    page = _post(
        client, "/draft", fields | {"76.draining": "on", "go": "review"}
    )
    shown = re.search(r"<pre>(.*?)</pre>", page.text, re.S).group(1)
    assert shown == "~ stores[k77].draining: false -&gt; true\n"


def test_confirmed_change_is_applied_once(client, backend):
    # Guards against a resend after a lost response that is applied again.
    page = _review(client, "limits", {"0.max_body_bytes": "5"})
    assert '<button formaction="/confirm">' in page.text
    fields = _form_values(page) | {"author": "ann"}
    backend.fault = errors.Unknown("timed out")
    page = _post(client, "/confirm", fields)
    assert page.status_code == 504
    assert _form_values(page) == fields
    backend.fault = None
    page = _post(client, "/confirm", _form_values(page))
    assert page.status_code == 200
    assert "as version 2" in page.text
    assert backend.configuration.version == 2


def test_unavailable_group_keeps_the_form(client, backend):
    # Guards against a draft that is lost during a leader election.
    fields = _form_values(_review(client, "limits", {"0.max_body_bytes": "5"}))
    backend.fault = errors.Unavailable("no quorum")
    page = _post(client, "/confirm", fields)
    assert (page.status_code, _form_values(page)) == (503, fields)


@pytest.mark.parametrize("moment", ["review", "confirm"])
def test_conflict_shows_what_won(client, backend, moment):
    # Guards against a draft that reverts another operator's change.
    value = samples.valid()
    value["ranks"][0]["weight"] = 7
    if moment == "review":
        fields = _form_values(client.simulate_get("/edit/limits"))
        _apply_document(backend, value)
        page = _post(client, "/draft", fields | {"go": "review"})
    else:
        fields = _form_values(_review(client, "limits", {}))
        _apply_document(backend, value)
        page = _post(client, "/confirm", fields)
    assert page.status_code == 409
    assert "version 2 by bea" in page.text
    assert "ranks[urgent].weight: 1 -&gt; 7" in page.text
    assert backend.configuration.version == 2


@pytest.mark.parametrize("path", ["/draft", "/confirm"])
def test_forms_of_other_sites_are_refused(client, backend, path):
    # Guards against cross-site request forgery: a page of another site that
    # submits a form with the operator's credentials.
    fields = _form_values(_review(client, "limits", {"0.max_body_bytes": "5"}))
    for token in ("", "x", "\xff"):
        page = _post(client, path, fields | {"form_token": token})
        assert page.status_code == 403
    del fields["form_token"]
    assert _post(client, path, fields).status_code == 403
    assert backend.configuration.version == 1


@pytest.mark.parametrize(
    "change",
    [
        {"document": "{"},
        {"document": "[]"},
        {"document": '{"ranks": [1]}'},
        {"document": '{"limits": 1}'},
        {"base_version": "x"},
        {"page": "x"},
        {"section": "x"},
    ],
)
def test_damaged_forms_are_refused(client, change):
    # Guards against an internal error for a malformed form.
    fields = _form_values(client.simulate_get("/edit/ranks"))
    assert _post(client, "/draft", fields | change).status_code == 400


def test_values_are_escaped(client, backend):
    # Guards against script injection by names, authors and summaries.
    script = '"><script>x</script>'
    fields = _form_values(client.simulate_get("/edit/ranks"))
    fields |= {"0.name": script, "search": script}
    for go in ("ranks", "workspaces", "review"):
        page = _post(client, "/draft", fields | {"go": go})
        assert "<script" not in page.text
        assert "&lt;script" in page.text
    backend.configuration.apply(
        configuration.ApplyDocument("s", 1, b"{}", script, 2_000)
    )
    page = client.simulate_get("/")
    assert "<script" not in page.text and "<c2>" not in page.text


def test_form_page(client, snapshot):
    page = client.simulate_get("/edit/services")
    form_token = _form_values(page)["form_token"]
    assert page.text.replace(form_token, "FORM-TOKEN") == snapshot
