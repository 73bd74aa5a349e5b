"""Configuration part of the replicated state machine."""

from collections import deque
from collections import OrderedDict
import hashlib

import msgspec
import result

from papayalink.state import changes
from papayalink.state import document as documents
from papayalink.state import validation

# At 690 changes a day, outcomes of two weeks.
MAX_OUTCOMES = 10_000
# At 690 changes a day, more than a day; an older reader gets the document.
MAX_HISTORY = 1_000
# A larger delta saves little against the whole document, and the bound
# keeps the history of a snapshot small.
MAX_DELTA_BYTES = 65_536
# Lines of one change kept for people; conflicts repeat them.
MAX_SUMMARY_LINES = 20
MAX_CONFLICT_LINES = 60
MAX_LINE_LENGTH = 400
MAX_REQUEST_ID_LENGTH = 128
MAX_AUTHOR_LENGTH = 128


class ApplyDocument(msgspec.Struct, frozen=True, tag=True):
    """An operator's change.

    Attributes:
        request_id: the same for each resend of the same change.
        base_version: version that the operator started from.
        document_bytes: the whole new document as JSON.
        author: who made the change.
        at_ms: wall-clock time of the proposer, ms since the epoch; not
            part of the content, so a resend may differ in it.
    """

    request_id: str
    base_version: int
    document_bytes: bytes
    author: str
    at_ms: int


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The document is in force as this version."""

    version: int
    digest: str


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """The base version is not the current one; nothing was changed.

    Attributes:
        version: current version.
        author: author of the current version.
        changes: what won since the base version, for people.
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
        delta: delta from the version before, empty when it was too large
            to keep.
        summary: the changes for people, shortened.
    """

    version: int
    digest: str
    author: str
    at_ms: int
    delta: bytes
    summary: str


class Remembered(msgspec.Struct, frozen=True, array_like=True):
    """First outcome of a request id, with a digest of its content."""

    request_id: str
    content: bytes
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
    outcomes: tuple[Remembered, ...]


class Configuration:
    """Current document, its history and the outcomes of requests.

    Deterministic: the state depends only on the commands applied.
    """

    __slots__ = (
        "_version",
        "_document",
        "_encoded",
        "_digest",
        "_history",
        "_outcomes",
        "_deltas",
    )

    def __init__(self) -> None:
        self._history: deque[Version] = deque(maxlen=MAX_HISTORY)
        self._outcomes: OrderedDict[str, Remembered] = OrderedDict()
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
        return self._encoded

    @property
    def digest(self) -> str:
        """Returns: digest of the current document."""
        return self._digest

    def apply(self, command: ApplyDocument) -> ApplyOutcome:
        """Apply a change once.

        Returns:
            The outcome; for a resend, the outcome of the first time.
        """
        content = _content(command)
        known = self._outcomes.get(command.request_id)
        if known is not None:
            if known.content == content:
                return known.outcome
            return RequestIdReused(command.request_id)
        outcome = self._decide(command)
        if len(command.request_id) <= MAX_REQUEST_ID_LENGTH:
            self._outcomes[command.request_id] = Remembered(
                command.request_id, content, outcome
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
            self._deltas[version] = self._combine(version)
        return self._deltas[version]

    def history(self, count: int) -> list[Version]:
        """Returns: the last changes, newest first."""
        newest_first = reversed(self._history)
        return [entry for entry, _ in zip(newest_first, range(count))]

    def snapshot(self) -> Snapshot:
        """Returns: the whole state, encodable by msgspec."""
        return Snapshot(
            version=self._version,
            document=self._encoded,
            history=tuple(self._history),
            outcomes=tuple(self._outcomes.values()),
        )

    def restore(self, state: object) -> None:
        """Replace the state.

        Args:
            state: a `Snapshot`, or the same as decoded without a type.
        """
        if not isinstance(state, Snapshot):
            state = msgspec.convert(state, Snapshot)
        self._history = deque(state.history, maxlen=MAX_HISTORY)
        self._outcomes = OrderedDict(
            (known.request_id, known) for known in state.outcomes
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
        # A document without changes counts as a version too, so that of
        # several changes under one base version only one is accepted.
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

    def _combine(self, version: int) -> bytes | None:
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
        self._encoded = documents.encode(document)
        self._digest = documents.digest(document)
        # Combined deltas by base version: many processes poll with the
        # same version after a change.
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
    """Describe what won over a change.

    Args:
        base_version: version that the change started from.
        version: current version.
        history: the last changes, newest first.
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
        # The newest changes are the ones that the operator meets.
        left_out = len(lines) - MAX_CONFLICT_LINES
        lines = [f"{left_out} earlier lines left out"] + lines[left_out:]
    return Conflict(version, author, "\n".join(lines) + "\n")


def _content(command: ApplyDocument) -> bytes:
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
