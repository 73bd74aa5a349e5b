"""The configuration that a process uses, as confirmed by control."""

from papayalink.state import changes
from papayalink.state import document as documents
from papayalink.state import errors


class HeldConfiguration:
    """The newest confirmed document; its version never decreases."""

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
        """Adopt the configuration from a control member's reply.

        Args:
            version: newest committed version.
            document: whole document as JSON, or empty.
            delta: changes since the version held, or empty.
            digest: digest of the document at that version.
        Returns: whether the document changed.
        Raises:
            errors.VersionWentBack: the member lags behind this process.
            errors.DigestMismatch: the result differs from the member's
                document; the whole document must be fetched.
        """
        if version < self._version:
            raise errors.VersionWentBack(
                f"offered version {version} is older than {self._version}"
            )
        if document:
            changed = documents.decode(document)
        elif delta:
            changed = changes.apply_delta(self._document, delta)
        elif version == self._version and digest == self._digest:
            return False
        else:
            raise errors.DigestMismatch(
                f"neither document nor delta for version {version}"
            )
        if documents.digest(changed) != digest:
            self._digest = ""
            raise errors.DigestMismatch(
                f"document of version {version} has another digest"
            )
        self._version = version
        self._document = changed
        self._digest = digest
        return True


def make_held_configuration() -> HeldConfiguration:
    return HeldConfiguration()
