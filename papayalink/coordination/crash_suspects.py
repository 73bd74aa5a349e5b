"""Parts of prompts that are suspected of ending replicas.

A replica that ends takes all its unfinished prompts with it, so that each of
their parts is suspected. A part that is in a whole answer afterwards is
cleared; one that is lost with replica after replica is blocked. Entries and
control members merge what they know, in any order and any number of times.
"""

from collections.abc import Collection
from collections.abc import Iterable
import itertools

from papayalink.coordination import call_keys
from papayalink.protocol import shared_tables

# Crashes after which prompts with a part are no longer sent, and crashes after
# which a lost prompt is not sent again. A healthy part is seldom lost twice
# without a whole answer in between.
MIN_CRASHES = 3
MIN_CRASHES_TO_REPEAT = 2
# Replicas that end within this time count once: a rack or a zone that fails
# ends several at the same moment, whatever they answer.
SAME_MOMENT_S = 0.02
# Bounds of the state. Beyond them the parts with the fewest and oldest crashes
# are dropped, and the oldest crashes of a part.
MAX_PARTS = 64
MAX_CRASHES = 8
MAX_PARTS_OF_PROMPT = 32
# Parts of whole answers that are remembered, since reports of earlier crashes
# may still arrive.
MAX_SOUND_PARTS = 4096
SOUND_MEMORY_S = 30.0
# A blocked part gets one prompt through after this time, and after four times
# as long with each one that ends a replica again.
FIRST_TRIAL_S = 5.0
TRIAL_FACTOR = 4
MAX_TRIAL_DELAY_S = 300.0
# An entry uses its permission for a trial within this time.
TRIAL_WINDOW_S = 5.0
# A part without a crash for this long is forgotten. It is longer than the
# longest delay of a trial, which renews it.
FORGET_S = 600.0
# Reports that differ by less are the same: each transfer adds its delay.
_SAME_REPORT_S = 1.0


class _Crash:
    """A replica that ended with a part.

    Attributes:
        begun: whether an answer to a prompt with the part had begun, without
            a whole event.
    """

    __slots__ = ("at", "begun")

    def __init__(self, at: float, begun: bool) -> None:
        self.at = at
        self.begun = begun


class _Suspect:
    """What is known of one part."""

    __slots__ = ("crashes", "sound_at", "trials", "trial_at")

    def __init__(self) -> None:
        self.crashes: dict[str, _Crash] = {}
        self.sound_at = float("-inf")
        self.trials = 0
        self.trial_at = float("-inf")

    @property
    def last_crash_at(self) -> float:
        return max(
            (crash.at for crash in self.crashes.values()),
            default=float("-inf"),
        )

    @property
    def newest_at(self) -> float:
        return max(self.last_crash_at, self.trial_at)

    def next_trial_at(self) -> float:
        delay_s = FIRST_TRIAL_S * TRIAL_FACTOR ** min(self.trials, 8)
        return self.newest_at + min(MAX_TRIAL_DELAY_S, delay_s)

    def clear(self, now: float) -> bool:
        """Forget crashes up to now; returns whether there were any."""
        self.sound_at = max(self.sound_at, now)
        before = len(self.crashes)
        self.crashes = {
            replica_id: crash
            for replica_id, crash in self.crashes.items()
            if crash.at > now
        }
        if not self.crashes:
            self.trials = 0
            self.trial_at = float("-inf")
        return len(self.crashes) < before

    def add_crash(self, replica_id: str, at: float, begun: bool) -> bool:
        """Returns: whether the crash or its kind was new."""
        if at <= self.sound_at:
            return False
        known = self.crashes.get(replica_id)
        if known is not None:
            is_new = begun and not known.begun
            known.begun = known.begun or begun
            return is_new
        self.crashes[replica_id] = _Crash(at, begun)
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes, key=lambda key: self.crashes[key].at)
            del self.crashes[oldest]
            return oldest != replica_id
        return True


