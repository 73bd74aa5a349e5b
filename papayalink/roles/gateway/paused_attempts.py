"""Attempts of one call at replicas that it has left, and that may go on."""

from collections.abc import Callable
import time

import msgspec

from papayalink.coordination import awaited
from papayalink.coordination import fleet_member
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt

# A sound replica goes on within this time after a call has left it.
MAX_PAUSED_S = 2.0


class Sent(msgspec.Struct):
    """An attempt that was sent.

    Attributes:
        sent_at: monotonic seconds.
        waiting: what its replica said until the call left it.
        looked_at: whether the call went on here since something had come.
    """

    member: fleet_member.Member
    attempt: attempt.Attempt
    dispatch: calls.Dispatch
    sent_at: float
    waiting: awaited.Awaited
    looked_at: bool = False


class PausedAttempts:
    """Keeps attempts until another replica takes the call.

    A call that the others turn away can go on at them without another sending,
    which the retry budget may not allow.
    """

    __slots__ = ("_paused",)

    def __init__(self) -> None:
        # The last one is the one that was left last.
        self._paused: list[tuple[Sent, float]] = []

    def __bool__(self) -> bool:
        return bool(self._paused)

    def add(self, sent: Sent) -> None:
        self._paused.append((sent, time.monotonic()))

    def take(self) -> Sent:
        """Returns: the attempt that was paused last."""
        sent, _ = self._paused.pop()
        return sent

    def has_arrived(self) -> bool:
        """Returns: whether something has come of the one that was left last.

        Parts of events may come without end, so each is looked at once.
        """
        if not self._paused:
            return False
        sent, _ = self._paused[-1]
        return not sent.looked_at and sent.attempt.has_unread

    def note_arrived(self) -> bool:
        """Returns: whether the call is to go on where something has come."""
        arrived = self.has_arrived()
        if arrived:
            sent, _ = self._paused[-1]
            sent.looked_at = True
        return arrived

    def abandon_old(self) -> None:
        """Give up those whose replicas would have gone on if they could.

        What has gone on is kept.
        """
        min_left_at = time.monotonic() - MAX_PAUSED_S
        self._abandon(
            lambda sent, left_at: left_at < min_left_at
            and not sent.attempt.has_unread
        )

    def abandon_at(self, member: fleet_member.Member) -> None:
        """Give up those at a replica to which the call is sent again."""
        self._abandon(lambda sent, left_at: sent.member is member)

    def abandon(self) -> None:
        """Give up all of them."""
        self._abandon(lambda sent, left_at: True)

    def _abandon(self, is_given_up: Callable[[Sent, float], bool]) -> None:
        kept = []
        for sent, left_at in self._paused:
            if is_given_up(sent, left_at):
                sent.attempt.abandon()
            else:
                kept.append((sent, left_at))
        self._paused = kept


def make_paused_attempts() -> PausedAttempts:
    return PausedAttempts()
