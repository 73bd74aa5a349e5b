"""A disk that is full at a chosen point of the file operations."""

import errno
import os
import stat

from papayalink.state import segments

# A disk without free space refuses what needs some.
NEEDS_SPACE = ("open", "write")
# "A full disk refuses every write": whatever changes a file or a folder.
EVERYTHING = (
    "open",
    "write",
    "truncate",
    "sync",
    "sync_folder",
    "rename",
    "remove",
)


class FullDisk(segments.Files):
    """Refuses file operations from a given one on, until it has room.

    Args:
        refused: names of the operations that a full disk refuses.
        first: number of the first refused operation, counted from 0 over the
            operations in `refused`; None while the disk has room.
        partial: whether a refused write stores the first half of its data.
    """

    __slots__ = ("refused", "first", "partial", "count", "refusals")

    def __init__(self, refused=EVERYTHING, first=None, partial=False):
        self.refused = refused
        self.first = first
        self.partial = partial
        self.count = 0
        self.refusals = 0

    def open(self, path, flags):
        self._check("open")
        return super().open(path, flags)

    def write(self, descriptor, data):
        try:
            self._check("write")
        except OSError:
            if self.partial:
                super().write(descriptor, data[: len(data) // 2])
            raise
        super().write(descriptor, data)

    def sync(self, descriptor):
        is_folder = stat.S_ISDIR(os.fstat(descriptor).st_mode)
        self._check("sync_folder" if is_folder else "sync")

    def truncate(self, descriptor, size):
        self._check("truncate")
        super().truncate(descriptor, size)

    def rename(self, source, target):
        self._check("rename")
        super().rename(source, target)

    def remove(self, path):
        self._check("remove")
        super().remove(path)

    def _check(self, operation):
        if operation not in self.refused:
            return
        self.count += 1
        if self.first is not None and self.count > self.first:
            self.refusals += 1
            raise OSError(errno.ENOSPC, f"no space left: {operation}")
