"""State machine to which every control member applies the log."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from papayalink.state import configuration
from papayalink.state import ledger
from papayalink.state import numbered
from papayalink.state import upstreams

Command = (
    configuration.ApplyDocument
    | ledger.Command
    | upstreams.Command
    | numbered.Command
)
Outcome = (
    configuration.ApplyOutcome
    | ledger.Outcome
    | upstreams.Outcome
    | numbered.Outcome
)

_ENCODER = msgspec.msgpack.Encoder()
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_OUTCOME_DECODER = msgspec.msgpack.Decoder(Outcome)


def encode_command(command: Command) -> bytes:
    return _ENCODER.encode(command)


def decode_outcome(data: bytes) -> Outcome:
    return _OUTCOME_DECODER.decode(data)


class _Head(msgspec.Struct):
    """First part of a snapshot; the remaining parts hold the ledger."""

    configuration: configuration.Snapshot
    upstreams: upstreams.Content
    numbered: "numbered.Content" = numbered.Content()


_HEAD_DECODER = msgspec.msgpack.Decoder(_Head)
_PART_DECODER = msgspec.msgpack.Decoder(ledger.SnapshotPart)


class Machine:
    """Configuration, ledger, upstream decisions and numbered document.

    The same commands in the same order give the same state and outcomes on
    every member.
    """

    __slots__ = ("_configuration", "_ledger", "_upstreams", "_numbered")

    def __init__(self) -> None:
        self._configuration = configuration.make_configuration()
        self._ledger = ledger.make_ledger()
        self._upstreams = upstreams.make_upstreams()
        self._numbered = numbered.make_numbered_document()

    @property
    def configuration(self) -> configuration.Configuration:
        return self._configuration

    @property
    def ledger(self) -> ledger.Ledger:
        return self._ledger

    @property
    def upstreams(self) -> upstreams.Upstreams:
        return self._upstreams

    @property
    def numbered(self) -> numbered.NumberedDocument:
        return self._numbered

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed entry.

        Args:
            index: index of the entry in the log.
            data: encoded command.
        Returns: encoded outcome.
        """
        return _ENCODER.encode(self._apply(_COMMAND_DECODER.decode(data)))

    def snapshot(self) -> Iterator[bytes]:
        """Take a snapshot of the current state.

        Returns: its parts, encoded one by one as they are read. Commands may
            be applied meanwhile. Must be closed if it is not read to the end.
        """
        head = _ENCODER.encode(
            _Head(
                self._configuration.snapshot(),
                self._upstreams.snapshot(),
                self._numbered.snapshot(),
            )
        )
        parts = _encode_parts(head, self._ledger.open_view())
        # Closing the generator closes the view only after the generator was
        # started.
        next(parts)
        return parts

    def restore(self, parts: Iterable[bytes]) -> None:
        """Replace the state, once every part has been read."""
        remaining = iter(parts)
        head = _HEAD_DECODER.decode(next(remaining))
        self._ledger.restore(map(_PART_DECODER.decode, remaining))
        self._configuration.restore(head.configuration)
        self._upstreams.restore(head.upstreams)
        self._numbered.restore(head.numbered)

    def _apply(self, command: Command) -> Outcome:
        match command:
            case configuration.ApplyDocument():
                return self._configuration.apply(command)
            case (
                ledger.Claim()
                | ledger.Start()
                | ledger.Finish()
                | ledger.Withdraw()
                | ledger.Expire()
            ):
                return self._ledger.apply(command)
            case numbered.PutNumbered() | numbered.NameWeights():
                return self._numbered.apply(command)
            case _:
                return self._upstreams.apply(command)


def _encode_parts(head: bytes, view: ledger.View) -> Iterator[bytes]:
    try:
        yield b""
        yield head
        for part in view.parts():
            yield _ENCODER.encode(part)
    finally:
        view.close()


def make_machine() -> Machine:
    return Machine()
