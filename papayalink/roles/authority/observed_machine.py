"""A state machine that reports its changes."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from papayalink.coordination import replica as replicas


class ObservedMachine:
    """Delegates to another state machine and reports each change.

    Args:
        note_applied: called after each change; must not block.
    """

    __slots__ = ("_machine", "_note_applied")

    def __init__(
        self, machine: replicas.StateMachine, note_applied: Callable[[], None]
    ) -> None:
        self._machine = machine
        self._note_applied = note_applied

    def apply(self, index: int, data: bytes) -> bytes:
        outcome = self._machine.apply(index, data)
        self._note_applied()
        return outcome

    def snapshot(self) -> Iterator[bytes]:
        return self._machine.snapshot()

    def restore(self, parts: Iterable[bytes]) -> None:
        self._machine.restore(parts)
        self._note_applied()


def make_observed(
    machine: replicas.StateMachine, note_applied: Callable[[], None]
) -> ObservedMachine:
    return ObservedMachine(machine, note_applied)
