"""What follows an attempt of a call at one upstream."""

import msgspec

from papayalink.state import traffic

# Connections that may fail for one call before it is given up: an upstream
# that cannot be reached was not sent the call, so this is no repeat.
MAX_NOT_SENT = 3


class NotSent(msgspec.Struct, frozen=True):
    """No connection was made, nothing of the call left."""


class NotRun(msgspec.Struct, frozen=True):
    """The upstream says that it did not run the call.

    Attributes:
        retry_after_s: when it says to come back, None when it does not.
    """

    retry_after_s: float | None = None


class Lost(msgspec.Struct, frozen=True):
    """The call was sent and may have run; there is no whole answer."""

    reason: str


class Failed(msgspec.Struct, frozen=True):
    """The upstream ran the call and answered with a failure of its own."""

    status: int


class Expired(msgspec.Struct, frozen=True):
    """The time of the call is over."""


Outcome = NotSent | NotRun | Lost | Failed | Expired


class TryAgain(msgspec.Struct, frozen=True):
    """Send the call to another upstream."""


class Refuse(msgspec.Struct, frozen=True):
    """Tell the caller that the call was not run and will not be."""

    retry_after_s: float | None = None


class PassOn(msgspec.Struct, frozen=True):
    """Give the caller the upstream's own failure."""


class GiveUp(msgspec.Struct, frozen=True):
    """Tell the caller that the outcome is not known.

    Attributes:
        status: 502 after a loss, 504 after the time was over.
    """

    status: int


Decision = TryAgain | Refuse | PassOn | GiveUp


class Attempts:
    """Attempts of one call.

    Args:
        repeat: how often the call may run.
        max_attempts: upstreams that it may be sent to.
    """

    __slots__ = ("_repeat", "_max_attempts", "_sent", "_not_sent", "_may_run")

    def __init__(self, repeat: traffic.Repeat, max_attempts: int) -> None:
        self._repeat = repeat
        self._max_attempts = max_attempts
        self._sent = 0
        self._not_sent = 0
        self._may_run = False

    @property
    def sent(self) -> int:
        """Upstreams that the call was sent to."""
        return self._sent

    @property
    def may_have_run(self) -> bool:
        """Whether some upstream has not denied that it ran the call."""
        return self._may_run

    def note_sending(self) -> None:
        """The call begins to leave; from now on it may run."""
        self._sent += 1

    def decide(self, outcome: Outcome, budget_allows: bool) -> Decision:
        """Decide on an attempt that brought no answer for the caller.

        Args:
            outcome: how the attempt ended.
            budget_allows: whether the budget has room for another arrival;
                it is to be taken by the caller of this when it tries again.
        """
        match outcome:
            case NotSent():
                self._not_sent += 1
                if self._not_sent < MAX_NOT_SENT:
                    return TryAgain()
                return self._refusal(None)
            case NotRun(retry_after_s):
                if self._sent < self._max_attempts and budget_allows:
                    return TryAgain()
                return self._refusal(retry_after_s)
            case Lost():
                self._may_run = True
                if self._can_repeat(budget_allows):
                    return TryAgain()
                return GiveUp(502)
            case Failed():
                self._may_run = True
                if self._can_repeat(budget_allows):
                    return TryAgain()
                return PassOn()
            case Expired():
                if self._sent:
                    self._may_run = True
                    return GiveUp(504)
                return Refuse()

    def _can_repeat(self, budget_allows: bool) -> bool:
        return (
            self._repeat is not traffic.Repeat.ONCE
            and self._sent < self._max_attempts
            and budget_allows
        )

    def _refusal(self, retry_after_s: float | None) -> Decision:
        """Refuse, but for a call that an earlier upstream may have run."""
        if self._may_run:
            return GiveUp(502)
        return Refuse(retry_after_s)


def make_attempts(repeat: traffic.Repeat, max_attempts: int) -> Attempts:
    return Attempts(repeat, max_attempts)
