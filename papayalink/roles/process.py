"""Life cycle of a process: start, dump on a signal, graceful stop."""

import abc
from collections.abc import Callable
import signal
import sys

import gevent
from gevent import event
from gevent import signal as gevent_signal

from papayalink import inspection
from papayalink import process_signals
from papayalink.roles import node as nodes
from papayalink.transport import http_server


class Process(abc.ABC):
    """Base class of the processes of all roles."""

    __slots__ = ("_node", "_stop_requested", "_stop_now", "_inspection")

    def __init__(self, node: nodes.Node) -> None:
        self._node = node
        self._stop_requested = event.Event()
        self._stop_now = event.Event()
        app = inspection.make_app(
            self.dump, node.metrics, lambda: self.accepting
        )
        self._inspection = http_server.make_server(
            nodes.parse_address(node.settings.inspect_listen), app
        )

    @property
    @abc.abstractmethod
    def accepting(self) -> bool:
        """Whether the process takes new work."""

    @abc.abstractmethod
    def start(self) -> None:
        """Open sockets and start tasks."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Stop taking new work and wait until all work in flight is done.

        A role may delay this; the delay ends early when `_stop_now` is set by
        a second stop signal.
        """

    @abc.abstractmethod
    def dump(self) -> dict:
        """Returns: the state of the process, encodable as JSON."""

    def reload(self) -> None:
        """Apply changed settings; roles that need a restart ignore them."""
        self._node.log.info("reload_ignored")

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Returns: functions that read the gauges of this role, by name."""
        return {}

    def run(self) -> int:
        """Run until a signal requests a stop.

        Returns: exit code.
        """
        try:
            self._serve_until_stopped()
        finally:
            process_signals.ignore()
        return 0

    def _serve_until_stopped(self) -> None:
        for name, read in self.gauges().items():
            self._node.metrics.gauge(name, read)
        self._node.metrics.gauge("accepting", lambda: float(self.accepting))
        # A signal during the start must not end calls that are taken already.
        gevent_signal.signal(signal.SIGTERM, self._on_stop)
        gevent_signal.signal(signal.SIGINT, self._on_stop)
        gevent_signal.signal(signal.SIGUSR1, self._on_dump)
        gevent_signal.signal(signal.SIGHUP, self._on_reload)
        process_signals.release()
        self.start()
        self._inspection.start()
        self._node.log.info("started", incarnation=self._node.incarnation)
        self._stop_requested.wait()
        self._node.log.info("stopping")
        try:
            self.drain()
        except Exception:
            self._node.log.exception("stop_failed")
            raise
        self._node.log.info("stopped")

    def _on_stop(self, *_: object) -> None:
        if self._stop_requested.is_set():
            self._stop_now.set()
        self._stop_requested.set()

    def _on_reload(self, *_: object) -> None:
        gevent.spawn(self.reload)

    def _on_dump(self, *_: object) -> None:
        gevent.spawn(self._write_dump)

    def _write_dump(self) -> None:
        sys.stderr.write(inspection.encode_dump(self.dump()).decode())
        sys.stderr.flush()
