"""Randomized faults in a simulated Raft group."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from papayalink.coordination.raft import inputs
from papayalink.coordination.raft import membership as memberships
from tests.coordination.raft import simulation

_CHOICES = strategies.integers(0, 1000)
_RATES = strategies.sampled_from([0.0, 0.0, 0.05, 0.3])


class Group(stateful.RuleBasedStateMachine):
    """Guards against lost or changed entries, two leaders and stale reads."""

    @stateful.initialize(
        count=strategies.integers(3, 5), seed=strategies.integers(0, 10**6)
    )
    def start(self, count, seed):
        self.group = simulation.Simulation(count, seed)
        # Most faults have an effect only once there is a leader.
        self.group.run_without_faults(30)

    def _pick(self, number, candidates=None):
        found = self.group.running() if candidates is None else candidates
        return found[number % len(found)] if found else None

    @stateful.rule(
        rounds=strategies.integers(5, 40),
        loss_rate=_RATES,
        duplicate_rate=_RATES,
        reorder_rate=_RATES,
    )
    def run(self, rounds, loss_rate, duplicate_rate, reorder_rate):
        self.group.run(rounds, loss_rate, duplicate_rate, reorder_rate)

    @stateful.rule(number=_CHOICES, count=strategies.integers(5, 25))
    def tick_one(self, number, count):
        member = self._pick(number)
        for _ in range(count if member else 0):
            self.group.step(member, inputs.Tick())

    @stateful.rule(number=_CHOICES)
    def isolate(self, number):
        ids = sorted(self.group.members)
        alone = ids[number % len(ids)]
        self.group.cut_links.update(frozenset((alone, each)) for each in ids)

    @stateful.rule()
    def heal(self):
        self.group.cut_links.clear()

    @stateful.rule(number=_CHOICES)
    def kill(self, number):
        member = self._pick(number)
        if member:
            self.group.kill(member)

    @stateful.rule()
    def restart(self):
        for member in self.group.members.values():
            member.frozen = False
            if member.node is None:
                member.start()

    @stateful.rule(rounds=strategies.integers(5, 40))
    def depose_leader(self, rounds):
        """Depose a leader that has appended entries it cannot replicate."""
        leader = self.group.leader()
        if leader:
            self.isolate(sorted(self.group.members).index(leader.member_id))
            for _ in range(3):
                self.group.propose(leader)
            self.group.run(rounds, 0.0, 0.0, 0.0)

    @stateful.rule(number=_CHOICES)
    def freeze_or_thaw(self, number):
        every = self.group.members.values()
        member = self._pick(number, [m for m in every if m.node is not None])
        if member:
            member.frozen = not member.frozen

    @stateful.rule(number=_CHOICES)
    def fill_or_free_disk(self, number):
        member = self._pick(number)
        if member:
            self.group.set_disk_full(member, not member.disk_full)

    @stateful.rule(number=_CHOICES)
    def lose_disk(self, number):
        self.group.replace(
            self._pick(number, list(self.group.members.values()))
        )
        self.group.run(30, 0.0, 0.0, 0.0)

    @stateful.rule(number=_CHOICES)
    def remove_member(self, number):
        leader = self.group.leader()
        if leader and len(leader.node.membership.voters) > 2:
            ids = leader.node.membership.ids
            change = memberships.RemoveMember(ids[number % len(ids)])
            self.group.change(leader, change)

    @stateful.invariant()
    def logs_agree(self):
        self.group.check()

    def teardown(self):
        if hasattr(self, "group"):
            self.recover()

    def recover(self):
        """The group must make progress again once all faults are gone."""
        group = self.group
        group.cut_links.clear()
        for member in group.members.values():
            member.frozen = False
            if member.node is None:
                member.start()
            if member.disk_full:
                group.set_disk_full(member, False)
        group.run_without_faults(200)
        leader = group.leader()
        if leader is None:
            # The loss of a quorum of disks is permanent and leaves no leader.
            assert not group.has_live_quorum(), "no leader after the faults"
            return
        # Replace the members whose disks were lost; each needs three changes.
        for _ in range(3 * group.next_id):
            group.replace_lost_member()
            group.run_without_faults(4)
        leader = group.leader()
        assert leader.node.membership.voters == leader.node.membership.ids
        group.propose(leader)
        reads = group.finished_reads
        for member in group.running():
            group.read(member)
        group.run_without_faults(20)
        last = max(group.committed)
        assert group.committed[last].data == b"c%d" % group.commands
        for member_id in leader.node.membership.ids:
            member = group.members.get(member_id)
            if member is not None:
                reads += 1
                assert member.applied == last, "a member did not catch up"
        assert group.finished_reads >= reads, "a read was not answered"


TestGroup = Group.TestCase
TestGroup.settings = hypothesis.settings(
    max_examples=250,
    stateful_step_count=40,
    # Shrinking a failure takes minutes, since each run is long.
    phases=[hypothesis.Phase.generate],
)
