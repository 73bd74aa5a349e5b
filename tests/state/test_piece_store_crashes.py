"""Stateful test of piece stores against a model, with crashes."""

import os
import shutil
import tempfile

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from papayalink import clock as clocks
from papayalink.coordination import retention
from papayalink.protocol import pieces
from papayalink.state import disk_piece_store
from papayalink.state import errors
from papayalink.state import piece_store
from papayalink.state import tiered_piece_store

_WORKSPACES = ("acme", "other")
_VERSIONS = ("v1", "v2")
_KEYS = [
    pieces.PieceKey(workspace, version, f"{number:032x}")
    for workspace in _WORKSPACES
    for version in _VERSIONS
    for number in range(3)
]
_CAPACITY = 5 * len(pieces.encode_piece(_KEYS[0], b"x" * 64))


class _Crash(BaseException):
    """Simulates the end of the process; its later statements do not run."""


class _CrashingFiles(disk_piece_store.Files):
    """Crashes at a given step of a write, and loses bytes not synced.

    Attributes:
        crash_step: "sync", "rename" or "sync_folder"; None for no crash.
        kept_bytes: bytes of an unsynced file that survive the crash.
    """

    def __init__(self):
        self.crash_step = None
        self.kept_bytes = 0

    def _step(self, name):
        if self.crash_step == name:
            raise _Crash

    def write(self, path, parts):
        try:
            super().write(path, parts)
        except _Crash:
            # An unsynced file may be truncated at any byte.
            size = os.path.getsize(path)
            os.truncate(path, min(size, self.kept_bytes))
            raise

    def sync(self, descriptor):
        self._step("sync")
        super().sync(descriptor)

    def rename(self, source, target):
        self._step("rename")
        super().rename(source, target)

    def sync_folder(self, folder):
        self._step("sync_folder")
        super().sync_folder(folder)


class StoreMachine(stateful.RuleBasedStateMachine):
    """Compares a store with a model of the data that it may return."""

    tiered = False

    def __init__(self):
        super().__init__()
        self.folder = tempfile.mkdtemp()
        self.pins = []
        # For each key the encoded pieces that a read may return.
        self.may_hold = {}
        self.must_not_hold = set(_KEYS)
        # Keys dropped or damaged since the restart; pins of them may remain.
        self.unpublished = set()
        self.start()

    def start(self):
        self.files = _CrashingFiles()
        self.store = disk_piece_store.DiskPieceStore(
            self.folder, _CAPACITY, files=self.files
        )
        if self.tiered:
            self.store = tiered_piece_store.TieredPieceStore(
                piece_store.MemoryPieceStore(_CAPACITY // 2),
                self.store,
                retention.ReturnPolicy(),
                clocks.ManualClock(),
            )

    def teardown(self):
        shutil.rmtree(self.folder)

    @stateful.rule(
        key=strategies.sampled_from(_KEYS),
        fill=strategies.binary(min_size=64, max_size=64),
        value=strategies.integers(0, 3),
    )
    def put(self, key, fill, value):
        data = pieces.encode_piece(key, fill)
        was_held = self.store.contains([key])[0]
        try:
            self.store.put(key, data, value)
        except errors.StoreFull:
            assert not was_held
            return
        if not was_held:
            self.may_hold[key] = [data]
        self.must_not_hold.discard(key)

    @stateful.rule(
        key=strategies.sampled_from(_KEYS),
        fill=strategies.binary(min_size=64, max_size=64),
        step=strategies.sampled_from(["sync", "rename", "sync_folder"]),
        kept_bytes=strategies.integers(0, 400),
    )
    def crash_in_put(self, key, fill, step, kept_bytes):
        data = pieces.encode_piece(key, fill)
        self.files.crash_step = step
        self.files.kept_bytes = kept_bytes
        try:
            self.store.put(key, data, 2)
        except _Crash:
            if step == "sync_folder":
                self.may_hold.setdefault(key, []).append(data)
                self.must_not_hold.discard(key)
        except errors.StoreFull:
            pass
        self.restart()

    @stateful.rule()
    def restart(self):
        self.pins.clear()
        self.unpublished.clear()
        held = set(self.held())
        self.start()
        if not self.tiered:
            # Only a put that crashed after its rename may add a piece.
            assert len(set(self.held()) - held) <= 1
        assert not [n for n in os.listdir(self.folder) if "tmp" in n]

    @stateful.rule(key=strategies.sampled_from(_KEYS))
    def drop(self, key):
        self.store.drop(key)
        self.unpublished.add(key)
        self.must_not_hold.add(key)
        self.may_hold.pop(key, None)

    @stateful.rule(key=strategies.sampled_from(_KEYS))
    def pin(self, key):
        was_held = self.store.contains([key])[0]
        pin = self.store.get(key)
        assert was_held == (pin is not None)
        if pin is not None:
            assert pin.data in self.may_hold[key]
            pieces.verify_piece(key, pin.data)
            self.pins.append((pin, pin.data))

    @stateful.precondition(lambda self: self.pins)
    @stateful.rule(number=strategies.integers(0, 99))
    def unpin(self, number):
        pin, _ = self.pins.pop(number % len(self.pins))
        pin.release()

    @stateful.rule(number=strategies.integers(0, 99))
    def damage(self, number):
        """Change a byte of a file; the next read must miss."""
        names = sorted(os.listdir(self.folder))
        if not names or self.tiered:
            return
        path = os.path.join(self.folder, names[number % len(names)])
        with open(path, "r+b") as file:
            file.seek(-1 - number % 64, os.SEEK_END)
            byte = file.read(1)
            file.seek(-1, os.SEEK_CUR)
            file.write(bytes([byte[0] ^ 1]))
        for key in self.held():
            pin = self.store.get(key)
            if pin is None:
                self.unpublished.add(key)
            else:
                assert pin.data in self.may_hold[key]
                pin.release()

    def held(self):
        return [
            key
            for key, is_held in zip(_KEYS, self.store.contains(_KEYS))
            if is_held
        ]

    @stateful.invariant()
    def invariants(self):
        """Guards against freed pieces, lost pins and wrong usage counts."""
        assert self.must_not_hold.isdisjoint(self.held())
        for pin, data in self.pins:
            assert pin.data == data
        if not self.tiered:
            pinned = {pin.key for pin, _ in self.pins}
            assert (pinned - self.unpublished).issubset(self.held())
        usage = self.store.usage()
        assert usage.used_bytes <= usage.capacity_bytes
        assert usage.pins == len(self.pins)
        assert sum(usage.by_workspace.values()) <= usage.used_bytes


class TieredStoreMachine(StoreMachine):
    tiered = True


_SETTINGS = hypothesis.settings(max_examples=60, stateful_step_count=25)
TestDiskStore = StoreMachine.TestCase
TestDiskStore.settings = _SETTINGS
TestTieredStore = TieredStoreMachine.TestCase
TestTieredStore.settings = _SETTINGS
