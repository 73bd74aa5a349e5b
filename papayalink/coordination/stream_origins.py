"""Which software version began each stream.

What two versions write of one stream does not fit together, so a stream that
broke off goes on only at the version that began it, at whichever entry its
caller takes it up.
"""

from collections.abc import Iterable
import hashlib

from papayalink.protocol import shared_tables

# Longer than a stream and the time in which its caller takes it up again.
STREAM_LIFETIME_S = 30.0
# Bound of the state: the streams of a large deployment in that time.
MAX_STREAMS = 8192
_MAX_ID_LENGTH = 32
# Reports that differ by less are the same: each transfer adds its delay.
_SAME_REPORT_S = 1.0


class Origin:
    """Where the newest part of a stream was written.

    Attributes:
        at: when that part began.
        changed: version of the table with this row.
    """

    __slots__ = ("service", "software", "at", "changed")

    def __init__(
        self, service: str, software: str, at: float, changed: int
    ) -> None:
        self.service = service
        self.software = software
        self.at = at
        self.changed = changed


class StreamOrigins:
    """Origins of the streams that began lately, by the id of the first call.

    Attributes:
        version: changes with the table.
    """

    __slots__ = ("version", "_origins")

    def __init__(self) -> None:
        self.version = 0
        # In the order of their changes.
        self._origins: dict[str, Origin] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def note(
        self, stream: str, service: str, software: str, now: float
    ) -> None:
        """Record that a replica writes a stream from now on.

        Args:
            stream: id of the call that brought its first event.
            software: version of the replica's software, not "".
        """
        self._set(_bounded(stream), service, software, now)

    def find(self, stream: str, now: float) -> Origin | None:
        """Returns: the origin of a stream, None if it is not known."""
        origin = self._origins.get(_bounded(stream))
        if origin is None or now - origin.at > STREAM_LIFETIME_S:
            return None
        return origin

    def encode(
        self, now: float, since: int = 0
    ) -> tuple[shared_tables.StreamOrigin, ...]:
        """Returns: the rows that changed after a version of the table."""
        rows = []
        for stream, origin in reversed(self._origins.items()):
            if origin.changed <= since:
                break
            rows.append(_encode(stream, origin, now))
        return tuple(reversed(rows))

    def encode_one(
        self, stream: str, now: float
    ) -> tuple[shared_tables.StreamOrigin, ...]:
        """Returns: the row of a stream, none if it is not known."""
        origin = self.find(stream, now)
        return (_encode(_bounded(stream), origin, now),) if origin else ()

    def merge(
        self, reported: Iterable[shared_tables.StreamOrigin], now: float
    ) -> None:
        """Add what another process knows; the newest origin holds."""
        for each in reported:
            at = now - each.age_ms / 1000
            known = self._origins.get(_bounded(each.stream))
            if known is not None:
                same = (known.service, known.software) == (
                    each.service,
                    each.software,
                )
                if at <= known.at + (_SAME_REPORT_S if same else 0.0):
                    continue
            if now - at <= STREAM_LIFETIME_S:
                self._set(
                    _bounded(each.stream), each.service, each.software, at
                )

    def expire(self, now: float) -> None:
        """Forget streams that no caller takes up any more."""
        for stream, origin in list(self._origins.items()):
            if now - origin.at <= STREAM_LIFETIME_S:
                break
            del self._origins[stream]

    def _set(
        self, stream: str, service: str, software: str, at: float
    ) -> None:
        self.version += 1
        self._origins.pop(stream, None)
        self._origins[stream] = Origin(service, software, at, self.version)
        if len(self._origins) > MAX_STREAMS:
            del self._origins[next(iter(self._origins))]


def _encode(
    stream: str, origin: Origin, now: float
) -> shared_tables.StreamOrigin:
    age_ms = max(0, int((now - origin.at) * 1000))
    return shared_tables.StreamOrigin(
        stream, origin.service, origin.software, age_ms
    )


def _bounded(stream: str) -> str:
    if len(stream) <= _MAX_ID_LENGTH:
        return stream
    return hashlib.blake2b(stream.encode(), digest_size=16).hexdigest()


def make_stream_origins() -> StreamOrigins:
    return StreamOrigins()
