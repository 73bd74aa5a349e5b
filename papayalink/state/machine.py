"""State machine that every control member applies the log to."""

import msgspec

from papayalink.state import configuration
from papayalink.state import ledger
from papayalink.state import upstreams

Command = configuration.ApplyDocument | ledger.Command | upstreams.Command
Outcome = configuration.ApplyOutcome | ledger.Outcome | upstreams.Outcome

_ENCODER = msgspec.msgpack.Encoder()
_COMMANDS = msgspec.msgpack.Decoder(Command)
_OUTCOMES = msgspec.msgpack.Decoder(Outcome)


def encode_command(command: Command) -> bytes:
    return _ENCODER.encode(command)


def decode_outcome(data: bytes) -> Outcome:
    return _OUTCOMES.decode(data)


class _Snapshot(msgspec.Struct):
    configuration: configuration.Snapshot
    calls: list[tuple[str, str, ledger.Record]]
    upstreams: upstreams.Content


class Machine:
    """Configuration, ledger and upstream decisions.

    The same commands in the same order give the same state and outcomes on
    every member.
    """

    __slots__ = ("_configuration", "_ledger", "_upstreams")

    def __init__(self) -> None:
        self._configuration = configuration.make_configuration()
        self._ledger = ledger.make_ledger()
        self._upstreams = upstreams.make_upstreams()

    @property
    def configuration(self) -> configuration.Configuration:
        return self._configuration

    @property
    def ledger(self) -> ledger.Ledger:
        return self._ledger

    @property
    def upstreams(self) -> upstreams.Upstreams:
        return self._upstreams

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed entry.

        Args:
            index: place in the log.
            data: encoded command.
        Returns: encoded outcome.
        """
        return _ENCODER.encode(self._apply(_COMMANDS.decode(data)))

    def snapshot(self) -> bytes:
        return _ENCODER.encode(
            _Snapshot(
                self._configuration.snapshot(),
                self._ledger.snapshot(),
                self._upstreams.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        content = msgspec.msgpack.decode(data, type=_Snapshot)
        self._configuration.restore(content.configuration)
        self._ledger.restore(content.calls)
        self._upstreams.restore(content.upstreams)

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
            case _:
                return self._upstreams.apply(command)


def make_machine() -> Machine:
    return Machine()
