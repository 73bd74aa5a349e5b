"""Upstreams that stand still and go on, as a paused machine does."""

import gevent
from gevent import event
from gevent import server as servers
from gevent import socket

from tests.roles.gateway import stubs

# Connections fill the accept queue until one is not taken within this time.
_FILL_TIMEOUT_S = 0.03
_BACKLOG = 16


class _PausedSocket:
    """A connection on which nothing is sent while its upstream pauses."""

    def __init__(self, sock, going):
        self._sock = sock
        self._going = going

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        self._going.wait()
        self._sock.sendall(data)


class Upstream(stubs.Upstream):
    """Answers like its base, except while it stands still.

    Open connections stay open then, and new ones are neither accepted nor
    refused.
    """

    def __init__(self, name, *script):
        super().__init__(name, *script)
        self.server.stop()
        self._going = event.Event()
        self._going.set()
        self._fillers = []
        listener = socket.socket()
        listener.bind((stubs.HOST, 0))
        listener.listen(_BACKLOG)
        self.server = servers.StreamServer(listener, self._serve_unless_paused)
        self.server.start()

    def stand_still(self):
        self._going.clear()
        self.server.stop_accepting()
        while self._fill_queue():
            pass

    def go_on(self):
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._going.set()
        self.server.start_accepting()

    def stand_still_for(self, seconds):
        self.stand_still()
        gevent.sleep(seconds)
        self.go_on()

    def _fill_queue(self):
        """Returns: whether there may be room for more."""
        filler = socket.socket()
        self._fillers.append(filler)
        filler.settimeout(_FILL_TIMEOUT_S)
        try:
            filler.connect((stubs.HOST, self.server.server_port))
        except TimeoutError:
            return False
        return True

    def _serve_unless_paused(self, sock, address):
        self._serve(_PausedSocket(sock, self._going), address)
