"""Loopback proxy that injects connection faults."""

import struct

import gevent
from gevent import event
from gevent import server
from gevent import socket

from soak import broken_answers

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
BACKLOG = 256
# A connection that has carried uploads gets more room for the next one, which
# would then be taken in whole although its answer breaks off.
RECEIVE_BUFFER_BYTES = 65_536
# Time after which a connection was not taken, since the queue is full.
FILL_TIMEOUT_S = 0.03
FAULT_MODES = (
    "delay",
    "silent",
    "one_way",
    "refuse",
    "end_head",
    "reset_head",
    *broken_answers.MODES,
)


class Proxy:
    """Forwards connections to one address.

    Attributes:
        mode: "pass" forwards all data, "delay" forwards it after `delay_s`,
            "silent" forwards nothing, "one_way" forwards no responses,
            "refuse" resets new connections, "end_head" and "reset_head" pass
            on the first bytes of a response and then end or reset the
            connection. Those of broken answers answer uploads.
        delay_s: delay of each chunk of data in mode "delay".
        head_bytes: number of these bytes.
        address: HOST:PORT of the proxy.
    """

    def __init__(
        self, target: tuple[str, int], listen: tuple[str, int] | None = None
    ) -> None:
        self._target = target
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._silenced: set[tuple[socket.socket, socket.socket]] = set()
        self._going = event.Event()
        self._going.set()
        self._fillers: list[socket.socket] = []
        self.mode = "pass"
        self.delay_s = 0.0
        self.head_bytes = 0
        self._server = server.StreamServer(
            listen or (target[0], 0), self._serve, backlog=BACKLOG
        )
        self._server.start()
        # Accepted connections have what their listener has.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = f"{target[0]}:{self._server.server_port}"

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            for each in pair:
                _reset(each)

    def silence_open(self) -> int:
        """Pass on nothing more on the open connections; new ones work.

        What their ends send is still taken from them.

        Returns: number of these connections.
        """
        self._silenced |= self._pairs
        return len(self._pairs)

    def pause(self, takes_connections: bool) -> None:
        """Hold all data back until `go_on`.

        Args:
            takes_connections: whether new connections wait in the accept
                queue. Otherwise the queue is full, and none can be made.
        """
        if self._server.closed:
            return
        self._going.clear()
        self._server.stop_accepting()
        if takes_connections:
            return
        self._server.socket.listen(0)
        while self._fill_queue():
            pass

    def go_on(self) -> None:
        """Pass on what was held back, and accept connections again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._going.set()
        if not self._server.closed:
            self._server.socket.listen(BACKLOG)
            self._server.start_accepting()

    def stop(self) -> None:
        self._server.stop()
        self.reset_all()

    def _fill_queue(self) -> bool:
        """Returns: whether there may be room for more."""
        filler = socket.socket()
        self._fillers.append(filler)
        filler.settimeout(FILL_TIMEOUT_S)
        try:
            filler.connect(
                (self._server.server_host, self._server.server_port)
            )
        except (TimeoutError, ConnectionError):
            # The queue is full, or the proxy has been stopped.
            return False
        return True

    def _serve(self, caller: socket.socket, _: object) -> None:
        if self.mode == "refuse":
            _reset(caller)
            return
        try:
            upstream = socket.create_connection(
                self._target, CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset(caller)
            return
        upstream.settimeout(None)
        pair = (caller, upstream)
        self._pairs.add(pair)
        responses = gevent.spawn(self._forward, pair, upstream, caller)
        self._forward(pair, caller, upstream)
        responses.join()
        self._pairs.discard(pair)
        self._silenced.discard(pair)
        for each in pair:
            each.close()

    def _forward(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        is_response = sink is pair[0]
        try:
            while data := source.recv(CHUNK_BYTES):
                if pair in self._silenced:
                    continue
                self._going.wait()
                while self.mode == "silent" or (
                    is_response and self.mode == "one_way"
                ):
                    gevent.sleep(0.05)
                if (
                    not is_response
                    and self.mode in broken_answers.MODES
                    and broken_answers.answer(self.mode, data, source)
                ):
                    for each in pair:
                        _reset(each)
                    break
                if self.mode == "delay":
                    gevent.sleep(self.delay_s)
                if is_response and self.mode in ("end_head", "reset_head"):
                    sink.sendall(data[: self.head_bytes])
                    if self.mode == "reset_head":
                        _reset(sink)
                    _reset(source)
                    break
                sink.sendall(data)
            self._going.wait()
            if pair not in self._silenced:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)


def _reset(connection: socket.socket) -> None:
    try:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    except OSError:
        # The other direction has closed the connection already.
        return


def make_proxy(
    target: tuple[str, int], listen: tuple[str, int] | None = None
) -> Proxy:
    """Args: listen: (IP, port) of the proxy; None chooses a free port."""
    return Proxy(target, listen)
