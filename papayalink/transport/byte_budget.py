"""Bound on the bytes that a process holds for all of its answers together."""


class ByteBudget:
    """Counts bytes that are held until their answers have ended.

    Args:
        size_bytes: bytes that all answers may hold together.
        own_bytes: bytes that each answer may hold beside that, so that large
            answers do not end small ones.
    """

    __slots__ = ("_size_bytes", "_own_bytes", "_taken_bytes")

    def __init__(self, size_bytes: int, own_bytes: int) -> None:
        self._size_bytes = size_bytes
        self._own_bytes = own_bytes
        self._taken_bytes = 0

    @property
    def taken_bytes(self) -> int:
        return self._taken_bytes

    def take(self, count: int, held_bytes: int) -> bool:
        """Count more bytes of an answer, unless there is no room for them.

        Args:
            held_bytes: bytes that the answer holds already.
        """
        if (
            held_bytes + count > self._own_bytes
            and self._taken_bytes + count > self._size_bytes
        ):
            return False
        self._taken_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Count bytes no more whose answer has ended."""
        self._taken_bytes -= count


def make_byte_budget(size_bytes: int, own_bytes: int) -> ByteBudget:
    return ByteBudget(size_bytes, own_bytes)
