"""Relates the ends of replicas to the calls that they were answering."""

from collections.abc import Iterable
import time

import gevent
import msgspec

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import call_keys
from papayalink.coordination import crash_suspects
from papayalink.coordination import fleet_member
from papayalink.roles.gateway import liveness as livenesses
from papayalink.state import replicas

# A lost call waits this long for the check whether its replica has ended; a
# refused connection takes one round trip.
CHECK_WAIT_S = 0.1
# A lost call is remembered for this long, until the list of replicas shows
# that its replica has gone, and as many of them for each replica.
LOSS_MEMORY_S = 10.0
MAX_LOSSES = 64
# Blocked keys for which calls were refused this recently are reported.
REFUSAL_MEMORY_S = 2.0
MAX_REFUSED_KEYS = 8


class _Loss(msgspec.Struct, frozen=True):
    """A call that was lost with a replica, see `CrashSuspects`."""

    at: float
    parts: tuple[str, ...]
    request: str
    begun: bool
    born_ms: int


class CrashObserver:
    """Observes lost and whole answers for the table of suspects.

    Attributes:
        suspects: parts and requests that this entry and the others suspect.
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
        suspects: crash_suspects.CrashSuspects,
        liveness: livenesses.Liveness,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.suspects = suspects
        self._liveness = liveness
        self._metrics = metrics
        # By record, not by id: a replica may start again under its id.
        self._losses: dict[fleet_member.Member, list[_Loss]] = {}
        self._refused_at: dict[str, float] = {}
        self._blocked: frozenset[str] = frozenset()
        self._log = logs.get_logger()

    def find_blocked(
        self, keys: call_keys.CallKeys, repeated: bool
    ) -> str | None:
        """Returns: the key for which a call must not be sent, or None.

        Uses a trial of the key if one is permitted.

        Args:
            repeated: whether a replica was lost with the call before.
        """
        key = self.blocked_key(keys, repeated)
        if key is None:
            return None
        now = time.monotonic()
        others = (*keys.parts, self._request(keys))
        if self.suspects.take_trial(key, now, others):
            self._log.info("suspect_tried", key=key)
            return None
        self._refused_at.pop(key, None)
        self._refused_at[key] = now
        self._metrics.count(
            "blocked_calls",
            kind="request" if call_keys.is_request_key(key) else "part",
            repeated=repeated,
        )
        return key

    def blocked_key(
        self, keys: call_keys.CallKeys, repeated: bool
    ) -> str | None:
        """Returns: the key for which a call may only be tried, or None."""
        return self.suspects.find_blocked(
            keys.parts, repeated, self._request(keys)
        )

    def refused_keys(self) -> tuple[str, ...]:
        """Returns: blocked keys for which calls were refused recently."""
        oldest = time.monotonic() - REFUSAL_MEMORY_S
        self._refused_at = {
            key: at
            for key, at in list(self._refused_at.items())[-MAX_REFUSED_KEYS:]
            if at > oldest
        }
        return tuple(self._refused_at)

    def permit_trials(self, keys: Iterable[str]) -> None:
        """Send one call for each of the blocked keys."""
        now = time.monotonic()
        for key in keys:
            self.suspects.permit_trial(key, now)

    def note_lost(
        self,
        member: fleet_member.Member,
        keys: call_keys.CallKeys,
        begun: bool,
    ) -> None:
        """Record that an answer broke off, if its replica has ended.

        Args:
            begun: whether the answer had begun, without a whole event.
        """
        self._remember(
            member,
            _Loss(
                time.monotonic(),
                keys.parts,
                keys.request,
                begun,
                member.born_ms,
            ),
        )
        check = gevent.spawn(self._check, member)
        check.join(CHECK_WAIT_S)

    def note_whole_answer(
        self,
        member: fleet_member.Member,
        keys: call_keys.CallKeys,
        ends_with_connection: bool,
    ) -> None:
        """Record that a call was answered.

        Args:
            ends_with_connection: whether only the end of the connection ends
                the answer, which looks the same if the replica has ended.
        """
        all_keys = keys.parts
        if request := self._request(keys):
            all_keys = (*all_keys, request)
        if not ends_with_connection:
            self._clear(all_keys)
        elif self.suspects.suspected(all_keys):
            gevent.spawn(self._check_whole_answer, member, all_keys)

    def note_left(self, member: fleet_member.Member) -> None:
        """Record that a replica is no longer listed.

        A replica that is stopped is listed as leaving before, and ends its
        answers; one that disappears has crashed.
        """
        if member.replica.condition is replicas.Condition.READY:
            self._note_ended(member)
        self._losses.pop(member, None)

    def log_changes(self) -> None:
        """Log which keys are blocked since the last call, or no longer."""
        blocked = self.suspects.blocked
        for key in blocked.keys() - self._blocked:
            self._metrics.count("suspects_blocked")
            self._log.warning(
                "suspect_blocked", key=key, replicas=",".join(blocked[key])
            )
        for key in self._blocked - blocked.keys():
            self._log.info("suspect_unblocked", key=key)
        self._blocked = frozenset(blocked)

    def _remember(self, member: fleet_member.Member, loss: _Loss) -> None:
        self._losses = {
            lost_from: losses
            for lost_from, losses in self._losses.items()
            if loss.at - losses[-1].at < LOSS_MEMORY_S
        }
        losses = self._losses.setdefault(member, [])
        losses.append(loss)
        del losses[:-MAX_LOSSES]

    def _check(self, member: fleet_member.Member) -> None:
        if self._liveness.has_ended(member):
            self._note_ended(member)

    def _request(self, keys: call_keys.CallKeys) -> str:
        """Returns: the key of the request, "" if none is suspected."""
        return keys.request if self.suspects.has_requests else ""

    def _check_whole_answer(
        self, member: fleet_member.Member, keys: tuple[str, ...]
    ) -> None:
        if not self._liveness.has_ended(member):
            self._clear(keys)

    def _clear(self, keys: tuple[str, ...]) -> None:
        version = self.suspects.version
        self.suspects.note_whole_answer(keys, time.monotonic())
        if self.suspects.version != version:
            self.log_changes()

    def _note_ended(self, member: fleet_member.Member) -> None:
        """Count the losses that the end of a replica explains."""
        now = time.monotonic()
        replica_id = member.replica.replica_id
        for loss in self._losses.pop(member, ()):
            if now - loss.at < LOSS_MEMORY_S:
                self.suspects.note_crash(
                    replica_id,
                    loss.parts,
                    loss.begun,
                    loss.at,
                    loss.request,
                    loss.born_ms,
                )
                self._log.info(
                    "call_lost_with_replica",
                    replica=replica_id,
                    parts=",".join(loss.parts),
                    request=loss.request,
                    begun=loss.begun,
                )
        self.log_changes()


def make_crash_observer(
    suspects: crash_suspects.CrashSuspects,
    liveness: livenesses.Liveness,
    metrics: metrics_module.Metrics,
) -> CrashObserver:
    return CrashObserver(suspects, liveness, metrics)
