"""A server that takes no connections for a while, as a paused machine does."""

import gevent
from gevent import server
from gevent import socket

# Connections fill the accept queue until one is not taken within this time.
_FILL_TIMEOUT_S = 0.03


class SilentServer:
    """Answers each request the same way, once it goes on.

    Attributes:
        requests: requests that have arrived.
    """

    def __init__(self, answer):
        self.requests = []
        self._answer = answer
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._fillers = []
        while self._fill_queue():
            pass
        self._server = None
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def go_on_after(self, seconds):
        gevent.spawn_later(seconds, self._go_on)

    def stop(self):
        self._listener.close()
        for filler in self._fillers:
            filler.close()
        if self._server is not None:
            self._server.stop()

    def _go_on(self):
        for filler in self._fillers:
            filler.close()
        self._server = server.StreamServer(self._listener, self._serve)
        self._server.start()

    def _fill_queue(self):
        """Returns: whether there may be room for more."""
        filler = socket.socket()
        self._fillers.append(filler)
        filler.settimeout(_FILL_TIMEOUT_S)
        try:
            filler.connect(self._listener.getsockname())
        except TimeoutError:
            return False
        return True

    def _serve(self, connection, _):
        # The connections that filled the queue send nothing.
        if data := connection.recv(65_536):
            self.requests.append(data)
            connection.sendall(self._answer)
