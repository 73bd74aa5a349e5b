"""Requests and parts of prompts that are suspected of ending replicas.

A replica that ends takes all its unfinished calls with it, so that each of
them is suspected, as is each of their parts. What is in a whole answer
afterwards is cleared; what is lost with replica after replica is blocked. A
request that explains several ends by itself counts once against its parts, so
that other calls with these parts are served. Entries and control members merge
what they know, in any order and any number of times.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import itertools

from papayalink.coordination import call_keys
from papayalink.coordination import crash_counts
from papayalink.coordination import replica_ends
from papayalink.coordination import suspects
from papayalink.protocol import shared_tables

# Crashes after which a lost call is not sent again.
MIN_CRASHES_TO_REPEAT = 2
# Bounds of the state. Beyond them the parts or requests with the fewest and
# oldest crashes are dropped.
MAX_PARTS = 64
MAX_REQUESTS = 64
MAX_PARTS_OF_PROMPT = 32
# Keys of whole answers that are remembered, since reports of earlier crashes
# may still arrive.
MAX_SOUND_KEYS = 4096
SOUND_MEMORY_S = 30.0
# An entry uses its permission for a trial within this time.
TRIAL_WINDOW_S = 5.0
# Calls that may themselves have ended a replica use what is left of it.
DOUBTFUL_TRIAL_S = TRIAL_WINDOW_S / 2
# What has neither ended a replica nor been refused for this long is forgotten.
FORGET_S = 600.0
# Refusals renew that time this often at most, since each renewal is reported.
REFUSAL_REFRESH_S = 60.0
# Reports that differ by less are the same: each transfer adds its delay.
_SAME_REPORT_S = 1.0


class CrashSuspects:
    """Table of suspected parts and requests, at an entry or a control member.

    Attributes:
        version: changes with the table.
    """

    __slots__ = (
        "version",
        "_suspects",
        "_ends",
        "_counted",
        "_counts",
        "_requests",
        "_blocked",
        "_sound",
        "_trials",
    )

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self._suspects: dict[str, suspects.Suspect] = {}
        self._ends = replica_ends.make_replica_ends()
        # By key, the times of the crashes that count against it.
        self._counted: dict[str, dict[replica_ends.ReplicaEnd, float]] = {}
        # By key, the number of crashes that nothing else explains.
        self._counts: dict[str, int] = {}
        # The requests among the counted keys.
        self._requests: dict[str, dict[replica_ends.ReplicaEnd, float]] = {}
        self._blocked: frozenset[str] = frozenset()
        self._sound: dict[str, float] = {}
        # By key, until when a trial is permitted.
        self._trials: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._counted)

    @property
    def blocked(self) -> dict[str, list[str]]:
        """Blocked parts and requests, each with the replicas that ended."""
        return {
            key: sorted({end.replica_id for end in self._counted[key]})
            for key in sorted(self._blocked)
        }

    @property
    def has_requests(self) -> bool:
        """Whether any request is suspected."""
        return bool(self._requests)

    def suspected(self, keys: Iterable[str]) -> bool:
        """Returns: whether a crash counts against any of the keys."""
        return any(key in self._counted for key in keys)

    def note_crash(
        self,
        replica_id: str,
        parts: Collection[str],
        begun: bool,
        now: float,
        request: str = "",
        born_ms: int = 0,
    ) -> None:
        """Record that a replica ended before it answered a call.

        Args:
            parts: keys of the call's parts that other prompts share.
            begun: whether the answer had begun, without a whole event.
            request: key of the call itself.
            born_ms: start of the lifetime that ended, 0 when unknown.
        """
        end = self._ends.find(replica_id, now, born_ms)
        changed = False
        if request:
            changed = self._add_crash(request, end, now, begun)
        for part in itertools.islice(parts, MAX_PARTS_OF_PROMPT):
            changed |= self._add_crash(part, end, now, begun)
        self._note_change(changed)

    def note_whole_answer(self, keys: Iterable[str], now: float) -> list[str]:
        """Clear the parts of a call that was answered whole, and the call.

        Returns: keys that were blocked until now.
        """
        changed = False
        unblocked = []
        for key in keys:
            self._sound.pop(key, None)
            self._sound[key] = now
            suspect = self._suspects.get(key)
            if suspect is None or not suspect.crashes:
                continue
            if key in self._blocked:
                unblocked.append(key)
            changed |= suspect.clear(now)
        while len(self._sound) > MAX_SOUND_KEYS:
            del self._sound[next(iter(self._sound))]
        self._note_change(changed)
        return unblocked

    def find_blocked(
        self,
        parts: Collection[str],
        repeated: bool = False,
        request: str = "",
    ) -> str | None:
        """Returns: the key for which a call is not sent, None to send it.

        Crashes of a part do not count against a prompt if it lacks another
        part that explains them as well, so that prompts that lack one of two
        parts tell which it is.

        Args:
            parts: keys of the call's parts that other prompts share.
            repeated: whether the call was lost with a replica before.
            request: key of the call itself.
        """
        needed = (
            MIN_CRASHES_TO_REPEAT if repeated else crash_counts.MIN_CRASHES
        )
        if request in self._blocked or (
            repeated and self._counts.get(request, 0) >= needed
        ):
            return request
        prompt_parts = {
            part for part in parts if self._counts.get(part, 0) >= needed
        }
        if not prompt_parts:
            return None
        explained: set[replica_ends.ReplicaEnd] = set()
        for part, count in self._counts.items():
            if count >= needed and part not in prompt_parts:
                if not call_keys.is_request_key(part):
                    explained.update(self._counted[part])
        blocked = [
            (len(self._counted[part]), part)
            for part in prompt_parts
            if self._count_part(part, explained) >= needed
        ]
        return max(blocked)[1] if blocked else None

    def retry_after_s(self, key: str, now: float) -> float:
        """Returns: seconds until a call with the key may be let through."""
        permitted_until = self._trials.get(key, now)
        if permitted_until > now:
            return max(0.0, permitted_until - DOUBTFUL_TRIAL_S - now)
        suspect = self._suspects.get(key)
        return max(0.0, suspect.next_trial_at() - now) if suspect else 0.0

    def permit_trial(self, key: str, now: float) -> None:
        """Let one call with a blocked key through."""
        self._trials = {
            other: until
            for other, until in self._trials.items()
            if until > now
        }
        self._trials[key] = now + TRIAL_WINDOW_S

    def take_trial(
        self, key: str, now: float, others: Iterable[str] = ()
    ) -> bool:
        """Returns: whether a call with a blocked key may be sent.

        A call with another key that may explain some of the crashes of the
        blocked one would tell little of that. It has to leave the trial to
        other calls for a time.

        Args:
            others: the other keys of the call.
        """
        until = self._trials.get(key, now)
        if until - now > DOUBTFUL_TRIAL_S and self._is_doubtful(key, others):
            return False
        return self._trials.pop(key, now) > now

    def grant_trials(self, refused: Iterable[str], now: float) -> list[str]:
        """Grant the trials that are due; to be called at one member.

        Args:
            refused: blocked keys for which an entry refuses calls.
        """
        granted = []
        renewed = False
        for key in refused:
            suspect = self._suspects.get(key)
            if suspect is None or key not in self._blocked:
                continue
            if now - suspect.newest_at > REFUSAL_REFRESH_S:
                suspect.refused_at = now
                renewed = True
            if now >= suspect.next_trial_at():
                suspect.trials += 1
                suspect.trial_at = now
                granted.append(key)
        self._note_change(bool(granted) or renewed)
        return granted

    def expire(self, now: float) -> None:
        """Forget what has not ended a replica for long."""
        old = [
            key
            for key, suspect in self._suspects.items()
            if now - suspect.newest_at > FORGET_S
            and now - suspect.sound_at > SOUND_MEMORY_S
        ]
        for key in old:
            del self._suspects[key]
        self._note_change(bool(old))

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.Suspect, ...]:
        """Returns: the whole table, with ages instead of times."""
        return tuple(
            shared_tables.Suspect(
                key,
                tuple(
                    shared_tables.Crash(
                        end.replica_id,
                        _ms(now - each.at),
                        each.begun,
                        end.number,
                        self._ends.born_ms(end),
                    )
                    for end, each in suspect.crashes.items()
                ),
                _age_ms(suspect.sound_at, now),
                suspect.trials,
                _age_ms(suspect.trial_at, now),
                _age_ms(suspect.refused_at, now),
            )
            for key, suspect in self._suspects.items()
        )

    def merge(
        self, reported: Iterable[shared_tables.Suspect], now: float
    ) -> None:
        """Add what another process knows."""
        changed = False
        for each in itertools.islice(reported, MAX_PARTS + MAX_REQUESTS):
            key = call_keys.bounded_key(each.key)
            sound_at = float("-inf")
            if each.sound_age_ms >= 0:
                sound_at = now - each.sound_age_ms / 1000
            # A crash after a whole answer may have the number of one before.
            changed |= self._clear(key, sound_at)
            for crash in each.crashes:
                at = now - crash.age_ms / 1000
                end = self._ends.merge(
                    crash.replica_id, crash.number, at, crash.born_ms
                )
                changed |= self._add_crash(key, end, at, crash.begun)
            changed |= self._clear(key, sound_at)
            suspect = self._suspects.get(key)
            if suspect is None:
                continue
            if suspect.crashes:
                changed |= _merge_trials(suspect, each, now)
        self._note_change(changed)

    def _is_doubtful(self, key: str, others: Iterable[str]) -> bool:
        crashes = self._counted.get(key, {}).keys()
        return not call_keys.is_request_key(key) and any(
            self._counted[other].keys() < crashes
            for other in others
            if other in self._counted
        )

    def _clear(self, key: str, sound_at: float) -> bool:
        suspect = self._suspects.get(key)
        return suspect is not None and suspect.clear(sound_at)

    def _add_crash(
        self, key: str, end: replica_ends.ReplicaEnd, at: float, begun: bool
    ) -> bool:
        suspect = self._suspects.get(key)
        is_new = suspect is None
        if suspect is None:
            is_request = call_keys.is_request_key(key)
            suspect = self._suspects[key] = suspects.make_suspect(is_request)
            suspect.sound_at = self._sound.get(key, float("-inf"))
        # Also tells the others if the key has been sound since.
        return suspect.add_crash(end, at, begun) or is_new

    def _count_part(
        self, part: str, explained: Collection[replica_ends.ReplicaEnd] = ()
    ) -> int:
        """Returns: number of crashes of a part, one for each request.

        Args:
            explained: ends of replicas that do not count.
        """
        crashes = {
            end: at
            for end, at in self._counted[part].items()
            if end not in explained
        }
        return crash_counts.count_moments(
            crash_counts.times_by_request(crashes, self._requests)
        )

    def _note_change(self, changed: bool) -> None:
        if not changed:
            return
        self.version += 1
        self._drop_excess(True, MAX_REQUESTS)
        self._drop_excess(False, MAX_PARTS)
        requests_begun = collections.Counter(
            end
            for key, suspect in self._suspects.items()
            if call_keys.is_request_key(key)
            for end, crash in suspect.crashes.items()
            if crash.begun
        )
        self._count_crashes()
        requests = self._requests = {
            key: crashes
            for key, crashes in self._counted.items()
            if call_keys.is_request_key(key)
        }
        blocked = crash_counts.find_guilty(requests, requests_begun)
        for key, crashes in self._counted.items():
            if key in requests:
                self._counts[key] = crash_counts.count_moments(
                    crashes.values()
                )
            else:
                self._counts[key] = self._count_part(key)
                if self._counts[key] >= crash_counts.MIN_CRASHES:
                    blocked.add(key)
        self._blocked = frozenset(blocked)

    def _count_crashes(self) -> None:
        """Count crashes against calls that may have caused them.

        Calls that still waited did not end a replica that had begun to answer
        another one.
        """
        begun_at = {
            end
            for suspect in self._suspects.values()
            for end, crash in suspect.crashes.items()
            if crash.begun
        }
        counted = {
            key: {
                end: crash.at
                for end, crash in suspect.crashes.items()
                if crash.begun or end not in begun_at
            }
            for key, suspect in self._suspects.items()
        }
        self._counted = {
            key: crashes for key, crashes in counted.items() if crashes
        }
        self._counts = {}

    def _drop_excess(self, requests: bool, max_rows: int) -> None:
        """Drop rows of requests, or of parts, beyond their bound."""
        rows = [
            key
            for key in self._suspects
            if call_keys.is_request_key(key) is requests
        ]
        if len(rows) <= max_rows:
            return

        def suspicion(key: str) -> tuple:
            suspect = self._suspects[key]
            return len(suspect.crashes), suspect.begun, suspect.newest_at

        rows.sort(key=suspicion)
        for key in rows[: len(rows) - max_rows]:
            del self._suspects[key]


def _merge_trials(
    suspect: suspects.Suspect, reported: shared_tables.Suspect, now: float
) -> bool:
    changed = reported.trials > suspect.trials
    suspect.trials = max(suspect.trials, reported.trials)
    if reported.refused_age_ms >= 0:
        refused_at = now - reported.refused_age_ms / 1000
        if refused_at > suspect.refused_at + _SAME_REPORT_S:
            suspect.refused_at = refused_at
            changed = True
    if reported.trial_age_ms >= 0:
        trial_at = now - reported.trial_age_ms / 1000
        if trial_at > suspect.trial_at + _SAME_REPORT_S:
            suspect.trial_at = trial_at
            changed = True
    return changed


def _ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))


def _age_ms(at: float, now: float) -> int:
    """Returns: the age, -1 for what has not happened."""
    return -1 if at == float("-inf") else _ms(now - at)


def make_crash_suspects(version: int = 0) -> CrashSuspects:
    return CrashSuspects(version)
