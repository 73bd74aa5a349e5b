"""Tracks the replicas of all services and chooses one for each call."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import random

from papayalink.coordination import change_signal
from papayalink.coordination import first_token_times
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.coordination import weight_history
from papayalink.protocol import calls
from papayalink.protocol import messages
from papayalink.state import replicas

# Time to fetch a token from a store, as a fraction of the time to prefill it.
FETCH_COST_FRACTION = 0.2
# Cost of another zone: a round trip, and traffic that is charged for. A short
# queue in the own zone is preferred to that.
ZONE_COST_S = 0.02
# Replicas sampled for each prompt, the best of which is chosen. Entries learn
# of each other's work with a delay of 0.2 s; if each of them chose the best of
# all replicas, they would all send to the same one until then.
CANDIDATES = 4
# The same for the most urgent prompts. They are short, so entries send many of
# them before they learn of each other's; of four sampled replicas, too many
# entries have the least loaded one among theirs.
URGENT_CANDIDATES = 2
# Fraction of a replica's memory that prompts leave free while there may be
# more urgent ones. Urgent prompts that arrive while a long prompt runs, for
# about a second, would otherwise preempt it, and it would be prefilled again.
HEADROOM_FRACTION = 0.1
# Assumed time that a call holds memory until it is measured, and upper bound
# of a measured time.
HOLD_S = 1.0
MAX_HOLD_S = 10.0
# Weight of a sample in the moving average of that time, for a call that holds
# the whole memory of a replica.
HOLD_ALPHA = 0.5
# Prompt tokens of less urgent work that are prefilled between the first tokens
# of an urgent answer: a chunk of about 2,000 in each of the six steps up to
# its first event.
FIRST_EVENT_TOKENS = 12_000
# Cost of each more urgent call at a replica. It separates urgent and other
# work on different replicas while there are enough of them.
URGENT_CALL_COST_S = 0.005
# Cost of a replica with old weights: a longer wait that is accepted for an
# answer with the newest weights.
OLD_WEIGHTS_COST_S = 0.15
# They cost nothing for this long after they were replaced.
OLD_WEIGHTS_FREE_S = 1.0
# Prompts are not sent to old weights after this fraction of the time allowed
# for a change of weights; the rest is for queues longer than predicted.
OLD_WEIGHTS_FRACTION = 0.85
# Cost of a certain failure: a retry, or a call without an answer.
FAILURE_COST_S = 2.0


class Fleet:
    """All replicas, by service.

    Args:
        zone: zone of this entry.
        weights_s: time allowed for replicas to load newly named weights.
        fetched_tokens: returns the number of tokens of a prompt's parts that
            stores hold under a salt.
        history: tells when weights were replaced.
        rng: source of randomness for sampling candidates.

    Attributes:
        changed: notified when replicas that are lost, load or have no permit
            may have become usable, or are no longer listed.
    """

    __slots__ = (
        "changed",
        "_zone",
        "_fetched_tokens",
        "_rng",
        "_members",
        "_by_service",
        "_first_token_times",
        "_mean_hold_s",
        "_weight_history",
        "_weights_s",
    )

    def __init__(
        self,
        zone: str,
        weights_s: float,
        fetched_tokens: Callable[[str, tuple[calls.Part, ...]], int],
        history: weight_history.WeightHistory,
        rng: random.Random,
    ) -> None:
        self.changed = change_signal.make_change_signal()
        self._zone = zone
        self._weights_s = weights_s
        self._fetched_tokens = fetched_tokens
        self._rng = rng
        self._members: dict[str, fleet_member.Member] = {}
        self._by_service: dict[str, list[fleet_member.Member]] = {}
        self._first_token_times = first_token_times.make_first_token_times()
        self._mean_hold_s = HOLD_S
        self._weight_history = history

    @property
    def tokens_per_s(self) -> float:
        """Measured prefill rate of a replica, in tokens a second."""
        return 1 / self._first_token_times.token_s

    def update(
        self, listed: Iterable[replicas.Replica]
    ) -> list[fleet_member.Member]:
        """Apply a newer list of replicas.

        A replica that has started again under its id is another member, which
        holds and knows nothing of before.

        Returns: members that were removed or are no longer READY.
        """
        before = self._members
        self._members = {}
        self._by_service = {}
        unavailable = []
        for replica in listed:
            member = before.pop(replica.replica_id, None)
            if member is None:
                member = fleet_member.make_member(replica)
            elif not replicas.same_lifetime(
                member.replica.born_ms, replica.born_ms
            ):
                unavailable.append(member)
                member = fleet_member.make_successor(member, replica)
            elif (
                member.replica.condition is replicas.Condition.READY
                and replica.condition is not replicas.Condition.READY
            ):
                unavailable.append(member)
            member.replica = replica
            for model, version in replica.weights.items():
                if version > member.weights.get(model, 0):
                    member.weights[model] = version
            self._members[replica.replica_id] = member
            service = self._by_service.setdefault(replica.service, [])
            service.append(member)
        self.changed.notify()
        return unavailable + list(before.values())

    def set_loading(self, loading: Iterable[messages.Loading]) -> None:
        """Mark these replicas as loading weights, and no others."""
        models: dict[str, set[str]] = {}
        for each in loading:
            models.setdefault(each.replica_id, set()).add(each.model)
        for replica_id, member in self._members.items():
            member.loading = frozenset(models.get(replica_id, ()))
        self.changed.notify()

    def note_loaded(self, loaded: Iterable[messages.Loading]) -> None:
        """Record that replicas have loaded weights."""
        for each in loaded:
            member = self._members.get(each.replica_id)
            if member is not None:
                known = member.weights.get(each.model, 0)
                member.weights[each.model] = max(known, each.version)

    @property
    def size(self) -> int:
        """Number of replicas of all services."""
        return len(self._members)

    def find(self, replica_id: str) -> fleet_member.Member | None:
        return self._members.get(replica_id)

    def all_members(self) -> Iterable[fleet_member.Member]:
        """Returns: the replicas of all services."""
        return self._members.values()

    def members(self, service: str) -> list[fleet_member.Member]:
        return self._by_service.get(service, [])

    def software(self) -> dict[str, set[str]]:
        """Returns: software versions of the listed replicas, by service."""
        return {
            service: {member.replica.software for member in members}
            for service, members in self._by_service.items()
        }

    def own_work(self) -> tuple[messages.ReplicaWork, ...]:
        """Returns: unfinished work of this entry, by replica."""
        return tuple(
            member.own_work()
            for member in self._members.values()
            if member.in_flight
        )

    def lost(self) -> tuple[str, ...]:
        """Returns: replicas that this entry cannot reach."""
        return tuple(
            replica_id
            for replica_id, member in self._members.items()
            if not member.reachable
        )

    def update_other_work(
        self, work: Iterable[messages.ReplicaWork], now: float
    ) -> None:
        """Apply the reported work of all other entries."""
        by_id = {each.replica_id: each for each in work}
        for replica_id, member in self._members.items():
            idle = messages.ReplicaWork(replica_id)
            member.update_other_work(by_id.get(replica_id, idle), now)

    def note_first_token(self, tokens: int, first_s: float) -> None:
        """Update the prediction of the time to a first token.

        Args:
            tokens: prompt tokens prefilled up to the first token, including
                those of prompts queued before it.
            first_s: time to first token.
        """
        self._first_token_times.note(tokens, first_s)

    def note_memory_held(
        self, request: replica_choice.SelectionRequest, held_s: float
    ) -> None:
        """Update the mean time that calls hold memory, weighted by tokens."""
        if request.capacity_tokens:
            share = min(1.0, request.memory_tokens / request.capacity_tokens)
            sample = min(MAX_HOLD_S, held_s)
            self._mean_hold_s += (
                HOLD_ALPHA * share * (sample - self._mean_hold_s)
            )

    def choose(
        self,
        request: replica_choice.SelectionRequest,
        excluded: Collection[str],
        now: float,
    ) -> replica_choice.Choice | None:
        """Returns: the sampled replica of lowest cost, None if none is usable.

        Without a model, all usable replicas are compared instead of a sample.
        """
        members = list(self._usable(request, excluded, now))
        if not members:
            return None
        if request.settled:
            members = [
                member
                for member in members
                if member.replica.software in request.settled
            ] or members
        if not request.model:
            return replica_choice.Choice(
                min(members, key=lambda each: self._plain_cost(each, now))
            )
        candidates = CANDIDATES if request.yields else URGENT_CANDIDATES
        if len(members) > candidates:
            members = self._rng.sample(members, candidates)
        choices = [
            (self._prompt_cost(each, request, now), each) for each in members
        ]
        (_, wait_s, own_s), member = min(choices, key=lambda each: each[0][0])
        return replica_choice.Choice(member, wait_s, own_s)

    def has_usable(
        self,
        request: replica_choice.SelectionRequest,
        excluded: Collection[str],
        now: float,
    ) -> bool:
        """Returns: whether there is a replica that may be chosen now."""
        return any(True for _ in self._usable(request, excluded, now))

    def _usable(
        self,
        request: replica_choice.SelectionRequest,
        excluded: Collection[str],
        now: float,
    ) -> Iterator[fleet_member.Member]:
        for member in self.members(request.service):
            if (
                member.usable(now)
                and member.replica.replica_id not in excluded
                and self.suits(member, request, now)
            ):
                yield member

    def is_current(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> bool:
        """Returns: whether a replica may still be chosen, given a permit."""
        replica = member.replica
        return (
            self._members.get(replica.replica_id) is member
            and replica.service == request.service
            and member.usable_without_limit(now)
            and self.suits(member, request, now)
        )

    def suits(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> bool:
        """Returns: whether its versions are those that the call needs."""
        return request.has_software(member) and (
            not request.model or self._has_weights(member, request, now)
        )

    def next_usable_s(self, service: str, now: float) -> float:
        """Returns: seconds until a replica is used that is avoided now."""
        return min(
            (member.avoided_s(now) for member in self.members(service)),
            default=0.0,
        )

    def expected_tokens(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> tuple[int, float]:
        """Returns: tokens prefilled before the prompt, and its own tokens.

        Its own tokens leave out cached ones; those that are fetched from a
        store count as FETCH_COST_FRACTION each.
        """
        salt = replica_choice.make_salt(request, member.weights[request.model])
        held_tokens = member.held_tokens(salt, request.parts)
        stored_tokens = max(
            0, self._fetched_tokens(salt, request.parts) - held_tokens
        )
        own_tokens = (
            request.prompt_tokens
            - held_tokens
            - stored_tokens
            + FETCH_COST_FRACTION * stored_tokens
        )
        return member.queued_tokens(request.urgency, now), max(1.0, own_tokens)

    def outdated_s(self, model: str, version: int, now: float) -> float:
        """Returns: seconds for which weights may have been replaced."""
        return self._weight_history.outdated_s(model, version, now)

    def _wait_s(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> tuple[float, float]:
        """Returns: time to first token, and the part for its own prefill."""
        queued_tokens, own_tokens = self.expected_tokens(member, request, now)
        token_s = self._first_token_times.token_s
        own_s = own_tokens * token_s + self._first_token_times.base_s
        memory_s = self._memory_wait_s(member, request, now)
        return max(queued_tokens * token_s, memory_s) + own_s, own_s

    def _memory_wait_s(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> float:
        """Returns: seconds until the replica has memory for the prompt.

        Memory is assumed to be released evenly over the time that calls hold
        it.
        """
        room = request.capacity_tokens
        if not room:
            return 0.0
        if request.yields:
            room *= 1 - HEADROOM_FRACTION
        used = member.memory_tokens(request.urgency, now)
        excess = used + request.memory_tokens - room
        if excess <= 0 or not used:
            return 0.0
        return self._mean_hold_s * excess / used

    def _has_weights(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> bool:
        """Returns: whether the weights of the member may still be used."""
        held = member.weights.get(request.model)
        if held is None:
            return False
        outdated_s = self.outdated_s(request.model, held, now)
        if not outdated_s:
            return True
        # A run begins with its first token.
        wait_s, _ = self._wait_s(member, request, now)
        slack_s = (1 - OLD_WEIGHTS_FRACTION) * self._weights_s
        return outdated_s + max(wait_s, slack_s) < self._weights_s

    def _old_weights_cost_s(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> float:
        held = member.weights[request.model]
        outdated_s = self.outdated_s(request.model, held, now)
        return OLD_WEIGHTS_COST_S if outdated_s > OLD_WEIGHTS_FREE_S else 0.0

    def _plain_cost(self, member: fleet_member.Member, now: float) -> float:
        load = member.in_flight + member.other_load(now)
        slots = max(1, member.replica.slots)
        cost = load / slots + FAILURE_COST_S * member.failures
        if member.replica.zone != self._zone:
            # The own zone is preferred up to a tenth more load.
            cost += 0.1
        return cost + (1.0 if member.replica.cold_s else 0.0)

    def _prompt_cost(
        self,
        member: fleet_member.Member,
        request: replica_choice.SelectionRequest,
        now: float,
    ) -> tuple[float, float, float]:
        """Returns: cost, time to first token, and time for its own prefill."""
        token_s = self._first_token_times.token_s
        wait_s, own_s = self._wait_s(member, request, now)
        slots = max(1, member.replica.slots)
        load = (member.in_flight + member.other_load(now)) / slots
        # Each running request makes a step of the batch slightly longer.
        cost_s = wait_s + 0.1 * load + FAILURE_COST_S * member.failures
        less_urgent_tokens = member.less_urgent_tokens(request.urgency, now)
        cost_s += min(less_urgent_tokens, FIRST_EVENT_TOKENS) * token_s
        urgent_calls = member.urgent_calls(request.urgency, now)
        cost_s += URGENT_CALL_COST_S * urgent_calls
        cost_s += self._old_weights_cost_s(member, request, now)
        if member.replica.zone != self._zone:
            cost_s += ZONE_COST_S
        return cost_s, wait_s, own_s


def make_fleet(
    zone: str,
    weights_s: float,
    fetched_tokens: Callable[
        [str, tuple[calls.Part, ...]], int
    ] = lambda salt, parts: 0,
    rng: random.Random | None = None,
    history: weight_history.WeightHistory | None = None,
) -> Fleet:
    return Fleet(
        zone,
        weights_s,
        fetched_tokens,
        history or weight_history.make_weight_history(),
        rng or random.Random(),
    )
