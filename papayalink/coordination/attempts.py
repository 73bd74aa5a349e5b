"""Decides what follows a failed attempt of a call at one upstream."""

import msgspec

from papayalink.state import traffic

# Failed connections after which a call is given up. They do not count against
# the maximum of attempts, since nothing of the call was sent.
MAX_NOT_SENT = 3
# Refusals that don't count against the maximum of attempts, of a call that has
# left an upstream which may be sound: it can't be refused any more.
MAX_TURNED_AWAY = 6


class NotSent(msgspec.Struct, frozen=True):
    """No connection was made, so nothing of the call was sent."""


class NotRun(msgspec.Struct, frozen=True):
    """The upstream reports that it did not run the call.

    Attributes:
        retry_after_s: delay that the upstream asks for, None without one.
    """

    retry_after_s: float | None = None


class Lost(msgspec.Struct, frozen=True):
    """The call was sent and may have run; the answer is incomplete."""

    reason: str


class Failed(msgspec.Struct, frozen=True):
    """The upstream ran the call and answered with an error status."""

    status: int


class Expired(msgspec.Struct, frozen=True):
    """The deadline of the call has passed."""


Outcome = NotSent | NotRun | Lost | Failed | Expired


class TryAgain(msgspec.Struct, frozen=True):
    """Send the call to another upstream."""


class Refuse(msgspec.Struct, frozen=True):
    """Tell the caller that the call was not run and will not be."""

    retry_after_s: float | None = None


class PassOn(msgspec.Struct, frozen=True):
    """Return the upstream's error to the caller."""


class GiveUp(msgspec.Struct, frozen=True):
    """Tell the caller that the outcome is not known.

    Attributes:
        status: 502 after a lost attempt, 504 after the deadline.
    """

    status: int


Decision = TryAgain | Refuse | PassOn | GiveUp


class Attempts:
    """Attempts of one call.

    Args:
        repeat: whether the call may run more than once.
        max_attempts: number of upstreams that it may be sent to.
    """

    __slots__ = (
        "_repeat",
        "_max_attempts",
        "_sent",
        "_not_sent",
        "_may_have_run",
        "_sending",
        "_left",
        "_turned_away",
    )

    def __init__(
        self, repeat: traffic.RepeatPolicy, max_attempts: int
    ) -> None:
        self._repeat = repeat
        self._max_attempts = max_attempts
        self._sent = 0
        self._not_sent = 0
        self._may_have_run = False
        self._sending = False
        self._left: list[str] = []
        self._turned_away = 0

    @property
    def sent(self) -> int:
        """Number of upstreams that the call was sent to."""
        return self._sent

    @property
    def counted(self) -> int:
        """Number of attempts that count against the maximum."""
        return self._sent - self._turned_away

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream that the call was sent to may have run it."""
        return self._may_have_run or self._sending

    @property
    def left(self) -> list[str]:
        """Names of upstreams that may be sound.

        They were silent, or stopped the call at the time that it was given.
        """
        return self._left

    @property
    def turned_away(self) -> int:
        """Number of refusals since it has left an upstream."""
        return self._turned_away

    def note_left(self, upstream: str) -> None:
        """Record that the present attempt ends at an upstream in `left`."""
        self._left.append(upstream)

    def note_sending(self) -> None:
        """Count an attempt whose sending begins; from now on it may run."""
        self._sent += 1
        self._sending = True

    def decide(self, outcome: Outcome, budget_allows: bool) -> Decision:
        """Decide on an attempt that produced no answer for the caller.

        Args:
            outcome: how the attempt ended.
            budget_allows: whether the retry budget has room for another
                attempt; this method does not charge the budget.
        """
        may_have_run = self.may_have_run
        self._sending = False
        match outcome:
            case NotSent():
                self._not_sent += 1
                if self._not_sent < MAX_NOT_SENT:
                    return TryAgain()
                return self._refusal(None)
            case NotRun(retry_after_s):
                self._turned_away += bool(self._left)
                if (
                    self.counted < self._max_attempts
                    and self._turned_away <= MAX_TURNED_AWAY
                    and budget_allows
                ):
                    return TryAgain()
                return self._refusal(retry_after_s)
            case Lost():
                self._may_have_run = True
                if self._can_repeat(budget_allows):
                    return TryAgain()
                return GiveUp(502)
            case Failed():
                self._may_have_run = True
                if self._can_repeat(budget_allows):
                    return TryAgain()
                return PassOn()
            case Expired():
                self._may_have_run = may_have_run
                return GiveUp(504) if may_have_run else Refuse()

    def _can_repeat(self, budget_allows: bool) -> bool:
        return (
            self._repeat is not traffic.RepeatPolicy.ONCE
            and self.counted < self._max_attempts
            and budget_allows
        )

    def _refusal(self, retry_after_s: float | None) -> Decision:
        """Refuse the call; give up if an earlier upstream may have run it."""
        if self._may_have_run:
            return GiveUp(502)
        return Refuse(retry_after_s)


def make_attempts(repeat: traffic.RepeatPolicy, max_attempts: int) -> Attempts:
    return Attempts(repeat, max_attempts)
