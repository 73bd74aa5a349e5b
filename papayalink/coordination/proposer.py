"""Sends commands and queries to the control group."""

import random

import gevent

from papayalink import clock as clocks
from papayalink.coordination import errors
from papayalink.protocol import messages
from papayalink.state import machine
from papayalink.transport import errors as transport_errors
from papayalink.transport import rpc

# Longer than an election, so that a command survives the loss of a leader.
PROPOSE_TIMEOUT_S = 5.0
_ATTEMPT_TIMEOUT_S = 2.0
_RETRY_PAUSE_S = 0.1


class Proposer:
    """Finds the leader and retries a command until its outcome is known.

    Every command of the machine can safely be retried: the outcome of a
    repeated command shows that the first copy was applied.
    """

    __slots__ = ("_controls", "_client", "_clock", "_leader")

    def __init__(
        self,
        controls: list[str],
        client: rpc.RpcClient,
        clock: clocks.Clock,
    ) -> None:
        self._controls = list(controls)
        self._client = client
        self._clock = clock
        self._leader = random.choice(self._controls)

    def propose(
        self,
        command: machine.Command,
        timeout_s: float = PROPOSE_TIMEOUT_S,
    ) -> machine.Outcome:
        """Commit a command.

        Returns: the outcome that the state machine returned for it.
        Raises:
            errors.OutcomeUnknown: the command may have been committed, or may
                be committed later.
            errors.ControlUnavailable: no control member accepted it.
        """
        message = messages.Propose(machine.encode_command(command))
        reply = self._send("Propose", message, timeout_s)
        return machine.decode_outcome(reply.result)

    def query(
        self, query: messages.Query, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Read confirmed state as JSON; raises the errors of propose()."""
        return self._send("Query", query, timeout_s).body

    def close(self) -> None:
        """Close the connections to control members."""
        self._client.close()

    def _send(
        self, method: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        deadline = self._clock.now() + timeout_s
        may_be_committed = False
        while True:
            left_s = deadline - self._clock.now()
            if left_s <= 0:
                break
            called = self._leader
            try:
                return self._client.call(
                    called,
                    method,
                    message,
                    min(left_s, _ATTEMPT_TIMEOUT_S),
                )
            except transport_errors.RpcRefused as error:
                may_be_committed |= error.code == "unknown"
                self._follow_redirect(called, error)
            except transport_errors.NotConnected:
                self._select_next_control(called)
            except transport_errors.TransportError:
                may_be_committed = True
                self._select_next_control(called)
            gevent.sleep(min(_RETRY_PAUSE_S, max(0.0, left_s)))
        if may_be_committed:
            raise errors.OutcomeUnknown(
                "no outcome from control within the timeout"
            )
        raise errors.ControlUnavailable(
            "no control leader accepted the request within the timeout"
        )

    def _follow_redirect(
        self, called: str, error: transport_errors.RpcRefused
    ) -> None:
        if error.leader and error.leader != called:
            self._leader = error.leader
        else:
            self._select_next_control(called)

    def _select_next_control(self, called: str) -> None:
        """Leave a member that was called, unless another call has done so.

        Calls that fail together would else go round to that member again.
        """
        if self._leader != called:
            return
        position = 0
        if called in self._controls:
            position = self._controls.index(called) + 1
        self._leader = self._controls[position % len(self._controls)]


def make_proposer(
    controls: list[str], client: rpc.RpcClient, clock: clocks.Clock
) -> Proposer:
    """Args: controls: RPC addresses of the control members."""
    return Proposer(controls, client, clock)
