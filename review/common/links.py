"""Links between machines whose open channels can go silent."""

import socket
import threading

import fleet as fleets


class Link:
    """Forwards the channels from one machine to another.

    The processes of a machine use its own peer port for all machines, so the
    link listens at the address of the far machine on that port.
    """

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self._target = (far.ip, peer_port(far))
        self._silent = set()
        self._pairs = []
        self._listener = socket.create_server(
            (far.ip, peer_port(near)), backlog=128
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_channels(self):
        """Pass on nothing more on these channels; new ones work.

        Returns: how many there are.
        """
        pairs = list(self._pairs)
        self._silent.update(pairs)
        return len(pairs)

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near):
        try:
            far = socket.create_connection(self._target, 1.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for each in (near, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._pairs.append(pair)
        other = threading.Thread(
            target=self._forward, args=(far, near, pair), daemon=True
        )
        other.start()
        self._forward(near, far, pair)
        other.join()
        self._pairs.remove(pair)
        near.close()
        far.close()

    def _forward(self, source, sink, pair):
        try:
            while data := source.recv(65_536):
                if pair not in self._silent:
                    sink.sendall(data)
            if pair not in self._silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            for each in pair:
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def peer_port(machine):
    return machine.processes[0].settings["peer_port"]


def connect(fleet):
    """Give each machine a port of its own, and lay links between them.

    Returns: the links.
    """
    for number, machine in enumerate(fleet.machines):
        for process in machine.processes:
            process.settings["peer_port"] = fleets.PEER_PORT + number
    links = [
        Link(near, far)
        for near in fleet.machines
        for far in fleet.machines
        if near is not far
    ]
    fleet.servers.extend(links)
    return links
