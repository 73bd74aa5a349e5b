"""Document whose versions an operator numbers, and named weight versions."""

import msgspec


class PutNumbered(msgspec.Struct, frozen=True, tag=True):
    """An operator's whole document under a number of its own.

    Attributes:
        number: version that the operator gave it, above 0.
        content: the document as it was received, valid JSON.
    """

    number: int
    content: bytes


class NameWeights(msgspec.Struct, frozen=True, tag=True):
    """Replicas of a model are to run at least this weight version."""

    model: str
    version: int


Command = PutNumbered | NameWeights


class Stored(msgspec.Struct, frozen=True, tag=True):
    """The command was taken.

    Attributes:
        number: newest number after it, of the document or of the weights.
        changed: whether the command changed the state.
    """

    number: int
    changed: bool


Outcome = Stored


class Content(msgspec.Struct, frozen=True):
    """Whole state, for snapshots.

    Attributes:
        weights: newest named version by model.
    """

    number: int = 0
    content: bytes = b""
    weights: dict[str, int] = {}


class Numbered:
    """Document with the highest number, and the newest weight versions.

    Deterministic: the state depends only on the commands applied. A number
    that is not above the one held changes nothing, so a resent or overtaken
    change has the same outcome at any time.
    """

    __slots__ = ("_number", "_content", "_weights")

    def __init__(self) -> None:
        self._number = 0
        self._content = b""
        self._weights: dict[str, int] = {}

    @property
    def number(self) -> int:
        """Returns: number of the document held, 0 for none."""
        return self._number

    @property
    def content(self) -> bytes:
        """Returns: the document as its operator sent it."""
        return self._content

    @property
    def weights(self) -> dict[str, int]:
        """Returns: a copy of the newest named version by model."""
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
                known = self._weights.get(model, 0)
                if version > known:
                    self._weights[model] = version
                return Stored(max(known, version), version > known)

    def snapshot(self) -> Content:
        """Returns: the whole state."""
        return Content(self._number, self._content, self.weights)

    def restore(self, content: Content) -> None:
        """Replace the state."""
        self._number = content.number
        self._content = content.content
        self._weights = dict(content.weights)


def make_numbered() -> Numbered:
    return Numbered()
