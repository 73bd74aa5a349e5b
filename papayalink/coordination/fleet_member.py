"""State of one replica at an entry: load, weights and cached parts."""

from collections.abc import Iterable

from papayalink.coordination import awaited
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.state import part_directory
from papayalink.state import replicas

# Reported work of other entries is ignored after this time; they report five
# times a second.
MAX_OTHER_WORK_AGE_S = 1.5
# Load that was reported with an answer is ignored after this time.
MAX_REPORTED_LOAD_AGE_S = 1.0
# Fraction of a replica's memory whose content an entry tracks. Other entries
# send to the replica too, so older parts have mostly been evicted.
TRACKED_MEMORY_FRACTION = 0.15
# A permit for a request is not used after this time, so that permits that
# were not needed do not add up.
PERMIT_LIFETIME_S = 1.0
# Weight of the newest attempt in the moving average of failures.
FAILURE_ALPHA = 0.15


class Member:
    """State of one lifetime of a replica at this entry.

    Attributes:
        replica: its record in the last list.
        weights: newest version by model, from the list and from answers.
        calls: number of unfinished calls of this entry, by urgency.
        leaving: whether it has said that it leaves.
        loading: models whose weights it is to load; it refuses calls
            meanwhile.
        heard_at: monotonic seconds of the last byte received from it.
        answered_at: monotonic seconds of the last head of an answer.
        spoke_at: monotonic seconds of the last head or event of an answer,
            minus infinity for none. Unlike a new connection, which a kernel
            accepts, it shows that the replica's process runs.
        sent_at: monotonic seconds of the last attempt, minus infinity if none.
        reached_at: monotonic seconds of the last new connection to it since it
            was last lost, minus infinity for none.
        lost_at: monotonic seconds since which it cannot be reached, minus
            infinity if it was never lost.
        refused_at: monotonic seconds at which its machine refused a connection
            last, minus infinity for never.
        unanswered_at: monotonic seconds at which a connection to it failed
            last without a refusal, minus infinity for never.
        limit_per_s: requests a second that it takes from all entries, None
            without a limit. Each request needs a permit while there is one.
        prefill: prompt tokens of calls without a first token, by urgency.
        memory: tokens of memory that unfinished calls will hold, by urgency.
    """

    __slots__ = (
        "replica",
        "weights",
        "calls",
        "prefill",
        "memory",
        "_other_work",
        "_other_work_at",
        "_reported_load",
        "_reported_load_at",
        "_in_flight_at_report",
        "heard_at",
        "answered_at",
        "spoke_at",
        "_overdue_at",
        "sent_at",
        "_awaited",
        "_silent_since",
        "reached_at",
        "lost_at",
        "refused_at",
        "unanswered_at",
        "limit_per_s",
        "_permits",
        "_reachable",
        "_avoid_until",
        "_failures",
        "_parts",
        "_part_tokens",
        "leaving",
        "loading",
    )

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.weights = dict(replica.weights)
        self.calls: dict[int, int] = {}
        self.prefill: dict[int, int] = {}
        self.memory: dict[int, int] = {}
        self._other_work: messages.ReplicaWork | None = None
        self._other_work_at = 0.0
        self._reported_load: calls.Load | None = None
        self._reported_load_at = 0.0
        self._in_flight_at_report = 0
        self.heard_at = 0.0
        self.answered_at = float("-inf")
        self.spoke_at = float("-inf")
        # When a call was last found to be overdue.
        self._overdue_at = float("-inf")
        self.sent_at = float("-inf")
        self._awaited: list[awaited.Awaited] = []
        # Since when it has said nothing while an attempt waited, None if none
        # waits and none was overdue before it was given up.
        self._silent_since: float | None = None
        self.reached_at = float("-inf")
        self.lost_at = float("-inf")
        self.refused_at = float("-inf")
        self.unanswered_at = float("-inf")
        self.limit_per_s: float | None = None
        # When each permit was granted.
        self._permits: list[float] = []
        self._reachable = True
        self._avoid_until = 0.0
        self._failures = 0.0
        self._parts: dict[str, int] = {}
        self._part_tokens = 0
        self.leaving = False
        self.loading: frozenset[str] = frozenset()

    @property
    def born_ms(self) -> int:
        """Start of the lifetime that answers now, 0 when unknown.

        The list lags: a replica whose end was seen may have started again.
        """
        return 0 if self.refused_at > float("-inf") else self.replica.born_ms

    @property
    def in_flight(self) -> int:
        """Number of unfinished calls of this entry."""
        return sum(self.calls.values())

    @property
    def failures(self) -> float:
        """Moving average of failed attempts, 0 to 1."""
        return self._failures

    @property
    def reachable(self) -> bool:
        """Whether connections to the replica can be made, as last known."""
        return self._reachable

    @property
    def overdue(self) -> bool:
        """Whether a call was overdue and the replica has not spoken since."""
        return self._overdue_at > self.spoke_at

    @property
    def usable_after_load(self) -> bool:
        """Whether nothing but loading or a refusal keeps it from use."""
        return self._reachable and self._stays

    @property
    def _stays(self) -> bool:
        """Whether neither the list nor the replica says that it leaves."""
        return (
            self.replica.condition is replicas.Condition.READY
            and not self.leaving
        )

    def usable(self, now: float) -> bool:
        within_limit = self.limit_per_s is None or self.permits(now) > 0
        return within_limit and self.usable_without_limit(now)

    def usable_without_limit(self, now: float) -> bool:
        """Returns: whether it is usable, given a permit if it needs one."""
        return self._reachable and self.usable_if_reached(now)

    def usable_if_reached(self, now: float) -> bool:
        """Returns: whether it is usable with a permit, once it is reached."""
        return self._stays and not self.loading and now >= self._avoid_until

    def permits(self, now: float) -> int:
        """Returns: number of requests that may be sent within its limit."""
        self._permits = [
            at for at in self._permits if now - at < PERMIT_LIFETIME_S
        ]
        return len(self._permits)

    def add_permits(self, count: int, now: float) -> None:
        self._permits.extend([now] * count)

    def take_permit(self, now: float) -> float | None:
        """Use a permit for a request that is to be sent.

        Returns: when it was granted, None if there is none.
        """
        return self._permits.pop(0) if self.permits(now) else None

    def renew_permit(
        self, granted_at: float | None, now: float
    ) -> float | None:
        """Replace a permit that has ended, or that is missing.

        Returns: when the permit was granted, None if there is none.
        """
        if granted_at is not None and now - granted_at < PERMIT_LIFETIME_S:
            return granted_at
        return self.take_permit(now)

    def return_permit(self, granted_at: float) -> None:
        """Take back the permit of a request that was not sent."""
        self._permits.insert(0, granted_at)

    def note_load(self, load: calls.Load, now: float) -> None:
        """Record the load that was reported with an answer."""
        self._reported_load = load
        self._reported_load_at = now
        self._in_flight_at_report = self.in_flight

    def set_reachable(self, reachable: bool) -> None:
        """Set whether connections can be made; if not, it is not usable."""
        self._reachable = reachable

    def correct_weights(self, model: str, newest: int) -> None:
        """Correct the version of a model after a mismatch.

        Args:
            newest: newest version of the model.
        """
        if self.weights.get(model, 0) < newest:
            self.weights[model] = newest
        else:
            listed = self.replica.weights.get(model, 0)
            self.weights[model] = min(self.weights.get(model, 0), listed)

    def avoided_s(self, now: float) -> float:
        """Returns: seconds for which it gets no calls after a refusal."""
        return max(0.0, self._avoid_until - now)

    def note_full(self, now: float, wait_s: float) -> None:
        """Send no calls for `wait_s` after a refusal."""
        self._avoid_until = max(self._avoid_until, now + wait_s)

    def note_result(self, failed: bool) -> None:
        """Record the result of an attempt that reached the replica."""
        self._failures += FAILURE_ALPHA * (failed - self._failures)

    def note_overdue(self, now: float, limit_s: float) -> None:
        """Record that a call has been silent for longer than expected.

        Args:
            limit_s: seconds within which the replica would have spoken.
        """
        if now - self.spoke_at > limit_s:
            self._overdue_at = now

    def silent_s(self, now: float) -> float:
        """Returns: seconds for which it has said nothing to what waits for it.

        One with an overdue call stays silent until it speaks.
        """
        since = self._silent_since
        return 0.0 if since is None else now - since

    def is_silent(self, now: float, min_s: float = 0.0) -> bool:
        """Returns: whether it says nothing for longer than is expected.

        Args:
            min_s: shortest silence that counts.
        """
        return self.overdue or any(
            each.silent_s(now) > max(each.limit_s, min_s)
            for each in self._awaited
        )

    def is_quiet(self, now: float) -> bool:
        """Returns: whether it says nothing for longer than usual."""
        return self.overdue or any(
            each.silent_s(now) > each.usual_s for each in self._awaited
        )

    def note_sent(
        self, now: float, limit_s: float, usual_s: float = float("inf")
    ) -> awaited.Awaited:
        """Record that an attempt is sent, and waits for its answer.

        Args:
            limit_s: seconds for which the replica may say nothing to it.
            usual_s: seconds for which it usually says nothing at most.
        Returns: what `note_ended` is told.
        """
        attempt = awaited.make_awaited(now, limit_s, usual_s)
        self.sent_at = now
        self._awaited.append(attempt)
        if self._silent_since is None:
            self._silent_since = now
        return attempt

    def note_spoke(self, now: float) -> None:
        """Record the head or an event of an answer."""
        self.spoke_at = now
        self._silent_since = now if self._awaited else None
        for attempt in self._awaited:
            attempt.note_spoke(now)

    def note_ended(self, attempt: awaited.Awaited) -> None:
        """Record that an attempt has ended.

        What ends by itself, such as a connection that breaks, is no silence.
        """
        self._awaited.remove(attempt)
        if not self._awaited and not self.overdue:
            self._silent_since = None

    def note_left(self, now: float) -> None:
        """Record that a call was sent elsewhere since nothing came."""
        self._overdue_at = now

    def begin_call(self, urgency: int, tokens: int = 0) -> None:
        """Count a call that is sent, and the tokens that it will hold."""
        self.calls[urgency] = self.calls.get(urgency, 0) + 1
        self.memory[urgency] = self.memory.get(urgency, 0) + tokens

    def end_call(self, urgency: int, tokens: int = 0) -> None:
        """Stop counting a call that has finished or was abandoned."""
        self.calls[urgency] -= 1
        self.memory[urgency] -= tokens

    def begin_prefill(self, urgency: int, tokens: int) -> None:
        """Count the prompt tokens of a call that is sent."""
        self.prefill[urgency] = self.prefill.get(urgency, 0) + tokens

    def end_prefill(self, urgency: int, tokens: int) -> None:
        """Stop counting a prompt that has its first token or was abandoned."""
        self.prefill[urgency] -= tokens

    def own_work(self) -> messages.ReplicaWork:
        """Returns: unfinished work of this entry."""
        return messages.ReplicaWork(
            self.replica.replica_id,
            _nonzero(self.calls),
            _nonzero(self.prefill),
            _nonzero(self.memory),
        )

    def update_other_work(
        self, work: messages.ReplicaWork | None, now: float
    ) -> None:
        """Apply the reported work of other entries."""
        self._other_work = work
        self._other_work_at = now

    def queued_tokens(self, urgency: int, now: float) -> int:
        """Returns: prompt tokens that are prefilled before a new prompt."""
        return sum(
            tokens
            for other_urgency, tokens in self._prefill(now)
            if other_urgency <= urgency
        )

    def memory_tokens(self, urgency: int, now: float) -> int:
        """Returns: memory tokens of calls that a new one does not preempt."""
        amounts = list(self.memory.items())
        if self._has_recent_other_work(now):
            amounts.extend(self._other_work.memory)
        return sum(
            tokens
            for other_urgency, tokens in amounts
            if other_urgency <= urgency
        )

    def less_urgent_tokens(self, urgency: int, now: float) -> int:
        """Returns: prompt tokens of less urgent prompts."""
        return sum(
            tokens
            for other_urgency, tokens in self._prefill(now)
            if other_urgency > urgency
        )

    def urgent_calls(self, urgency: int, now: float) -> int:
        """Returns: number of more urgent calls in flight."""
        amounts = list(self.calls.items())
        if self._has_recent_other_work(now):
            amounts.extend(self._other_work.calls)
        return sum(
            count
            for other_urgency, count in amounts
            if other_urgency < urgency
        )

    def _prefill(self, now: float) -> list[tuple[int, int]]:
        amounts = list(self.prefill.items())
        if self._has_recent_other_work(now):
            amounts.extend(self._other_work.prefill)
        return amounts

    def _has_recent_other_work(self, now: float) -> bool:
        return (
            self._other_work is not None
            and now - self._other_work_at < MAX_OTHER_WORK_AGE_S
        )

    def note_parts(
        self, salt: str, parts: Iterable[calls.Part], room: float
    ) -> None:
        """Record parts that the replica prefills and caches.

        Args:
            room: number of tokens to track; the oldest parts are dropped.
        """
        for part in parts:
            key = part_directory.part_key(salt, part.part_id)
            self._part_tokens += part.tokens - self._parts.pop(key, 0)
            self._parts[key] = part.tokens
        while self._part_tokens > room and self._parts:
            oldest = next(iter(self._parts))
            self._part_tokens -= self._parts.pop(oldest)

    def held_tokens(self, salt: str, parts: Iterable[calls.Part]) -> int:
        """Returns: tokens at the start of a prompt that it may have cached."""
        held = 0
        for part in parts:
            key = part_directory.part_key(salt, part.part_id)
            if key not in self._parts:
                break
            held += part.tokens
        return held

    def other_load(self, now: float) -> float:
        """Returns: number of calls of other entries, as last known.

        Without a recent report it is estimated from the load that an answer
        reported, less the own calls at that time, decreasing with age.
        """
        if self._has_recent_other_work(now):
            return sum(count for _, count in self._other_work.calls)
        if self._reported_load is None:
            return 0.0
        age_s = now - self._reported_load_at
        if age_s >= MAX_REPORTED_LOAD_AGE_S:
            return 0.0
        total = self._reported_load.running + self._reported_load.waiting
        return max(0, total - self._in_flight_at_report) * (
            1 - age_s / MAX_REPORTED_LOAD_AGE_S
        )


def _nonzero(counts: dict[int, int]) -> tuple[tuple[int, int], ...]:
    return tuple(
        (urgency, count) for urgency, count in counts.items() if count
    )


def make_member(replica: replicas.Replica) -> Member:
    return Member(replica)


def make_successor(member: Member, replica: replicas.Replica) -> Member:
    """Make the member of a later lifetime under the same id."""
    successor = make_member(replica)
    # An order outlasts the lifetime in which it was given.
    successor.loading = member.loading
    return successor
