"""Backend of one process, with faults on demand."""

from papayalink.console import backend
from papayalink.console import errors
from papayalink.state import configuration

TOKEN = "console-token-of-the-tests"


class FakeBackend(backend.Backend):
    """Applies changes at once.

    Attributes:
        fault: raised by every method; `errors.Unknown` is raised by
            `apply` only, after the change was applied.
        calls: records of protected calls.
    """

    __slots__ = ("fault", "calls", "configuration")

    def __init__(self):
        self.fault = None
        self.calls = {}
        self.configuration = configuration.make_configuration()

    def document(self):
        self._fail()
        made = self.configuration
        return backend.Current(made.version, made.digest, made.document_bytes)

    def apply(self, command):
        self._fail()
        outcome = self.configuration.apply(command)
        if self.fault is not None:
            raise self.fault
        return outcome

    def history(self, count):
        self._fail()
        return self.configuration.history(count)

    def status(self):
        self._fail()
        return {"leader": "c1", "members": ["c1", "<c2>"]}

    def call(self, workspace, key):
        self._fail()
        return self.calls.get((workspace, key))

    def _fail(self):
        if self.fault and not isinstance(self.fault, errors.Unknown):
            raise self.fault
