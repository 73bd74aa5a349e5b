"""Tells the ends of a replica apart that starts again under its id.

Several processes see the same end, each at its own time. Each numbers it by
what it knows of earlier ends, so that they agree on the number without a
common clock, unless they have yet to hear of the end before. Then two ends get
one number, and count once.
"""

import msgspec

# Losses at most this long apart are of one end, where no lifetime is known.
# Reports differ by their delays; a replica needs longer to start again.
SAME_END_S = 1.0
# Ends that are remembered of each replica, and replicas.
MAX_ENDS = 8
MAX_REPLICAS = 1024


class ReplicaEnd(msgspec.Struct, frozen=True, order=True):
    """The end of one lifetime of a replica.

    Attributes:
        number: counts the ends of the replica.
    """

    replica_id: str
    number: int


class _Known:
    """An end, when a call was first lost with it, and which lifetime ended.

    Attributes:
        at: when that was first seen.
        born_ms: start of the lifetime, 0 when unknown.
    """

    __slots__ = ("end", "at", "born_ms")

    def __init__(self, end: ReplicaEnd, at: float, born_ms: int) -> None:
        self.end = end
        self.at = at
        self.born_ms = born_ms

    def explains(self, at: float, born_ms: int) -> bool:
        """Returns: whether a call that was lost then was lost with it."""
        if self.born_ms and born_ms:
            return self.born_ms == born_ms
        return abs(self.at - at) <= SAME_END_S


class ReplicaEnds:
    """Recent ends by the id of the replica."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, list[_Known]] = {}

    def find(self, replica_id: str, at: float, born_ms: int) -> ReplicaEnd:
        """Returns: the end with which a call was lost, known or new.

        Args:
            at: when the call was lost.
            born_ms: start of the lifetime that ended, 0 when unknown.
        """
        known = self._known.get(replica_id, [])
        for each in known:
            if each.explains(at, born_ms):
                each.born_ms = each.born_ms or born_ms
                return each.end
        number = 1 + max((each.end.number for each in known), default=0)
        end = ReplicaEnd(replica_id, number)
        self._add(_Known(end, at, born_ms))
        return end

    def merge(
        self, replica_id: str, number: int, at: float, born_ms: int
    ) -> ReplicaEnd:
        """Returns: an end that another process has numbered."""
        end = ReplicaEnd(replica_id, number)
        for each in self._known.get(replica_id, ()):
            if each.end == end:
                each.born_ms = each.born_ms or born_ms
                return end
        self._add(_Known(end, at, born_ms))
        return end

    def born_ms(self, end: ReplicaEnd) -> int:
        """Returns: start of the lifetime that ended, 0 when unknown."""
        for each in self._known.get(end.replica_id, ()):
            if each.end == end:
                return each.born_ms
        return 0

    def _add(self, known: _Known) -> None:
        replica_id = known.end.replica_id
        ends = self._known.pop(replica_id, [])
        ends.append(known)
        ends.sort(key=lambda each: each.end.number)
        self._known[replica_id] = ends[-MAX_ENDS:]
        if len(self._known) > MAX_REPLICAS:
            del self._known[next(iter(self._known))]


def make_replica_ends() -> ReplicaEnds:
    return ReplicaEnds()
