"""Document with version numbers set by an operator, and weight versions."""

import msgspec


class PutNumbered(msgspec.Struct, frozen=True, tag=True):
    """Store an operator's whole document under the operator's number.

    Attributes:
        number: version number set by the operator, above 0.
        content: the document as it was received, valid JSON.
    """

    number: int
    content: bytes


class NameWeights(msgspec.Struct, frozen=True, tag=True):
    """Require the replicas of a model to run at least this weight version."""

    model: str
    version: int


Command = PutNumbered | NameWeights


class Stored(msgspec.Struct, frozen=True, tag=True):
    """The command was applied.

    Attributes:
        number: number of the newest document or of the newest weight version
            after the command.
        changed: whether the command changed the state.
    """

    number: int
    changed: bool


Outcome = Stored


class Content(msgspec.Struct, frozen=True):
    """The whole state, for snapshots.

    Attributes:
        number: number of the document, 0 for none.
        content: the document.
        weights: newest named weight version by model.
    """

    number: int = 0
    content: bytes = b""
    weights: dict[str, int] = {}


class NumberedDocument:
    """Document with the highest number, and the newest weight versions.

    Deterministic: the state depends only on the commands applied. A number
    that is not above the current one changes nothing, so a command that is
    resent or arrives late has no effect.
    """

    __slots__ = ("_number", "_content", "_weights")

    def __init__(self) -> None:
        self._number = 0
        self._content = b""
        self._weights: dict[str, int] = {}

    @property
    def number(self) -> int:
        """Returns: number of the current document, 0 for none."""
        return self._number

    @property
    def content(self) -> bytes:
        """Returns: the document as the operator sent it."""
        return self._content

    @property
    def weights(self) -> dict[str, int]:
        """Returns: a copy of the newest named weight versions by model."""
        return dict(self._weights)

    def apply(self, command: Command) -> Outcome:
        """Apply one command."""
        match command:
            case PutNumbered(number, content):
                changed = number > self._number
                if changed:
                    self._number = number
                    self._content = content
                return Stored(self._number, changed)
            case NameWeights(model, version):
                current = self._weights.get(model, 0)
                if version > current:
                    self._weights[model] = version
                return Stored(max(current, version), version > current)

    def snapshot(self) -> Content:
        """Returns: the whole state."""
        return Content(self._number, self._content, self.weights)

    def restore(self, content: Content) -> None:
        """Replace the state."""
        self._number = content.number
        self._content = content.content
        self._weights = dict(content.weights)


def make_numbered_document() -> NumberedDocument:
    return NumberedDocument()
