"""Request handlers of the HTML pages, which edit and submit drafts."""

from collections.abc import Callable

import falcon
import result

from papayalink import clock as clocks
from papayalink.console import access as accesses
from papayalink.console import api
from papayalink.console import backend as backends
from papayalink.console import drafts
from papayalink.console import errors
from papayalink.console import pages
from papayalink.console import style
from papayalink.state import changes
from papayalink.state import configuration
from papayalink.state import document as documents
from papayalink.state import validation

# Enough to see who changed what recently; /api/history returns more.
OVERVIEW_HISTORY_COUNT = 10
# URL encoding takes up to three characters for one byte of the document.
MAX_FORM_BYTES = 3 * api.MAX_BODY_BYTES


class StyleSheet:
    """/console.css: the style sheet."""

    __slots__ = ()

    def on_get(self, request, response) -> None:
        response.content_type = "text/css; charset=utf-8"
        response.text = style.CSS


class Overview:
    """/: overview of the configuration in force."""

    __slots__ = ("_backend",)

    def __init__(self, backend: backends.Backend) -> None:
        self._backend = backend

    def on_get(self, request, response) -> None:
        current = self._backend.document()
        document = documents.decode(current.document)
        counts = {
            section: len(getattr(document, section))
            for section in changes.SECTIONS
        }
        _send(
            response,
            pages.overview(
                current,
                counts,
                self._backend.history(OVERVIEW_HISTORY_COUNT),
                self._backend.status(),
            ),
        )


class NewDraft:
    """/edit/SECTION: starts a draft from the version in force."""

    __slots__ = ("_backend", "_access")

    def __init__(
        self, backend: backends.Backend, access: accesses.Access
    ) -> None:
        self._backend = backend
        self._access = access

    def on_get(self, request, response, section: str) -> None:
        if section not in drafts.SECTIONS:
            raise falcon.HTTPNotFound(
                title="There is no such section",
                description=f"Sections: {', '.join(drafts.SECTIONS)}.",
            )
        current = self._backend.document()
        draft = drafts.make_draft(current.version, current.document)
        form_request = drafts.FormRequest(section=section)
        _send(
            response,
            pages.section_form(draft, form_request, self._access.form_token),
        )


class EditDraft:
    """/draft: takes a submitted form and shows the next page."""

    __slots__ = ("_backend", "_access", "_make_request_id")

    def __init__(
        self,
        backend: backends.Backend,
        access: accesses.Access,
        make_request_id: Callable[[], str],
    ) -> None:
        self._backend = backend
        self._access = access
        self._make_request_id = make_request_id

    def on_post(self, request, response) -> None:
        form = _read_form(request, self._access)
        draft = drafts.read_draft(form)
        form_request = drafts.read_form_request(form)
        drafts.merge_form(draft, form_request, form)
        form_request = drafts.apply_action(draft, form_request)
        if form_request.next_page == "review":
            self._review(request, response, draft)
            return
        if (
            form_request.next_page in drafts.SECTIONS
            and form_request.next_page != form_request.section
        ):
            form_request = drafts.FormRequest(section=form_request.next_page)
        elif not form_request.section:
            raise drafts.DraftInvalid("the form names no page to show")
        _send(
            response,
            pages.section_form(draft, form_request, self._access.form_token),
        )

    def _review(self, request, response, draft: drafts.Draft) -> None:
        match validation.validate(draft.encode().encode()):
            case result.Err(problems):
                response.status = falcon.HTTP_422
                _send(
                    response,
                    pages.problems_page(
                        draft, problems, self._access.form_token
                    ),
                )
            case result.Ok(document):
                self._show_changes(request, response, draft, document)

    def _show_changes(
        self,
        request,
        response,
        draft: drafts.Draft,
        document: documents.Document,
    ) -> None:
        current = self._backend.document()
        if current.version != draft.base_version:
            response.status = falcon.HTTP_409
            _send(
                response,
                pages.conflict_page(draft, self._conflict(draft, current)),
            )
            return
        differences = changes.diff(
            documents.decode(current.document), document
        )
        _send(
            response,
            pages.review_page(
                draft,
                changes.render(differences),
                request.context.user or "operator",
                self._make_request_id(),
                self._access.form_token,
            ),
        )

    def _conflict(
        self, draft: drafts.Draft, current: backends.CurrentConfiguration
    ) -> configuration.Conflict:
        return configuration.make_conflict(
            draft.base_version,
            current.version,
            self._backend.history(configuration.MAX_HISTORY),
        )


class ConfirmDraft:
    """/confirm: proposes the document of a draft as a change."""

    __slots__ = ("_backend", "_access", "_clock")

    def __init__(
        self,
        backend: backends.Backend,
        access: accesses.Access,
        clock: clocks.Clock,
    ) -> None:
        self._backend = backend
        self._access = access
        self._clock = clock

    def on_post(self, request, response) -> None:
        form = _read_form(request, self._access)
        draft = drafts.read_draft(form)
        command = configuration.ApplyDocument(
            request_id=form.get("request_id", ""),
            base_version=draft.base_version,
            document_bytes=draft.encode().encode(),
            author=form.get("author", ""),
            at_ms=int(self._clock.wall() * 1000),
        )
        try:
            outcome = self._backend.apply(command)
        except (errors.Unavailable, errors.Unknown) as error:
            # The resend form carries the same request id, so the change is
            # applied at most once.
            api.set_error_status(request, response, error)
            text = (
                api.UNKNOWN_OUTCOME_TEXT
                if isinstance(error, errors.Unknown)
                else f"The control group is not available: {error}"
            )
            _send(
                response,
                pages.resend_page(
                    draft,
                    text,
                    command.author,
                    command.request_id,
                    self._access.form_token,
                ),
            )
            return
        response.status = api.http_status(outcome)
        _send(response, self._render(draft, outcome))

    def _render(
        self, draft: drafts.Draft, outcome: configuration.ApplyOutcome
    ) -> str:
        match outcome:
            case configuration.Accepted():
                return pages.accepted_page(outcome)
            case configuration.Conflict():
                return pages.conflict_page(draft, outcome)
            case configuration.Invalid():
                return pages.problems_page(
                    draft, list(outcome.problems), self._access.form_token
                )
            case configuration.RequestIdReused():
                return pages.request_id_reused_page(outcome)


def _read_form(
    request: falcon.Request, access: accesses.Access
) -> dict[str, str]:
    form = drafts.parse_form(api.read_body(request, MAX_FORM_BYTES))
    access.check_form(form.get("form_token", ""))
    return form


def _send(response: falcon.Response, text: str) -> None:
    response.content_type = falcon.MEDIA_HTML
    response.text = text
