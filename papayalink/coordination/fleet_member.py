"""One replica as an entry knows it: load, weights, what it holds."""

from collections.abc import Iterable

from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.state import part_directory
from papayalink.state import replicas

# Work of other entries is not counted any more after this; they report five
# times a second.
OTHERS_AGE_S = 1.5
# Load that an answer told says little after this.
TOLD_AGE_S = 1.0
# Part of a replica's memory whose content an entry remembers. Others send
# there as well, so what was read last is mostly gone soon.
HINT_SHARE = 0.15
# Weight of the newest attempt in the share of failed ones.
FAILURE_ALPHA = 0.15


class Member:
    """One replica as this entry knows it.

    Attributes:
        replica: as listed.
        weights: newest version by model, from the list and from answers.
        calls: calls of this entry that are not finished, by urgency.
        loading: it is to load weights and turns calls away meanwhile.
        heard_at: monotonic seconds of the last byte from it.
        prefill: prompt tokens of those that have no answer yet, by urgency.
        memory: tokens that unfinished calls will hold, by urgency.
    """

    __slots__ = (
        "replica",
        "weights",
        "calls",
        "prefill",
        "memory",
        "_others",
        "_others_at",
        "_told",
        "_told_at",
        "_own_when_told",
        "heard_at",
        "_reachable",
        "_avoid_until",
        "_failures",
        "_parts",
        "_part_tokens",
        "loading",
    )

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.weights = dict(replica.weights)
        self.calls: dict[int, int] = {}
        self.prefill: dict[int, int] = {}
        self.memory: dict[int, int] = {}
        self._others: messages.ReplicaWork | None = None
        self._others_at = 0.0
        self._told: calls.Load | None = None
        self._told_at = 0.0
        self._own_when_told = 0
        self.heard_at = 0.0
        self._reachable = True
        self._avoid_until = 0.0
        self._failures = 0.0
        self._parts: dict[str, int] = {}
        self._part_tokens = 0
        self.loading = False

    @property
    def in_flight(self) -> int:
        """Calls of this entry that are not finished."""
        return sum(self.calls.values())

    @property
    def failures(self) -> float:
        """Share of recent attempts that failed, newest first."""
        return self._failures

    @property
    def reachable(self) -> bool:
        """Whether connections to it can be made, as far as is known."""
        return self._reachable

    def usable(self, now: float) -> bool:
        return (
            self.replica.condition is replicas.Condition.READY
            and self._reachable
            and not self.loading
            and now >= self._avoid_until
        )

    def note_load(self, load: calls.Load, now: float) -> None:
        """Take what an answer told."""
        self._told = load
        self._told_at = now
        self._own_when_told = self.in_flight

    def set_reachable(self, reachable: bool) -> None:
        """Keep calls away while no connection can be made."""
        self._reachable = reachable

    def correct_weights(self, model: str, newest: int) -> None:
        """Its weights are not the ones that it was thought to have."""
        if self.weights.get(model, 0) < newest:
            self.weights[model] = newest
        else:
            listed = self.replica.weights.get(model, 0)
            self.weights[model] = min(self.weights.get(model, 0), listed)

    def note_full(self, now: float, wait_s: float) -> None:
        """Keep away for a while after a refusal."""
        self._avoid_until = max(self._avoid_until, now + wait_s)

    def note_result(self, failed: bool) -> None:
        """Count an attempt that arrived."""
        self._failures += FAILURE_ALPHA * (failed - self._failures)

    def begin_call(self, urgency: int, tokens: int = 0) -> None:
        """Count a call that is sent, and the memory that it will hold."""
        self.calls[urgency] = self.calls.get(urgency, 0) + 1
        self.memory[urgency] = self.memory.get(urgency, 0) + tokens

    def end_call(self, urgency: int, tokens: int = 0) -> None:
        """The call is finished, or was given up."""
        self.calls[urgency] -= 1
        self.memory[urgency] -= tokens

    def begin_prefill(self, urgency: int, tokens: int) -> None:
        """Count a prompt that is sent."""
        self.prefill[urgency] = self.prefill.get(urgency, 0) + tokens

    def end_prefill(self, urgency: int, tokens: int) -> None:
        """The prompt has its first token, or was given up."""
        self.prefill[urgency] -= tokens

    def take_others(
        self, work: messages.ReplicaWork | None, now: float
    ) -> None:
        """Take the work that other entries have here."""
        self._others = work
        self._others_at = now

    def queued_tokens(self, urgency: int, now: float) -> int:
        """Returns: prompt tokens that are read before a new prompt's."""
        return sum(
            tokens for rank, tokens in self._prefill(now) if rank <= urgency
        )

    def memory_tokens(self, urgency: int, now: float) -> int:
        """Returns: tokens of calls that do not make room for a new one."""
        found = list(self.memory.items())
        if self._knows_others(now):
            found.extend(self._others.memory)
        return sum(tokens for rank, tokens in found if rank <= urgency)

    def later_tokens(self, urgency: int, now: float) -> int:
        """Returns: prompt tokens of less urgent prompts."""
        return sum(
            tokens for rank, tokens in self._prefill(now) if rank > urgency
        )

    def urgent_calls(self, urgency: int, now: float) -> int:
        """Returns: calls in flight that are more urgent."""
        found = list(self.calls.items())
        if self._knows_others(now):
            found.extend(self._others.calls)
        return sum(count for rank, count in found if rank < urgency)

    def _prefill(self, now: float) -> list[tuple[int, int]]:
        found = list(self.prefill.items())
        if self._knows_others(now):
            found.extend(self._others.prefill)
        return found

    def _knows_others(self, now: float) -> bool:
        return (
            self._others is not None and now - self._others_at < OTHERS_AGE_S
        )

    def note_parts(
        self, salt: str, parts: Iterable[calls.Part], room: float
    ) -> None:
        """The replica reads these parts and keeps them for a while.

        Args:
            room: tokens to remember.
        """
        for part in parts:
            key = part_directory.part_key(salt, part.part_id)
            self._part_tokens += part.tokens - self._parts.pop(key, 0)
            self._parts[key] = part.tokens
        while self._part_tokens > room and self._parts:
            oldest = next(iter(self._parts))
            self._part_tokens -= self._parts.pop(oldest)

    def held_tokens(self, salt: str, parts: Iterable[calls.Part]) -> int:
        """Returns: tokens at the prompt's start that it may hold."""
        held = 0
        for part in parts:
            key = part_directory.part_key(salt, part.part_id)
            if key not in self._parts:
                break
            held += part.tokens
        return held

    def others(self, now: float) -> float:
        """Returns: calls of other entries there, as last known."""
        if self._knows_others(now):
            return sum(count for _, count in self._others.calls)
        if self._told is None:
            return 0.0
        age_s = now - self._told_at
        if age_s >= TOLD_AGE_S:
            return 0.0
        total = self._told.running + self._told.waiting
        return max(0, total - self._own_when_told) * (1 - age_s / TOLD_AGE_S)


def make_member(replica: replicas.Replica) -> Member:
    return Member(replica)
