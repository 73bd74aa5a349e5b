"""Relates the ends of replicas to the prompts that they were answering."""

from collections.abc import Iterable
import time

import gevent
import msgspec

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import crash_suspects
from papayalink.coordination import fleet_member
from papayalink.roles.gateway import liveness as livenesses
from papayalink.state import replicas

# A lost call waits this long for the check whether its replica has ended; a
# refused connection takes one round trip.
CHECK_WAIT_S = 0.1
# A lost prompt is remembered for this long, until the list of replicas shows
# that its replica has gone, and as many of them for each replica.
LOSS_MEMORY_S = 10.0
MAX_LOSSES = 64
# Blocked parts for which prompts were refused this recently are reported.
REFUSAL_MEMORY_S = 2.0
MAX_REFUSED_PARTS = 8


class _Loss(msgspec.Struct, frozen=True):
    """A prompt that was lost with a replica, see `CrashSuspects`."""

    at: float
    parts: tuple[str, ...]
    begun: bool


class CrashObserver:
    """Observes lost and whole answers for the table of suspected parts.

    Attributes:
        suspects: parts that this entry and the others suspect.
    """

    __slots__ = (
        "suspects",
        "_liveness",
        "_metrics",
        "_losses",
        "_refused_at",
        "_blocked",
        "_log",
    )

    def __init__(
        self,
        liveness: livenesses.Liveness,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.suspects = crash_suspects.make_crash_suspects()
        self._liveness = liveness
        self._metrics = metrics
        self._losses: dict[str, list[_Loss]] = {}
        self._refused_at: dict[str, float] = {}
        self._blocked: frozenset[str] = frozenset()
        self._log = logs.get_logger()

    def find_blocked(
        self, parts: tuple[str, ...], repeated: bool
    ) -> str | None:
        """Returns: the part for which a prompt must not be sent, or None.

        Args:
            parts: see `call_keys.CallKeys`.
            repeated: whether a replica was lost with the prompt before.
        """
        part = self.suspects.find_blocked(parts, repeated)
        if part is None:
            return None
        now = time.monotonic()
        if self.suspects.take_trial(part, now):
            self._log.info("part_tried", part=part)
            return None
        self._refused_at.pop(part, None)
        self._refused_at[part] = now
        self._metrics.count("blocked_parts", repeated=repeated)
        return part

    def refused_parts(self) -> tuple[str, ...]:
        """Returns: blocked parts for which prompts were refused recently."""
        oldest = time.monotonic() - REFUSAL_MEMORY_S
        self._refused_at = {
            part: at
            for part, at in list(self._refused_at.items())[-MAX_REFUSED_PARTS:]
            if at > oldest
        }
        return tuple(self._refused_at)

    def permit_trials(self, parts: Iterable[str]) -> None:
        """Send one prompt each with blocked parts."""
        now = time.monotonic()
        for part in parts:
            self.suspects.permit_trial(part, now)

    def note_lost(
        self,
        member: fleet_member.Member,
        parts: tuple[str, ...],
        begun: bool,
    ) -> None:
        """Record that an answer broke off, if its replica has ended.

        Args:
            begun: whether the answer had begun, without a whole event.
        """
        if not parts:
            return
        self._remember(member, _Loss(time.monotonic(), parts, begun))
        check = gevent.spawn(self._check, member)
        check.join(CHECK_WAIT_S)

    def note_whole_answer(
        self,
        member: fleet_member.Member,
        parts: tuple[str, ...],
        ends_with_connection: bool,
    ) -> None:
        """Record that a prompt was answered.

        Args:
            ends_with_connection: whether only the end of the connection ends
                the answer, which looks the same if the replica has ended.
        """
        if not ends_with_connection:
            self._clear(parts)
        elif self.suspects.suspected(parts):
            gevent.spawn(self._check_whole_answer, member, parts)

    def note_left(self, member: fleet_member.Member) -> None:
        """Record that a replica is no longer listed.

        A replica that is stopped is listed as leaving before, and ends its
        answers; one that disappears has crashed.
        """
        if member.replica.condition is replicas.Condition.READY:
            self._note_ended(member.replica.replica_id)
        self._losses.pop(member.replica.replica_id, None)

    def log_changes(self) -> None:
        """Log which parts are blocked since the last call, or no longer."""
        blocked = self.suspects.blocked
        for part in blocked.keys() - self._blocked:
            self._metrics.count("parts_blocked")
            self._log.warning(
                "part_blocked", part=part, replicas=",".join(blocked[part])
            )
        for part in self._blocked - blocked.keys():
            self._log.info("part_unblocked", part=part)
        self._blocked = frozenset(blocked)

    def _remember(self, member: fleet_member.Member, loss: _Loss) -> None:
        self._losses = {
            replica_id: losses
            for replica_id, losses in self._losses.items()
            if loss.at - losses[-1].at < LOSS_MEMORY_S
        }
        losses = self._losses.setdefault(member.replica.replica_id, [])
        losses.append(loss)
        del losses[:-MAX_LOSSES]

    def _check(self, member: fleet_member.Member) -> None:
        if self._liveness.has_ended(member):
            self._note_ended(member.replica.replica_id)

    def _check_whole_answer(
        self, member: fleet_member.Member, parts: tuple[str, ...]
    ) -> None:
        if not self._liveness.has_ended(member):
            self._clear(parts)

    def _clear(self, parts: tuple[str, ...]) -> None:
        version = self.suspects.version
        self.suspects.note_whole_answer(parts, time.monotonic())
        if self.suspects.version != version:
            self.log_changes()

    def _note_ended(self, replica_id: str) -> None:
        """Count the losses that the end of a replica explains."""
        now = time.monotonic()
        for loss in self._losses.pop(replica_id, ()):
            if now - loss.at < LOSS_MEMORY_S:
                self.suspects.note_crash(
                    replica_id, loss.parts, loss.begun, loss.at
                )
                self._log.info(
                    "prompt_lost_with_replica",
                    replica=replica_id,
                    parts=",".join(loss.parts),
                    begun=loss.begun,
                )
        self.log_changes()


def make_crash_observer(
    liveness: livenesses.Liveness, metrics: metrics_module.Metrics
) -> CrashObserver:
    return CrashObserver(liveness, metrics)
