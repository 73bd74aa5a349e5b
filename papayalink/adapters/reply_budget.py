"""Bound on the bytes of all replies that a process reads whole."""

from collections.abc import Callable

import gevent


class HeldReply:
    """What one reply holds until it is closed.

    Attributes:
        held_bytes: bytes that have been counted.
        ended: whether the reply was ended to make room for others.
    """

    __slots__ = ("held_bytes", "ended", "_budget", "_end")

    def __init__(self, budget: "ReplyBudget", end: Callable[[], None]) -> None:
        self.held_bytes = 0
        self.ended = False
        self._budget = budget
        self._end = end

    def add(self, count: int) -> bool:
        """Count more bytes, for which other replies may be ended.

        Returns: whether the reply may go on.
        """
        self.held_bytes += count
        self._budget.make_room(self)
        return not self.ended

    def end(self) -> None:
        self.ended = True
        self._end()

    def close(self) -> None:
        """Count the bytes of the reply no more, which have been freed."""
        self._budget.remove(self)


class ReplyBudget:
    """Ends the largest reply when all of them together hold too much.

    A small reply is thus read to its end beside others that never end, and
    waits for none that stalls.

    Args:
        size_bytes: bytes that all replies may hold together.
        own_bytes: bytes that each reply may hold in any case.
    """

    __slots__ = ("_size_bytes", "_own_bytes", "_replies")

    def __init__(self, size_bytes: int, own_bytes: int) -> None:
        self._size_bytes = size_bytes
        self._own_bytes = own_bytes
        self._replies: list[HeldReply] = []

    @property
    def _is_full(self) -> bool:
        held_bytes = sum(reply.held_bytes for reply in self._replies)
        return held_bytes > self._size_bytes

    def open(self, end: Callable[[], None]) -> HeldReply:
        """Start to count a reply.

        Args:
            end: makes the greenlet that reads the reply give up; may be
                called from any other one.
        """
        reply = HeldReply(self, end)
        self._replies.append(reply)
        return reply

    def make_room(self, reply: HeldReply) -> None:
        """End the largest replies until the budget holds the others.

        Args:
            reply: reply of the calling greenlet, which may be one of them.
        """
        while self._is_full and not reply.ended:
            if not any(other.ended for other in self._replies):
                largest = max(self._replies, key=lambda held: held.held_bytes)
                if largest.held_bytes <= self._own_bytes:
                    return
                largest.end()
            # The greenlet of a reply that was ended frees its bytes.
            gevent.sleep(0)

    def remove(self, reply: HeldReply) -> None:
        self._replies.remove(reply)


def make_reply_budget(size_bytes: int, own_bytes: int) -> ReplyBudget:
    return ReplyBudget(size_bytes, own_bytes)
