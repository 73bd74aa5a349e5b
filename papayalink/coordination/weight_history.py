"""When newer weight versions replaced older ones, as far as is known.

Only confirmed states of the control group are evidence: a version that was the
newest at some time was replaced later. Without such evidence a version that is
not the newest counts as replaced long ago, so that neither a restart nor a
newer version prolongs the time for which old weights are used.

Entries and members merge what they know; the latest evidence counts, in
whatever order it comes.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from papayalink.protocol import shared_tables

# Longer than any time for which old weights are used.
KEEP_S = 120.0
MAX_ROWS = 256
# Evidence that is later by less than this is not passed on.
MIN_GAIN_S = 0.02


class WeightHistory:
    """When each version of a model's weights was last known as the newest.

    Attributes:
        version: changes with the table.
    """

    __slots__ = ("version", "_newest", "_observed_at", "_newest_at")

    def __init__(self) -> None:
        self.version = 0
        self._newest: Mapping[str, int] = {}
        self._observed_at = float("-inf")
        # By model and version, 0 for the time before the first naming.
        self._newest_at: dict[tuple[str, int], float] = {}

    @property
    def rows(self) -> int:
        """Number of versions of which a time is known."""
        return len(self._newest_at)

    @property
    def observed_at(self) -> float:
        """Time of the last confirmed state, minus infinity for none."""
        return self._observed_at

    def observe(self, newest: Mapping[str, int], at: float) -> None:
        """Record a confirmed state.

        Args:
            newest: the newest named version by model, none of which was
                replaced before `at`.
            at: monotonic seconds.
        """
        for model, version in newest.items():
            before = self._newest.get(model, 0)
            if version > before and self._observed_at > float("-inf"):
                self._note(model, before, self._observed_at)
        self._newest = dict(newest)
        self._observed_at = at

    def newest(self, model: str) -> int:
        """Returns: the newest named version, 0 if none was named."""
        return self._newest.get(model, 0)

    def outdated_s(self, model: str, version: int, now: float) -> float:
        """Returns: seconds for which the version may have been replaced.

        0 if it was not replaced, infinity if it is not known since when.
        """
        if version >= self.newest(model):
            return 0.0
        newest_at = max(
            (
                at
                for (each, newest), at in self._newest_at.items()
                if each == model and newest <= version
            ),
            default=float("-inf"),
        )
        return max(0.0, now - newest_at)

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.NewestWeights, ...]:
        """Returns: the whole table, with ages instead of times."""
        return tuple(
            shared_tables.NewestWeights(model, version, _age_ms(at, now))
            for (model, version), at in self._newest_at.items()
        )

    def merge(
        self, reported: Iterable[shared_tables.NewestWeights], now: float
    ) -> None:
        """Add what another process knows.

        Args:
            now: the earliest time at which the rows can have been told.
        """
        for each in reported:
            at = now - each.age_ms / 1000
            if now - at < KEEP_S:
                self._note(each.model, each.version, at)

    def expire(self, now: float) -> None:
        """Forget versions that were replaced long ago."""
        old = [
            key for key, at in self._newest_at.items() if now - at >= KEEP_S
        ]
        for key in old:
            del self._newest_at[key]
        self.version += bool(old)

    def _note(self, model: str, version: int, at: float) -> None:
        key = (model, version)
        known = self._newest_at.get(key)
        if known is not None and at < known + MIN_GAIN_S:
            return
        self._newest_at[key] = at
        if len(self._newest_at) > MAX_ROWS:
            del self._newest_at[min(self._newest_at, key=self._newest_at.get)]
        self.version += 1


def _age_ms(at: float, now: float) -> int:
    # Rounded up, so that no evidence counts as later than it is.
    return max(0, math.ceil((now - at) * 1000))


def make_weight_history() -> WeightHistory:
    return WeightHistory()
