"""Replicas that an entry may send to, their load, and the choice of one."""

from collections.abc import Collection
from collections.abc import Iterable
import hashlib

import msgspec

from papayalink.protocol import calls
from papayalink.state import replicas
from papayalink.state import traffic

# Prompt tokens that an engine reads in a second, until answers tell more.
PREFILL_TOKENS_PER_S = 50_000.0
# Cost of another zone: a round trip, and the bytes that are paid for. A few
# ms of queue at the own zone's replicas are better than that.
ZONE_COST_S = 0.01
# Load that an answer told says little after this.
TOLD_AGE_S = 1.0
# A replica that was not reached is tried again after this, doubled each time.
UNREACHED_BASE_S = 0.3
UNREACHED_MAX_S = 5.0
# Weight of the newest attempt in the share of failed ones.
FAILURE_ALPHA = 0.15
# Cost of a failure that is certain: a repeat, or a call without answer.
FAILURE_COST_S = 2.0
# Parts of prompts that an entry remembers to be at a replica.
MAX_HINTS = 2_000


class Member:
    """One replica as this entry knows it.

    Attributes:
        replica: as listed.
        weights: newest version by model, from the list and from answers.
        in_flight: calls of this entry that are not finished.
        prefill_tokens: prompt tokens of those that have no answer yet.
    """

    __slots__ = (
        "replica",
        "weights",
        "in_flight",
        "prefill_tokens",
        "_told",
        "_told_at",
        "_own_when_told",
        "_unreached",
        "_avoid_until",
        "_failures",
        "_parts",
    )

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.weights = dict(replica.weights)
        self.in_flight = 0
        self.prefill_tokens = 0
        self._told: calls.Load | None = None
        self._told_at = 0.0
        self._own_when_told = 0
        self._unreached = 0
        self._avoid_until = 0.0
        self._failures = 0.0
        self._parts: dict[str, int] = {}

    @property
    def failures(self) -> float:
        """Share of recent attempts that failed, newest first."""
        return self._failures

    def usable(self, now: float) -> bool:
        return (
            self.replica.condition is replicas.Condition.READY
            and now >= self._avoid_until
        )

    def note_load(self, load: calls.Load, now: float) -> None:
        """Take what an answer told."""
        self._told = load
        self._told_at = now
        self._own_when_told = self.in_flight

    def note_not_reached(self, now: float) -> None:
        self._unreached += 1
        wait_s = UNREACHED_BASE_S * 2 ** min(10, self._unreached - 1)
        self._avoid_until = now + min(UNREACHED_MAX_S, wait_s)

    def note_full(self, now: float, wait_s: float) -> None:
        """Keep away for a while after a refusal."""
        self._avoid_until = max(self._avoid_until, now + wait_s)

    def note_result(self, failed: bool) -> None:
        """Count an attempt that arrived."""
        if not failed:
            self._unreached = 0
        self._failures += FAILURE_ALPHA * (failed - self._failures)

    def note_parts(self, salt: str, parts: Iterable[calls.Part]) -> None:
        """The replica reads these parts and keeps them for a while."""
        for part in parts:
            key = f"{salt}/{part.part_id}"
            self._parts.pop(key, None)
            self._parts[key] = part.tokens
        while len(self._parts) > MAX_HINTS:
            del self._parts[next(iter(self._parts))]

    def held_tokens(self, salt: str, parts: Iterable[calls.Part]) -> int:
        """Returns: tokens at the prompt's start that it may hold."""
        held = 0
        for part in parts:
            if f"{salt}/{part.part_id}" not in self._parts:
                break
            held += part.tokens
        return held

    def others(self, now: float) -> float:
        """Returns: calls of other entries there, as last told."""
        if self._told is None:
            return 0.0
        age_s = now - self._told_at
        if age_s >= TOLD_AGE_S:
            return 0.0
        total = self._told.running + self._told.waiting
        return max(0, total - self._own_when_told) * (1 - age_s / TOLD_AGE_S)

    def waiting(self, now: float) -> float:
        """Returns: calls that wait there, as last told."""
        if self._told is None:
            return 0.0
        age_s = now - self._told_at
        return max(0.0, self._told.waiting * (1 - age_s / TOLD_AGE_S))


class Wanted(msgspec.Struct, frozen=True, kw_only=True):
    """What the choice needs to know of a call.

    Attributes:
        salt_of: unused for plain calls; see `Fleet.salt`.
    """

    service: str
    model: str = ""
    parts: tuple[calls.Part, ...] = ()
    prompt_tokens: int = 0
    isolated: str = ""


