"""Console backend in one process that raises faults on demand."""

from papayalink.console import backend
from papayalink.console import errors
from papayalink.state import configuration

TOKEN = "console-token-of-the-tests"


class FakeBackend(backend.Backend):
    """Applies changes to a configuration in memory.

    Attributes:
        fault: raised by every method before it does anything, None for no
            fault. `errors.Unknown` is raised by `apply` only, after the
            change was applied.
        calls: records of protected calls by workspace and key.
        configuration: configuration in force.
    """

    __slots__ = ("fault", "calls", "configuration")

    def __init__(self):
        self.fault = None
        self.calls = {}
        self.configuration = configuration.make_configuration()

    def document(self):
        self._raise_fault()
        current = self.configuration
        return backend.CurrentConfiguration(
            current.version, current.digest, current.document_bytes
        )

    def apply(self, command):
        self._raise_fault()
        outcome = self.configuration.apply(command)
        if self.fault is not None:
            raise self.fault
        return outcome

    def history(self, count):
        self._raise_fault()
        return self.configuration.history(count)

    def status(self):
        self._raise_fault()
        return {"leader": "c1", "members": ["c1", "<c2>"]}

    def call(self, workspace, key):
        self._raise_fault()
        return self.calls.get((workspace, key))

    def _raise_fault(self):
        if self.fault and not isinstance(self.fault, errors.Unknown):
            raise self.fault
