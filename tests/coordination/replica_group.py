"""Group of replicas in one process with an in-memory transport."""

import gevent

from papayalink import clock as clocks
from papayalink import timers
from papayalink.coordination import replica as replicas
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.state import log_store


class ListMachine:
    """State machine that is a list of all commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, data):
        self.commands.append(data)
        return b"%d:%s" % (len(self.commands), data)

    def snapshot(self):
        copy = tuple(self.commands)
        return (
            b"\n".join(copy[start : start + 50])
            for start in range(0, len(copy), 50)
        )

    def restore(self, parts):
        self.commands = [each for part in parts for each in part.split(b"\n")]


class Group:
    """Replicas that reach each other, except the isolated ones."""

    def __init__(self, make_store=None, clock=None, **settings):
        self.timers = timers.make_timer_service(clock or clocks.make_clock())
        self.replicas = {}
        self.machines = {}
        self.stores = {}
        self.isolated = set()
        self.sent = []
        self._settings = settings
        self._make_store = make_store or (lambda _: log_store.MemoryLogStore())

    def start(self, member_id, bootstrap=()):
        store = self.stores.get(member_id) or self._make_store(member_id)
        if not store.blocking:
            self.stores[member_id] = store
        machine = self.machines[member_id] = ListMachine()
        self.replicas[member_id] = replicas.make_replica(
            replicas.Settings(
                member_id=member_id,
                tick_s=0.005,
                seed=int.from_bytes(member_id.encode(), "big"),
                **self._settings,
            ),
            store,
            machine,
            self.timers,
            lambda to, batch: self._send(member_id, to, batch),
            memberships.make_membership(*bootstrap) if bootstrap else None,
        )
        return self.replicas[member_id]

    def stop(self, *member_ids):
        for member_id in member_ids or list(self.replicas):
            self.replicas.pop(member_id).stop()
        if not member_ids:
            self.timers.stop()

    def wait_for(self, condition):
        """Poll until a condition is true, and return its value."""
        with gevent.Timeout(20):
            while not (value := condition()):
                gevent.sleep(0.005)
        return value

    def leader(self):
        def find():
            reachable = self.replicas.keys() - self.isolated
            for member_id in sorted(reachable):
                if self.replicas[member_id].is_leader:
                    return self.replicas[member_id]
            return None

        return self.wait_for(find)

    def others(self, *excluded):
        return [
            each for each in self.replicas.values() if each not in excluded
        ]

    def _send(self, sender, to, batch):
        self.sent.extend(batch)
        # Encoded and decoded as on the wire.
        batch = messages.decode(messages.encode(batch))
        if to in self.replicas and not {sender, to} & self.isolated:
            self.replicas[to].deliver(batch)