class Fleet:
    """All replicas, by service.

    Args:
        zone: zone of this entry.
    """

    __slots__ = ("_zone", "_members", "_by_service")

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._members: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}

    def update(self, listed: Iterable[replicas.Replica]) -> list[Member]:
        """Take a newer list.

        Returns: members that are gone or leaving since the last one.
        """
        before = self._members
        self._members = {}
        self._by_service = {}
        gone = []
        for replica in listed:
            member = before.pop(replica.replica_id, None)
            if member is None:
                member = Member(replica)
            elif (
                member.replica.condition is replicas.Condition.READY
                and replica.condition is not replicas.Condition.READY
            ):
                gone.append(member)
            member.replica = replica
            for model, version in replica.weights.items():
                if version > member.weights.get(model, 0):
                    member.weights[model] = version
            self._members[replica.replica_id] = member
            service = self._by_service.setdefault(replica.service, [])
            service.append(member)
        return gone + list(before.values())

    def find(self, replica_id: str) -> Member | None:
        return self._members.get(replica_id)

    def members(self, service: str) -> list[Member]:
        return self._by_service.get(service, [])

    def choose(
        self,
        wanted: Wanted,
        excluded: Collection[str],
        now: float,
    ) -> Member | None:
        """Returns: the replica that is expected to answer first."""
        members = [
            member
            for member in self.members(wanted.service)
            if member.usable(now)
            and member.replica.replica_id not in excluded
            and (not wanted.model or wanted.model in member.weights)
        ]
        if not members:
            return None
        if not wanted.model:
            return min(members, key=lambda each: self._plain_cost(each, now))
        home = _home(wanted, members)
        return min(
            members,
            key=lambda each: self._prompt_cost(
                each, wanted, each is home, now
            ),
        )

    def _plain_cost(self, member: Member, now: float) -> float:
        load = member.in_flight + member.others(now)
        slots = max(1, member.replica.slots)
        cost = load / slots + FAILURE_COST_S * member.failures
        if member.replica.zone != self._zone:
            # A tenth of the slots in use more at the own zone are as good.
            cost += 0.1
        return cost + (1.0 if member.replica.cold_s else 0.0)

    def _prompt_cost(
        self, member: Member, wanted: Wanted, is_home: bool, now: float
    ) -> float:
        salt = make_salt(wanted, member.weights[wanted.model])
        held = member.held_tokens(salt, wanted.parts)
        if is_home and len(wanted.parts) > 1:
            # Calls of other entries with these parts go there as well.
            shared = sum(part.tokens for part in wanted.parts[:-1])
            held = max(held, shared // 2)
        mean = max(1000, wanted.prompt_tokens)
        tokens = (
            member.prefill_tokens
            + wanted.prompt_tokens
            - held
            + mean * member.waiting(now)
        )
        cost_s = tokens / PREFILL_TOKENS_PER_S
        slots = max(1, member.replica.slots)
        load = (member.in_flight + member.others(now)) / slots
        # Each running request makes a step of the batch a little longer.
        cost_s += 0.1 * load + FAILURE_COST_S * member.failures
        if member.replica.zone != self._zone:
            cost_s += ZONE_COST_S
        return cost_s


def make_salt(wanted: Wanted, version: int) -> str:
    """Returns: text under which parts are cached for a call.

    It names the weights, since neither replicas nor stores keep apart what
    different versions made, and the workspace of callers that are isolated.
    """
    return f"{wanted.model}@{version}/{wanted.isolated}"


def _home(wanted: Wanted, members: list[Member]) -> Member | None:
    """Returns: where all entries send prompts with the same shared parts."""
    if not wanted.parts:
        return None
    part = wanted.parts[-2] if len(wanted.parts) > 1 else wanted.parts[-1]
    text = f"{wanted.isolated}/{part.part_id}/"
    return max(
        members,
        key=lambda each: hashlib.blake2b(
            (text + each.replica.replica_id).encode(), digest_size=8
        ).digest(),
    )


def make_fleet(zone: str) -> Fleet:
    return Fleet(zone)


def make_wanted(
    call: calls.Call, service: str, workspace: traffic.Workspace | None
) -> Wanted:
    """Returns: what the choice needs to know of a call."""
    isolated = workspace is not None and workspace.isolated
    return Wanted(
        service=service,
        model=call.model,
        parts=call.parts,
        prompt_tokens=call.prompt_tokens,
        isolated=workspace.name if isolated else "",
    )