class CrashSuspects:
    """Table of suspected parts, at an entry or a control member.

    Attributes:
        version: changes with the table.
    """

    __slots__ = ("version", "_suspects", "_counted", "_sound", "_trials")

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self._suspects: dict[str, _Suspect] = {}
        # By part, the times of the crashes that count against it.
        self._counted: dict[str, dict[str, float]] = {}
        self._sound: dict[str, float] = {}
        # By part, until when a trial is permitted.
        self._trials: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._counted)

    @property
    def blocked(self) -> dict[str, list[str]]:
        """Blocked parts, each with the replicas that ended."""
        return {
            part: sorted(counted)
            for part, counted in sorted(self._counted.items())
            if _count_moments(counted.values()) >= MIN_CRASHES
        }

    def suspected(self, parts: Iterable[str]) -> bool:
        """Returns: whether a crash counts against any of the parts."""
        return any(part in self._counted for part in parts)

    def note_crash(
        self, replica_id: str, parts: Collection[str], begun: bool, now: float
    ) -> None:
        """Record that a replica ended before it answered a prompt.

        Args:
            parts: keys of the prompt's parts that other prompts share.
            begun: whether the answer had begun, without a whole event.
        """
        changed = False
        for part in itertools.islice(parts, MAX_PARTS_OF_PROMPT):
            changed |= self._add_crash(part, replica_id, now, begun)
        self._note_change(changed)

    def note_whole_answer(self, parts: Iterable[str], now: float) -> list[str]:
        """Clear the parts of a prompt that was answered whole.

        Returns: parts that were blocked until now.
        """
        changed = False
        unblocked = []
        for part in parts:
            self._sound.pop(part, None)
            self._sound[part] = now
            suspect = self._suspects.get(part)
            if suspect is None or not suspect.crashes:
                continue
            if self._count(part) >= MIN_CRASHES:
                unblocked.append(part)
            changed |= suspect.clear(now)
        while len(self._sound) > MAX_SOUND_PARTS:
            del self._sound[next(iter(self._sound))]
        self._note_change(changed)
        return unblocked

    def find_blocked(
        self, parts: Collection[str], repeated: bool = False
    ) -> str | None:
        """Returns: the part for which a prompt is not sent, None to send it.

        Another part explains the crashes of a suspected one as well if it was
        lost with all the same replicas. A prompt is only blocked if it has
        all parts that explain them, so that prompts that lack one of them
        tell which part it is.

        Args:
            parts: keys of the prompt's parts that other prompts share.
            repeated: whether the prompt was lost with a replica before.
        """
        min_crashes = MIN_CRASHES_TO_REPEAT if repeated else MIN_CRASHES
        prompt_parts = set(parts)
        blocked = [
            (len(self._counted[part]), part)
            for part in prompt_parts & self._counted.keys()
            if self._count(part) >= min_crashes
            and prompt_parts.issuperset(self._explanations(part))
        ]
        return max(blocked)[1] if blocked else None

    def retry_after_s(self, part: str, now: float) -> float:
        """Returns: seconds until a prompt with the part may be let through."""
        suspect = self._suspects.get(part)
        return max(0.0, suspect.next_trial_at() - now) if suspect else 0.0

    def permit_trial(self, part: str, now: float) -> None:
        """Let one prompt with a blocked part through."""
        self._trials = {
            other: until
            for other, until in self._trials.items()
            if until > now
        }
        self._trials[part] = now + TRIAL_WINDOW_S

    def take_trial(self, part: str, now: float) -> bool:
        """Returns: whether a prompt with a blocked part may be sent."""
        return self._trials.pop(part, now) > now

    def grant_trials(self, parts: Iterable[str], now: float) -> list[str]:
        """Grant the trials that are due; to be called at one member.

        Args:
            parts: blocked parts for which an entry has prompts.
        """
        granted = []
        for part in parts:
            suspect = self._suspects.get(part)
            if (
                suspect is not None
                and self._count(part) >= MIN_CRASHES
                and now >= suspect.next_trial_at()
            ):
                suspect.trials += 1
                suspect.trial_at = now
                granted.append(part)
        self._note_change(bool(granted))
        return granted

    def expire(self, now: float) -> None:
        """Forget parts without a crash for long."""
        old = [
            part
            for part, suspect in self._suspects.items()
            if now - suspect.newest_at > FORGET_S
            and now - suspect.sound_at > SOUND_MEMORY_S
        ]
        for part in old:
            del self._suspects[part]
        self._note_change(bool(old))

    def encode(self, now: float) -> tuple[shared_tables.SuspectPart, ...]:
        """Returns: the table, with ages instead of times."""
        return tuple(
            shared_tables.SuspectPart(
                part,
                tuple(
                    shared_tables.Crash(
                        replica_id, _ms(now - each.at), each.begun
                    )
                    for replica_id, each in suspect.crashes.items()
                ),
                _age_ms(suspect.sound_at, now),
                suspect.trials,
                _age_ms(suspect.trial_at, now),
            )
            for part, suspect in self._suspects.items()
        )

    def merge(
        self, reported: Iterable[shared_tables.SuspectPart], now: float
    ) -> None:
        """Add what another process knows."""
        changed = False
        for each in itertools.islice(reported, MAX_PARTS):
            part = call_keys.part_key(each.part)
            for crash in each.crashes:
                at = now - crash.age_ms / 1000
                changed |= self._add_crash(
                    part, crash.replica_id, at, crash.begun
                )
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            if each.sound_age_ms >= 0:
                changed |= suspect.clear(now - each.sound_age_ms / 1000)
            if suspect.crashes:
                changed |= _merge_trials(suspect, each, now)
        self._note_change(changed)

    def _add_crash(
        self, part: str, replica_id: str, at: float, begun: bool
    ) -> bool:
        suspect = self._suspects.get(part)
        is_new = suspect is None
        if suspect is None:
            suspect = self._suspects[part] = _Suspect()
            suspect.sound_at = self._sound.get(part, float("-inf"))
        # Also tells the others if the part has been sound since.
        return suspect.add_crash(replica_id, at, begun) or is_new

    def _count(self, part: str) -> int:
        return _count_moments(self._counted.get(part, {}).values())

    def _explanations(self, part: str) -> list[str]:
        """Returns: parts lost with all the replicas that a part was."""
        replicas = self._counted[part].keys()
        return [
            other
            for other, counted in self._counted.items()
            if replicas <= counted.keys()
        ]

    def _note_change(self, changed: bool) -> None:
        if not changed:
            return
        self.version += 1
        self._drop_excess()
        begun_at = {
            replica_id
            for suspect in self._suspects.values()
            for replica_id, crash in suspect.crashes.items()
            if crash.begun
        }
        # Prompts that still waited did not end a replica that had begun to
        # answer another one.
        counted = {
            part: {
                replica_id: crash.at
                for replica_id, crash in suspect.crashes.items()
                if crash.begun or replica_id not in begun_at
            }
            for part, suspect in self._suspects.items()
        }
        self._counted = {
            part: crashes for part, crashes in counted.items() if crashes
        }

    def _drop_excess(self) -> None:
        if len(self._suspects) <= MAX_PARTS:
            return
        ordered = sorted(
            self._suspects,
            key=lambda part: (
                len(self._suspects[part].crashes),
                self._suspects[part].newest_at,
            ),
        )
        for part in ordered[: len(ordered) - MAX_PARTS]:
            del self._suspects[part]


def _merge_trials(
    suspect: _Suspect, reported: shared_tables.SuspectPart, now: float
) -> bool:
    changed = reported.trials > suspect.trials
    suspect.trials = max(suspect.trials, reported.trials)
    if reported.trial_age_ms >= 0:
        trial_at = now - reported.trial_age_ms / 1000
        if trial_at > suspect.trial_at + _SAME_REPORT_S:
            suspect.trial_at = trial_at
            changed = True
    return changed


def _count_moments(times: Iterable[float]) -> int:
    """Returns: number of times that are not at the same moment."""
    count = 0
    moment = float("-inf")
    for at in sorted(times):
        if at - moment > SAME_MOMENT_S:
            count += 1
            moment = at
    return count


def _ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))


def _age_ms(at: float, now: float) -> int:
    """Returns: the age, -1 for what has not happened."""
    return -1 if at == float("-inf") else _ms(now - at)


def make_crash_suspects(version: int = 0) -> CrashSuspects:
    return CrashSuspects(version)
