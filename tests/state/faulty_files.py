"""File operations with faults injected by a test."""

import errno
import os
import pathlib
import stat

from papayalink.state import segments


class FaultyFiles(segments.Files):
    """Fails with a given error code, or when a write exceeds free space.

    Attributes:
        free_bytes: largest write that succeeds, None for any.
        error: error code of writes, None for no error.
        sync_error: error code of syncs, None for no error.
        writes_before_error: writes that succeed before `error` is raised.
        synced_folders: path of the folder of each folder sync so far.
    """

    __slots__ = (
        "free_bytes",
        "error",
        "sync_error",
        "writes_before_error",
        "synced_folders",
    )

    def __init__(self):
        self.free_bytes = None
        self.error = None
        self.sync_error = None
        self.writes_before_error = 0
        self.synced_folders = []

    def write(self, descriptor, data):
        if self.error is not None:
            self.writes_before_error -= 1
            if self.writes_before_error < 0:
                raise OSError(self.error, os.strerror(self.error))
        if self.free_bytes is not None and len(data) > self.free_bytes:
            # A full disk stores the first part of a write.
            super().write(descriptor, data[: self.free_bytes])
            raise OSError(errno.ENOSPC, "no space left")
        super().write(descriptor, data)

    def sync(self, descriptor):
        if self.sync_error is not None:
            raise OSError(self.sync_error, os.strerror(self.sync_error))
        if stat.S_ISDIR(os.fstat(descriptor).st_mode):
            path = os.readlink(f"/proc/self/fd/{descriptor}")
            self.synced_folders.append(pathlib.Path(path))
