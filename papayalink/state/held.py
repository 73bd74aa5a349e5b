"""The configuration that a process holds, as confirmed by control."""

from papayalink.state import changes
from papayalink.state import document as documents
from papayalink.state import errors


class HeldConfiguration:
    """Newest confirmed document; its version never goes back."""

    __slots__ = ("_version", "_document", "_digest")

    def __init__(self) -> None:
        self._version = 0
        self._document = documents.Document()
        self._digest = documents.digest(self._document)

    @property
    def version(self) -> int:
        return self._version

    @property
    def document(self) -> documents.Document:
        return self._document

    @property
    def digest(self) -> str:
        return self._digest

    def update(
        self, version: int, document: bytes, delta: bytes, digest: str
    ) -> bool:
        """Take over what a control member answered.

        Args:
            version: newest committed version.
            document: whole document as JSON, or empty.
            delta: changes since the held version, or empty.
            digest: digest of the document at that version.
        Returns: whether the document changed.
        Raises:
            errors.VersionWentBack: the member lags behind this process.
            errors.DigestMismatch: the result differs from the member's
                document; a whole document is needed.
        """
        if version < self._version:
            raise errors.VersionWentBack(
                f"version {version} offered, {self._version} held"
            )
        if document:
            changed = documents.decode(document)
        elif delta:
            changed = changes.apply_delta(self._document, delta)
        elif version == self._version and digest == self._digest:
            return False
        else:
            raise errors.DigestMismatch(f"no changes for version {version}")
        if documents.digest(changed) != digest:
            self._digest = ""
            raise errors.DigestMismatch(f"version {version}")
        self._version = version
        self._document = changed
        self._digest = digest
        return True


def make_held_configuration() -> HeldConfiguration:
    return HeldConfiguration()
