"""Configuration in the replicated state machine."""

from collections import deque
from collections import OrderedDict
import hashlib

import msgspec
import result

from papayalink.state import changes
from papayalink.state import document as documents
from papayalink.state import validation

# Outcomes of two weeks at 690 changes a day.
MAX_OUTCOMES = 10_000
# More than a day at 690 changes a day; a process with an older version gets
# the whole document.
MAX_HISTORY = 1_000
# A larger delta saves little compared with the whole document, and the bound
# keeps the history in a snapshot small.
MAX_DELTA_BYTES = 65_536
# Lines of the summary of one change; a conflict lists the summaries of all
# changes since the base version.
MAX_SUMMARY_LINES = 20
MAX_CONFLICT_LINES = 60
MAX_LINE_LENGTH = 400
MAX_REQUEST_ID_LENGTH = 128
MAX_AUTHOR_LENGTH = 128


class ApplyDocument(msgspec.Struct, frozen=True, tag=True):
    """Replace the document with an operator's new one.

    Attributes:
        request_id: the same for each resend of a change.
        base_version: version that the operator's change is based on.
        document_bytes: the whole new document as JSON.
        author: who made the change.
        at_ms: wall-clock time of the proposer in ms since the epoch. It is
            not part of the content, so a resend may have another time.
    """

    request_id: str
    base_version: int
    document_bytes: bytes
    author: str
    at_ms: int


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The document was accepted and is in force as this version."""

    version: int
    digest: str


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """The base version is not the current one; nothing was changed.

    Attributes:
        version: current version.
        author: author of the current version.
        changes: text for operators that lists the changes accepted since the
            base version.
    """

    version: int
    author: str
    changes: str


class Invalid(msgspec.Struct, frozen=True, tag=True):
    """The document has problems; nothing was changed."""

    problems: tuple[validation.Problem, ...]


class RequestIdReused(msgspec.Struct, frozen=True, tag=True):
    """The request id belongs to another change; nothing was changed."""

    request_id: str


ApplyOutcome = Accepted | Conflict | Invalid | RequestIdReused


class Version(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
        delta: delta from the previous version, empty when it was too large
            to keep.
        summary: the changes as text for operators, shortened.
    """

    version: int
    digest: str
    author: str
    at_ms: int
    delta: bytes
    summary: str


class RecordedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """First outcome of a request id, with a digest of the request."""

    request_id: str
    content_digest: bytes
    outcome: ApplyOutcome


class Snapshot(msgspec.Struct, frozen=True):
    """State of the configuration.

    Attributes:
        history: oldest first.
        outcomes: oldest first.
    """

    version: int
    document: bytes
    history: tuple[Version, ...]
    outcomes: tuple[RecordedOutcome, ...]


