"""What is known of one part or request that may end replicas."""

from papayalink.coordination import replica_ends

# Number of crashes that are remembered of each.
MAX_CRASHES = 8
# A blocked part gets one prompt through after this time, and after four times
# as long with each one that ends a replica again. A request is less likely to
# be blocked by mistake, and its refusal concerns few callers.
FIRST_TRIAL_S = 5.0
FIRST_REQUEST_TRIAL_S = 30.0
TRIAL_FACTOR = 4
MAX_TRIAL_DELAY_S = 300.0
MAX_REQUEST_TRIAL_DELAY_S = 3600.0


class Crash:
    """A replica that ended with a call.

    Attributes:
        begun: whether the answer to the call had begun, without a whole event.
    """

    __slots__ = ("at", "begun")

    def __init__(self, at: float, begun: bool) -> None:
        self.at = at
        self.begun = begun


class Suspect:
    """What is known of one part or request."""

    __slots__ = (
        "crashes",
        "sound_at",
        "trials",
        "trial_at",
        "refused_at",
        "_first_trial_s",
        "_max_delay_s",
    )

    def __init__(self, is_request: bool) -> None:
        self.crashes: dict[replica_ends.ReplicaEnd, Crash] = {}
        self.sound_at = float("-inf")
        self.trials = 0
        self.trial_at = float("-inf")
        self.refused_at = float("-inf")
        self._first_trial_s = FIRST_TRIAL_S
        self._max_delay_s = MAX_TRIAL_DELAY_S
        if is_request:
            self._first_trial_s = FIRST_REQUEST_TRIAL_S
            self._max_delay_s = MAX_REQUEST_TRIAL_DELAY_S

    @property
    def last_crash_at(self) -> float:
        return max(
            (crash.at for crash in self.crashes.values()),
            default=float("-inf"),
        )

    @property
    def tried_at(self) -> float:
        return max(self.last_crash_at, self.trial_at)

    @property
    def newest_at(self) -> float:
        return max(self.tried_at, self.refused_at)

    @property
    def begun(self) -> bool:
        """Whether its answer had begun in one of the crashes."""
        return any(crash.begun for crash in self.crashes.values())

    def next_trial_at(self) -> float:
        delay_s = self._first_trial_s * TRIAL_FACTOR ** min(self.trials, 8)
        return self.tried_at + min(self._max_delay_s, delay_s)

    def clear(self, now: float) -> bool:
        """Forget crashes up to now; returns whether there were any."""
        self.sound_at = max(self.sound_at, now)
        before = len(self.crashes)
        self.crashes = {
            end: crash for end, crash in self.crashes.items() if crash.at > now
        }
        if not self.crashes:
            self.trials = 0
            self.trial_at = float("-inf")
        return len(self.crashes) < before

    def add_crash(
        self, end: replica_ends.ReplicaEnd, at: float, begun: bool
    ) -> bool:
        """Returns: whether the crash or its kind was new."""
        if at <= self.sound_at:
            return False
        known = self.crashes.get(end)
        if known is not None:
            is_new = begun and not known.begun
            known.begun = known.begun or begun
            return is_new
        self.crashes[end] = Crash(at, begun)
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes, key=lambda key: self.crashes[key].at)
            del self.crashes[oldest]
            return oldest != end
        return True


def make_suspect(is_request: bool) -> Suspect:
    return Suspect(is_request)
