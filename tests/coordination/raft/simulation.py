"""Simulation of a Raft group in one process, with controlled faults."""

import copy
import random

from papayalink.coordination.raft import core
from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import membership as memberships
from papayalink.coordination.raft import messages
from papayalink.state import log_entries
from papayalink.state import log_store

_COMMAND = log_entries.EntryKind.COMMAND


class Member:
    """One node with its store; writes are durable only after sync()."""

    def __init__(self, member_id, store, seed, paced_reads):
        self.member_id = member_id
        self.paced_reads = paced_reads
        self.store = store
        self.seed = seed
        self.restarts = 0
        self.frozen = False
        self.disk_full = False
        self.start()

    def start(self):
        self.restarts += 1
        self.unsynced = []
        loaded = self.store.load()
        snapshot = None
        self.commands = []
        self.applied = 0
        if loaded.snapshot is not None:
            snapshot = messages.decode_snapshot(loaded.snapshot.parts)
            self.restore(snapshot)
        self.node = core.make_node(
            inputs.Config(
                member_id=self.member_id,
                seed=self.seed + self.restarts * 1000,
                hard_state=loaded.hard_state,
                snapshot=snapshot,
                entries=loaded.entries,
                # Small limits that short runs reach.
                snapshot_ticks=15,
                max_batch_entries=3,
                window_entries=8,
                promotion_lag=2,
                trailing_entries=2,
                paced_reads=self.paced_reads,
            )
        )

    def restore(self, snapshot):
        self.commands = list(snapshot.parts)
        self.applied = snapshot.index

    def sync(self, count):
        """Make the oldest writes durable.

        Returns: the output of the node.
        """
        done, self.unsynced = self.unsynced[:count], self.unsynced[count:]
        for ready in done:
            if ready.snapshot is not None:
                save_snapshot(self.store, ready.snapshot)
            self.store.append(ready.entries, ready.hard_state)
        return self.node.step(inputs.Persisted(done[-1].write_id))

    def take_snapshot(self):
        """Store a snapshot of the applied state.

        Returns: the output of the node.
        """
        parts = tuple(self.commands)
        snapshot = self.node.make_snapshot(self.applied, parts)
        save_snapshot(self.store, snapshot)
        return self.node.step(inputs.Compacted(snapshot))


def save_snapshot(store, snapshot):
    parts = messages.encode_snapshot(snapshot)
    store.save_snapshot(snapshot.index, snapshot.term, parts)
    store.compact(snapshot.index)


