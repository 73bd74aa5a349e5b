"""File operations with a model of what a power loss leaves of a folder."""

import itertools
import os

from tests.state import full_disk


class _File:
    """Content of a file: as written, and as of its last sync."""

    __slots__ = ("data", "synced", "position")

    def __init__(self):
        self.data = b""
        self.synced = b""
        self.position = 0


class PowerLoss(full_disk.FullDisk):
    """A disk that may get full, in one folder, and may lose power.

    Names that were created, renamed or removed since the last sync of the
    folder are kept or lost independently of each other. Of a file, what was
    written since its last sync is missing, torn or there. The folder itself
    may be lost until its parent has been synced.

    Attributes:
        on_operation: called after each operation that changed the disk.
    """

    __slots__ = (
        "on_operation",
        "_names",
        "_durable",
        "_pending",
        "_opened",
        "_unsynced_folder",
    )

    def __init__(self, *args, **keywords):
        super().__init__(*args, **keywords)
        self.on_operation = lambda: None
        self._names = {}
        self._durable = {}
        self._pending = []
        self._opened = {}
        self._unsynced_folder = None

    def make_folder(self, path):
        if not path.exists():
            self._unsynced_folder = path
        super().make_folder(path)

    def open(self, path, flags):
        descriptor = super().open(path, flags)
        if path.name not in self._names:
            self._change(("create", path.name, _File()))
        file = self._opened[descriptor] = self._names[path.name]
        file.position = 0
        if flags & os.O_TRUNC:
            file.data = b""
        return descriptor

    def write(self, descriptor, data):
        file = self._opened[descriptor]
        before = os.fstat(descriptor).st_size
        try:
            super().write(descriptor, data)
        finally:
            written = max(0, os.fstat(descriptor).st_size - before)
            file.data = file.data[: file.position] + data[:written]
            file.position += written
        self.on_operation()

    def sync(self, descriptor):
        super().sync(descriptor)
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if not os.path.isdir(path):
            file = self._opened[descriptor]
            file.synced = file.data
        elif self._is_parent(path):
            self._unsynced_folder = None
        else:
            self._durable = dict(self._names)
            self._pending = []
        self.on_operation()

    def truncate(self, descriptor, size):
        super().truncate(descriptor, size)
        file = self._opened[descriptor]
        file.data = file.data[:size]
        file.position = size

    def rename(self, source, target):
        super().rename(source, target)
        self._change(("rename", source.name, target.name))

    def remove(self, path):
        super().remove(path)
        if path.name in self._names:
            self._change(("remove", path.name, None))

    def take_over(self, folder):
        """Start with the files of a folder, all of them synced."""
        for path in folder.iterdir():
            file = self._names[path.name] = _File()
            file.data = file.synced = path.read_bytes()
        self._durable = dict(self._names)

    def leave(self, folder):
        """Write each state that a power loss may leave to a new folder.

        Yields: the folder, whose content the caller may change.
        """
        states = set()
        if self._unsynced_folder is not None:
            states.add(())
        for kept in itertools.product(
            (False, True), repeat=len(self._pending)
        ):
            names = dict(self._durable)
            for change in itertools.compress(self._pending, kept):
                _apply(names, change)
            for content in (_synced, _torn, _written):
                states.add(
                    tuple(
                        (name, content(names[name])) for name in sorted(names)
                    )
                )
        for state in sorted(states):
            folder.mkdir()
            for name, data in state:
                (folder / name).write_bytes(data)
            yield folder
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()

    def leave_synced(self, folder):
        """Write what remains if all that was not synced is lost."""
        folder.mkdir(parents=True)
        if self._unsynced_folder is None:
            for name, file in dict(self._durable).items():
                (folder / name).write_bytes(file.synced)

    def _is_parent(self, path):
        return self._unsynced_folder is not None and os.path.samefile(
            path, self._unsynced_folder.parent
        )

    def _change(self, change):
        _apply(self._names, change)
        self._pending.append(change)
        self.on_operation()


def _apply(names, change):
    kind, name, argument = change
    match kind:
        case "create":
            names[name] = argument
        case "remove":
            names.pop(name, None)
        case "rename" if name in names:
            names[argument] = names.pop(name)


def _synced(file):
    return file.synced


def _torn(file):
    return file.data[: (len(file.synced) + len(file.data)) // 2]


def _written(file):
    return file.data
