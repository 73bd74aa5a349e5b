"""File calls that fail as a test tells them to."""

import errno
import os
import stat

from papayalink.state import segments


class FaultyFiles(segments.Files):
    """Fails with an error code, or when a write exceeds the room."""

    __slots__ = (
        "room",
        "error",
        "sync_error",
        "writes_before_error",
        "folder_syncs",
    )

    def __init__(self):
        self.room = None
        self.error = None
        self.sync_error = None
        self.writes_before_error = 0
        self.folder_syncs = 0

    def write(self, descriptor, data):
        if self.error is not None:
            self.writes_before_error -= 1
            if self.writes_before_error < 0:
                raise OSError(self.error, os.strerror(self.error))
        if self.room is not None and len(data) > self.room:
            # A full disk takes the first part of a write.
            super().write(descriptor, data[: self.room])
            raise OSError(errno.ENOSPC, "no space left")
        super().write(descriptor, data)

    def sync(self, descriptor):
        if self.sync_error is not None:
            raise OSError(self.sync_error, os.strerror(self.sync_error))
        self.folder_syncs += stat.S_ISDIR(os.fstat(descriptor).st_mode)
