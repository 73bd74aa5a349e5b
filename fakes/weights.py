"""Stand-in for a rate-limited weight store."""

import hashlib

import falcon
import fire
import gevent

from fakes import serving
from papayalink import clock as clocks

CHUNK_BYTES = 16 * 1024


class WeightStore:
    """Weight versions that readers download at limited rates.

    Args:
        size_bytes: size of every version.
        total_bytes_per_s: rate that all readers share.
        reader_bytes_per_s: maximum rate of one reader.
        clock: source of time.
        versions: versions that the store has; empty means every version.
    """

    def __init__(
        self,
        size_bytes: int,
        total_bytes_per_s: float,
        reader_bytes_per_s: float,
        clock: clocks.Clock,
        versions: frozenset[str] = frozenset(),
    ) -> None:
        self.size_bytes = size_bytes
        self._versions = versions
        self.readers = 0
        self.most_readers = 0
        self._total_bytes_per_s = total_bytes_per_s
        self._reader_bytes_per_s = reader_bytes_per_s
        self._clock = clock

    def read(self, version: str):
        """Yield the bytes of a version at the current rate of a reader."""
        block = hashlib.shake_128(version.encode()).digest(CHUNK_BYTES)
        self.readers += 1
        self.most_readers = max(self.most_readers, self.readers)
        due = self._clock.now()
        try:
            bytes_left = self.size_bytes
            while bytes_left:
                chunk = block[:bytes_left]
                bytes_left -= len(chunk)
                due += len(chunk) / self.rate()
                gevent.sleep(max(0.0, due - self._clock.now()))
                yield chunk
        finally:
            self.readers -= 1

    def has(self, version: str) -> bool:
        """Returns: whether the store has a version."""
        return not self._versions or version in self._versions

    def rate(self) -> float:
        """Returns: current rate of each reader, in bytes per second."""
        return min(
            self._reader_bytes_per_s,
            self._total_bytes_per_s / max(1, self.readers),
        )


class _Resources:
    def __init__(self, store):
        self._store = store

    def on_get_weights(self, req, resp, version):
        if not self._store.has(version):
            raise falcon.HTTPNotFound()
        resp.content_type = "application/octet-stream"
        resp.set_stream(self._store.read(version), self._store.size_bytes)

    def on_get_readers(self, req, resp):
        resp.media = {
            "readers": self._store.readers,
            "most_readers": self._store.most_readers,
        }


def make_server(
    host: str = "127.0.0.1",
    port: int = 0,
    size_bytes: int = 800_000,
    total_bytes_per_s: float = 2_000_000.0,
    reader_bytes_per_s: float = 1_000_000.0,
    versions: str = "",
) -> serving.Server:
    """Make a server for a weight store.

    With the default rates a version takes 0.8 s to read, and longer when
    more than two readers share the store, as the design page states.

    Args:
        host: address to listen on.
        port: port to listen on; 0 chooses a free one.
        size_bytes: size of every version.
        total_bytes_per_s: rate that all readers share.
        reader_bytes_per_s: maximum rate of one reader.
        versions: versions that the store has, separated by spaces; empty
            means every version.

    Returns: a server that has not been started; `state` is the WeightStore.
    """
    store = WeightStore(
        size_bytes,
        total_bytes_per_s,
        reader_bytes_per_s,
        clocks.make_clock(),
        frozenset(versions.split()),
    )
    resources = _Resources(store)
    app = falcon.App()
    app.add_route("/weights/{version}", resources, suffix="weights")
    app.add_route("/readers", resources, suffix="readers")
    return serving.Server(app, host, port, store)


def main(**options: object) -> None:
    """Serve until SIGTERM; options are those of make_server."""
    serving.run(make_server(**options))


if __name__ == "__main__":
    fire.Fire(main)