class Simulation:
    """Members, the network between them, and checks of Raft's invariants."""

    def __init__(self, count, seed):
        self.random = random.Random(seed)
        self.paced_reads = bool(seed % 2)
        self.members = {}
        self.network = []
        self.cut_links = set()
        self.committed = {}  # by index; entries committed at any member
        self.leaders = {}  # by term; member ids
        self.acknowledged = 0  # highest index that a leader has applied
        self.reads = {}
        self.finished_reads = 0
        self.commands = 0
        self.tokens = 0
        ids = [f"m{number}" for number in range(count)]
        self.next_id = count
        membership = memberships.make_membership(*ids)
        for member_id in ids:
            store = log_store.MemoryLogStore()
            first = messages.Snapshot(0, 0, membership, ())
            save_snapshot(store, first)
            self._add(member_id, store)

    def running(self):
        return [
            member
            for member in self.members.values()
            if member.node is not None and not member.frozen
        ]

    def step(self, member, node_input):
        self.process_ready(member, member.node.step(node_input))

    def process_ready(self, member, ready):
        """Carry out the output of a node, and check its reports."""
        node = member.node
        if ready.write_id is not None:
            # The node may change objects that it shares with its output.
            member.unsynced.append(copy.copy(ready))
        for message in ready.messages:
            assert message.sender == member.member_id
            self.network.append(messages.encode([message]))
        if node.is_leader:
            leader = self.leaders.setdefault(node.term, member.member_id)
            assert leader == member.member_id, "two leaders in one term"
        if ready.snapshot is not None:
            member.restore(ready.snapshot)
            self._check_state(member)
        for entry in ready.committed:
            assert entry.index == member.applied + 1, "gap in applied entries"
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, "a committed entry changed"
            member.applied = entry.index
            if entry.kind == _COMMAND:
                member.commands.append(entry.data)
        if ready.committed and node.is_leader:
            self.acknowledged = max(self.acknowledged, member.applied)
        for read in ready.reads:
            min_index = self.reads.pop(read.token)
            self.finished_reads += 1
            assert (
                read.index >= min_index
            ), "a read misses an acknowledged entry"

    def _check_state(self, member):
        expected = [
            self.committed[index].data
            for index in range(1, member.applied + 1)
            if self.committed[index].kind == _COMMAND
        ]
        assert member.commands == expected, "a snapshot differs from the log"

    def propose(self, member):
        self.commands += 1
        data = b"c%d" % self.commands
        self.tokens += 1
        self.step(member, inputs.Propose(data, self.tokens))

    def read(self, member):
        self.tokens += 1
        self.reads[self.tokens] = self.acknowledged
        self.step(member, inputs.ReadIndex(self.tokens))

    def change(self, member, change):
        self.tokens += 1
        self.step(member, inputs.ChangeMembers(change, self.tokens))

    def deliver(self, position, keep_copy=False):
        """Deliver a message in flight; keep_copy leaves a duplicate behind."""
        data = self.network[position]
        if not keep_copy:
            del self.network[position]
        for message in messages.decode(data):
            to = self.members.get(message.to)
            if to is None or to.node is None or to.frozen:
                continue
            if frozenset((message.sender, message.to)) in self.cut_links:
                continue
            self.step(to, inputs.Receive(message))

    def snapshot(self, member):
        if member.applied >= member.node.first_index:
            self.process_ready(member, member.take_snapshot())

    def replace_lost_member(self):
        """Make the next membership change that replaces a lost member."""
        leader = self.leader()
        if leader is None:
            return
        known = leader.node.membership
        learners = sorted(set(known.ids) - set(known.voters))
        new = sorted(self.members.keys() - {*known.ids, *known.removed})
        gone = sorted(set(known.ids) - self.members.keys())
        if learners and learners[0] in self.members:
            change = memberships.PromoteLearner(learners[0])
        elif gone:
            change = memberships.RemoveMember(gone[0])
        elif new:
            change = memberships.AddLearner(new[0])
        else:
            return
        self.change(leader, change)

    def set_disk_full(self, member, disk_full):
        member.disk_full = disk_full
        self.step(
            member, inputs.StorageFull() if disk_full else inputs.StorageFree()
        )

    def kill(self, member):
        """Crash a member; writes that are not synced are lost."""
        member.node = None
        member.frozen = False
        member.disk_full = False

    def replace(self, member):
        """Lose the disk of a member and start an empty one with a new id."""
        self.kill(member)
        del self.members[member.member_id]
        self.next_id += 1
        return self._add(f"m{self.next_id}", log_store.MemoryLogStore())

    def run_without_faults(self, rounds):
        """Run ticks, syncs and deliveries in order, without faults."""
        for _ in range(rounds):
            for member in self.running():
                self.step(member, inputs.Tick())
                self.step(member, inputs.ReadRoundDue())
            delivered = 0
            while self.network or self._sync_all():
                while self.network:
                    self.deliver(0)
                    delivered += 1
                    assert (
                        delivered < 10_000
                    ), "the exchange of messages does not end"

    def run(self, rounds, loss_rate, duplicate_rate, reorder_rate):
        """Run under load; the rates are probabilities of message faults."""
        draw = self.random.random
        for _ in range(rounds):
            for member in self.running():
                if draw() < 0.8:
                    self.step(member, inputs.Tick())
                if draw() < (0.5 if member.node.is_leader else 0.02):
                    self.propose(member)
                if draw() < 0.1:
                    self.read(member)
                if draw() < 0.3:
                    self.step(member, inputs.ReadRoundDue())
                unsynced = len(member.unsynced)
                if unsynced and not member.disk_full and draw() < 0.7:
                    count = self.random.randint(1, unsynced)
                    self.process_ready(member, member.sync(count))
                if not member.unsynced and draw() < 0.1:
                    self.snapshot(member)
            if draw() < 0.1:
                self.replace_lost_member()
            for _ in range(self.random.randint(0, 2 * len(self.network))):
                if not self.network:
                    break
                position = 0
                if draw() < reorder_rate:
                    position = self.random.randrange(len(self.network))
                if draw() < loss_rate:
                    del self.network[position]
                else:
                    self.deliver(position, keep_copy=draw() < duplicate_rate)

    def _sync_all(self):
        synced = False
        for member in self.running():
            if member.unsynced and not member.disk_full:
                self.process_ready(member, member.sync(len(member.unsynced)))
                synced = True
        return synced

    def leader(self):
        leaders = [each for each in self.running() if each.node.is_leader]
        return max(leaders, key=lambda each: each.node.term, default=None)

    def has_live_quorum(self):
        """Whether a majority of the newest membership still has its disk."""
        nodes = [each.node for each in self.running()]
        nodes = [node for node in nodes if not node.removed]
        nodes.sort(key=lambda node: (node.last_term, node.last_index))
        alive = set(self.members)
        return bool(nodes) and nodes[-1].membership.has_quorum(alive)

    def check(self):
        """Check that the stored logs of all members agree."""
        holders = {}
        for member in self.members.values():
            loaded = member.store.load()
            for entry in loaded.entries:
                key = (entry.index, entry.term)
                known = holders.setdefault(key, entry)
                assert known == entry, "logs differ at the same index and term"

    def _add(self, member_id, store):
        member = Member(
            member_id, store, self.random.randrange(1000), self.paced_reads
        )
        self.members[member_id] = member
        return member