class Configuration:
    """Current document, its history and the outcomes of requests.

    Deterministic: the state depends only on the commands applied.
    """

    __slots__ = (
        "_version",
        "_document",
        "_document_bytes",
        "_digest",
        "_history",
        "_outcomes",
        "_deltas",
    )

    def __init__(self) -> None:
        self._history: deque[Version] = deque(maxlen=MAX_HISTORY)
        self._outcomes: OrderedDict[str, RecordedOutcome] = OrderedDict()
        self._set_document(0, documents.Document())

    @property
    def version(self) -> int:
        """Returns: number of the current version, 0 for none applied."""
        return self._version

    @property
    def document(self) -> documents.Document:
        """Returns: the current document."""
        return self._document

    @property
    def document_bytes(self) -> bytes:
        """Returns: the current document in canonical form."""
        return self._document_bytes

    @property
    def digest(self) -> str:
        """Returns: digest of the current document."""
        return self._digest

    def apply(self, command: ApplyDocument) -> ApplyOutcome:
        """Apply a change at most once.

        Returns:
            The outcome; for a resend, that of the first application.
        """
        content_digest = _digest_content(command)
        recorded = self._outcomes.get(command.request_id)
        if recorded is not None:
            if recorded.content_digest == content_digest:
                return recorded.outcome
            return RequestIdReused(command.request_id)
        outcome = self._decide(command)
        if len(command.request_id) <= MAX_REQUEST_ID_LENGTH:
            self._outcomes[command.request_id] = RecordedOutcome(
                command.request_id, content_digest, outcome
            )
            if len(self._outcomes) > MAX_OUTCOMES:
                self._outcomes.popitem(last=False)
        return outcome

    def delta_since(self, version: int) -> bytes | None:
        """Make one delta from an earlier version to the current one.

        Returns:
            The delta, or None when the reader needs the whole document.
        """
        if not 0 <= version <= self._version:
            return None
        if version not in self._deltas:
            self._deltas[version] = self._combine_deltas(version)
        return self._deltas[version]

    def history(self, count: int) -> list[Version]:
        """Returns: up to `count` of the last versions, newest first."""
        newest_first = reversed(self._history)
        return [entry for entry, _ in zip(newest_first, range(count))]

    def snapshot(self) -> Snapshot:
        """Returns: the whole state, encodable by msgspec."""
        return Snapshot(
            version=self._version,
            document=self._document_bytes,
            history=tuple(self._history),
            outcomes=tuple(self._outcomes.values()),
        )

    def restore(self, state: object) -> None:
        """Replace the state.

        Args:
            state: a `Snapshot`, or the plain types that it decodes to when
                no type is given.
        """
        if not isinstance(state, Snapshot):
            state = msgspec.convert(state, Snapshot)
        self._history = deque(state.history, maxlen=MAX_HISTORY)
        self._outcomes = OrderedDict(
            (recorded.request_id, recorded) for recorded in state.outcomes
        )
        self._set_document(state.version, documents.decode(state.document))

    def _decide(self, command: ApplyDocument) -> ApplyOutcome:
        problems = _check_request(command)
        if problems:
            return Invalid(tuple(problems))
        if command.base_version != self._version:
            return make_conflict(
                command.base_version,
                self._version,
                self.history(MAX_HISTORY),
            )
        match validation.validate(command.document_bytes):
            case result.Err(problems):
                return Invalid(tuple(problems))
            case result.Ok(document):
                return self._accept(command, document)

    def _accept(
        self, command: ApplyDocument, document: documents.Document
    ) -> Accepted:
        old = self._document
        delta = changes.make_delta(old, document)
        # An unchanged document also gets a new version, so that only one of
        # several requests with the same base version is accepted.
        self._set_document(self._version + 1, document)
        self._history.append(
            Version(
                version=self._version,
                digest=self._digest,
                author=command.author,
                at_ms=command.at_ms,
                delta=delta if len(delta) <= MAX_DELTA_BYTES else b"",
                summary=_summarise(changes.diff(old, document)),
            )
        )
        return Accepted(self._version, self._digest)

    def _combine_deltas(self, version: int) -> bytes | None:
        steps = self._version - version
        if steps > len(self._history):
            return None
        names: dict[str, set[str]] = {}
        limits_changed = False
        for entry, _ in zip(reversed(self._history), range(steps)):
            if not entry.delta:
                return None
            touched, limits_touched = changes.touched_by(entry.delta)
            limits_changed = limits_changed or limits_touched
            for section, found in touched.items():
                names.setdefault(section, set()).update(found)
        return changes.combine_delta(names, limits_changed, self._document)

    def _set_document(
        self, version: int, document: documents.Document
    ) -> None:
        self._version = version
        self._document = document
        self._document_bytes = documents.encode(document)
        self._digest = documents.digest(document)
        # Cache of combined deltas by base version: after a change, many
        # processes poll with the same version.
        self._deltas: dict[int, bytes | None] = {}


def make_configuration(state: object = None) -> Configuration:
    """Returns: a configuration, empty or restored from a snapshot."""
    configuration = Configuration()
    if state is not None:
        configuration.restore(state)
    return configuration


def make_conflict(
    base_version: int, version: int, history: list[Version]
) -> Conflict:
    """Describe the accepted changes that a refused change conflicts with.

    Args:
        base_version: version that the refused change is based on.
        version: current version.
        history: the last accepted changes, newest first.
    """
    author = history[0].author if history else ""
    if not 0 <= base_version <= version:
        text = f"there is no version {base_version}\n"
        return Conflict(version, author, text)
    lines = []
    oldest = version - len(history) + 1
    if base_version + 1 < oldest:
        lines.append(f"changes before version {oldest} are not kept")
    for entry in reversed(history):
        if entry.version > base_version:
            lines.append(f"version {entry.version} by {entry.author}:")
            lines.extend(f"  {line}" for line in entry.summary.splitlines())
    if len(lines) > MAX_CONFLICT_LINES:
        # The newest changes matter most to the operator.
        omitted = len(lines) - MAX_CONFLICT_LINES
        lines = [f"{omitted} earlier lines left out"] + lines[omitted:]
    return Conflict(version, author, "\n".join(lines) + "\n")


def _digest_content(command: ApplyDocument) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        str(command.base_version).encode(),
        command.author.encode(),
        command.document_bytes,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _check_request(command: ApplyDocument) -> list[validation.Problem]:
    found = []
    for path, value, limit in (
        ("request_id", command.request_id, MAX_REQUEST_ID_LENGTH),
        ("author", command.author, MAX_AUTHOR_LENGTH),
    ):
        if not (0 < len(value) <= limit and value.isprintable()):
            found.append(
                validation.Problem(
                    path,
                    "is empty, too long or not printable",
                    f"give 1 to {limit} printable characters",
                )
            )
    return found


def _summarise(found: list[changes.Change]) -> str:
    lines = [
        _shorten(changes.render_change(change))
        for change in found[:MAX_SUMMARY_LINES]
    ]
    if len(found) > MAX_SUMMARY_LINES:
        lines.append(f"and {len(found) - MAX_SUMMARY_LINES} more changes")
    return "".join(f"{line}\n" for line in lines) or "no changes\n"


def _shorten(line: str) -> str:
    if len(line) <= MAX_LINE_LENGTH:
        return line
    return line[: MAX_LINE_LENGTH - 3] + "..."
