"""Waits of a call for which no replica is usable at the moment."""

import time

from papayalink.roles.gateway import shared as shared_parts

# A call waits for replicas that are at their limit up to this fraction of its
# objective, counted from its arrival; then its caller may try elsewhere.
PERMIT_WAIT_FRACTION = 0.5
# A prompt waits for weights that a replica is loading up to this fraction of
# its time and no longer than this. All entries wait for the same replicas, so
# that its caller would find none elsewhere. A load takes about a second, and
# callers abandon a stream that sends nothing for about 2 s.
LOAD_WAIT_FRACTION = 0.5
MAX_LOAD_WAIT_S = 1.5


class ReplicaWait:
    """Waits of one call.

    Args:
        prompt: whether the call needs the weights of a model.
        received_at: when the call arrived, in monotonic seconds.
        objective_s: its latency objective.
        deadline: monotonic seconds.
    """

    __slots__ = (
        "_shared",
        "_service",
        "_prompt",
        "_permits_until",
        "_loads_until",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        service: str,
        prompt: bool,
        received_at: float,
        objective_s: float,
        deadline: float,
    ) -> None:
        self._shared = shared
        self._service = service
        self._prompt = prompt
        self._permits_until = min(
            received_at + PERMIT_WAIT_FRACTION * objective_s, deadline
        )
        self._loads_until = received_at + min(
            LOAD_WAIT_FRACTION * (deadline - received_at), MAX_LOAD_WAIT_S
        )

    def wait(self) -> bool:
        """Wait for what keeps replicas from being used, if it ends in time.

        Returns: whether a replica may be usable now.
        """
        return self._wait_for_permit() or self._wait_for_load()

    def _wait_for_permit(self) -> bool:
        left_s = self._permits_until - time.monotonic()
        return self._shared.limits.wait_for_permit(self._service, left_s)

    def _wait_for_load(self) -> bool:
        if not self._prompt or not self._shared.fleet.is_loading(
            self._service
        ):
            return False
        left_s = self._loads_until - time.monotonic()
        return left_s > 0 and self._shared.watcher.wait_change(left_s)


def make_replica_wait(
    shared: shared_parts.Shared,
    service: str,
    prompt: bool,
    received_at: float,
    objective_s: float,
    deadline: float,
) -> ReplicaWait:
    return ReplicaWait(
        shared, service, prompt, received_at, objective_s, deadline
    )
