"""Sends no more calls to replicas that say that they leave."""

import time

from papayalink import logs
from papayalink.coordination import fleet as fleets
from papayalink.coordination import fleet_member
from papayalink.coordination import leaving_replicas
from papayalink.protocol import calls
from papayalink.transport import upstream_channels


class Departures:
    """Applies what replicas say to this entry and the others.

    A replica says so before the platform's list shows it.

    Args:
        leaving: shared with the other entries.
    """

    __slots__ = ("_leaving", "_fleet", "_channels", "_log")

    def __init__(
        self,
        leaving: leaving_replicas.LeavingReplicas,
        fleet: fleets.Fleet,
        channels: upstream_channels.Channels,
    ) -> None:
        self._leaving = leaving
        self._fleet = fleet
        self._channels = channels
        self._log = logs.get_logger()

    def note_answer(
        self, member: fleet_member.Member, answer: calls.Answer
    ) -> None:
        """Record what the head of an answer says of its replica."""
        if answer.leaving:
            self._leaving.note(
                member.replica.replica_id, time.monotonic(), member.born_ms
            )
            self._apply_to(member)

    def apply(self) -> None:
        """Apply what is known to the replicas that are listed."""
        members = {
            member.replica.replica_id: member
            for member in self._fleet.all_members()
        }
        self._leaving.note_listed(members, time.monotonic())
        for member in members.values():
            self._apply_to(member)

    def _apply_to(self, member: fleet_member.Member) -> None:
        leaving = self._leaving.is_leaving(
            member.replica.replica_id, member.replica.born_ms
        )
        if leaving and not member.leaving:
            self._log.info(
                "replica_says_it_leaves",
                replica=member.replica.replica_id,
                service=member.replica.service,
                address=member.replica.address,
            )
            self._channels.close_idle(member.replica.address)
        member.leaving = leaving


def make_departures(
    leaving: leaving_replicas.LeavingReplicas,
    fleet: fleets.Fleet,
    channels: upstream_channels.Channels,
) -> Departures:
    return Departures(leaving, fleet, channels)
