"""The console's access to replicated state."""

import msgspec

from papayalink.console import backend
from papayalink.console import errors as console_errors
from papayalink.coordination import errors
from papayalink.coordination import proposer as proposers
from papayalink.coordination import replica as replicas
from papayalink.protocol import relay
from papayalink.roles.control import loads
from papayalink.state import configuration
from papayalink.state import ledger
from papayalink.state import machine as machines

CONFIRM_TIMEOUT_S = 2.0


class ReplicaBackend(backend.Backend):
    """Reads from this member after a quorum round, writes via the leader."""

    __slots__ = ("_replica", "_machine", "_loads", "_proposer")

    def __init__(
        self,
        replica: replicas.Replica,
        machine: machines.Machine,
        load_table: loads.LoadTable,
        proposer: proposers.Proposer,
    ) -> None:
        self._replica = replica
        self._machine = machine
        self._loads = load_table
        self._proposer = proposer

    def document(self) -> backend.CurrentConfiguration:
        self._confirm()
        current = self._machine.configuration
        return backend.CurrentConfiguration(
            current.version, current.digest, current.document_bytes
        )

    def apply(
        self, command: configuration.ApplyDocument
    ) -> configuration.ApplyOutcome:
        try:
            return self._proposer.propose(command)
        except errors.OutcomeUnknown as error:
            raise console_errors.Unknown(str(error)) from error
        except errors.CoordinationError as error:
            raise console_errors.Unavailable(str(error)) from error

    def history(self, count: int) -> list[configuration.Version]:
        self._confirm()
        return self._machine.configuration.history(count)

    def status(self) -> dict:
        self._confirm()
        reports = self._loads.select(self._loads.names())
        return {
            "group": self._replica.status(),
            "version": self._machine.configuration.version,
            "calls": len(self._machine.ledger),
            "leaving": self._machine.upstreams.leaving_sources,
            "open_orders": msgspec.to_builtins(
                self._machine.upstreams.open_orders
            ),
            "upstreams": {
                report.upstream: {
                    "state": report.state,
                    "weight_version": report.weight_version,
                    "waiting": sum(report.waiting),
                    "age_ms": report.age_ms,
                }
                for report in reports
            },
        }

    def call(self, workspace: str, key: str) -> dict | None:
        self._confirm()
        record = self._machine.ledger.find(workspace, key)
        if record is None:
            return None
        call_state = msgspec.to_builtins(record)
        if isinstance(record, ledger.Finished):
            answer = relay.decode_reply(record.answer)
            call_state["answer"] = answer.body.decode(errors="replace")
        return call_state

    def _confirm(self) -> None:
        try:
            self._replica.confirm_read(CONFIRM_TIMEOUT_S)
        except errors.CoordinationError as error:
            raise console_errors.Unavailable(str(error)) from error


def make_backend(
    replica: replicas.Replica,
    machine: machines.Machine,
    load_table: loads.LoadTable,
    proposer: proposers.Proposer,
) -> ReplicaBackend:
    return ReplicaBackend(replica, machine, load_table, proposer)
