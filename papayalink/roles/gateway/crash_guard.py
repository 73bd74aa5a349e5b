"""Keeps a call that is suspected of ending replicas from being sent."""

import time

import msgspec

from papayalink.coordination import call_keys
from papayalink.roles.gateway import call_ending
from papayalink.roles.gateway import crashes as crash_observers


class Blocked(msgspec.Struct, frozen=True):
    """The call may not be sent now.

    Attributes:
        retry_after_s: time until one call with the key is let through.
    """

    reason: str
    retry_after_s: float


class CrashGuard:
    """Checks the request of one call, and the parts of its prompt."""

    __slots__ = ("_crashes", "_keys", "_lost", "_suspects_version", "_trial")

    def __init__(
        self,
        crashes: crash_observers.CrashObserver,
        keys: call_keys.CallKeys,
    ) -> None:
        self._crashes = crashes
        self._keys = keys
        # Whether a replica was lost with the call.
        self._lost = False
        self._suspects_version = 0
        # Blocked key for which the call may be sent once all the same.
        self._trial: str | None = None

    def check(self) -> Blocked | None:
        """Returns: why the call may not be sent, None if it may."""
        suspects = self._crashes.suspects
        self._suspects_version = suspects.version
        blocked = self._crashes.blocked_key(self._keys, self._lost)
        if blocked is None or blocked == self._trial:
            return None
        key = self._crashes.find_blocked(self._keys, self._lost)
        if key is None:
            self._trial = blocked
            return None
        kind = "" if call_keys.is_request_key(key) else "part "
        return Blocked(
            f"{kind}{key} ends replicas",
            max(
                call_ending.RETRY_AFTER_S,
                suspects.retry_after_s(key, time.monotonic()),
            ),
        )

    def still_allows(self) -> bool:
        """Returns: whether the result of the last check holds."""
        if self._crashes.suspects.version == self._suspects_version:
            return True
        blocked = self._crashes.blocked_key(self._keys, self._lost)
        return blocked in (None, self._trial)

    def note_sending(self) -> None:
        """Record that the call is sent, which uses its trial."""
        self._trial = None

    def note_lost(self) -> None:
        """Record that a replica was lost with the call."""
        self._lost = True


def make_crash_guard(
    crashes: crash_observers.CrashObserver, keys: call_keys.CallKeys
) -> CrashGuard:
    return CrashGuard(crashes, keys)
