"""Sound replicas that fall silent for a moment and go on."""

import random
import time

import gevent
from gevent import event

from soak import checks
from soak import records
from soak.platform import standins

# Times for which a sound replica may be silent, and between two of these.
SILENT_S = (0.6, 1.9)
SILENT_INTERVAL_S = (1.0, 2.5)
# Share of the silences of half of the replicas, where these occur.
HALF_SHARE = 1 / 3
# Times for which half of the replicas stand still beside rolls, each
# HALF_PERIOD_S.
HALF_SILENT_S = (1.0, 1.6)
HALF_PERIOD_S = 3.0


class Silences:
    """Lets replicas send and take nothing for a moment.

    Args:
        disturbed: names of what is disturbed, which is updated.
    """

    def __init__(
        self,
        platform: standins.Platform,
        history: records.History,
        rng: random.Random,
        disturbed: set[str],
    ) -> None:
        self._platform = platform
        self._history = history
        self._rng = rng
        self._disturbed = disturbed

    def run(self, until: float, halves: bool) -> None:
        """Silence one replica, or all at once, again and again.

        Args:
            halves: whether half of them fall silent as well.
        """
        replicas = self._platform.replicas
        while time.monotonic() < until:
            if halves and self._rng.random() < HALF_SHARE:
                half = self._rng.sample(replicas, len(replicas) // 2)
                self.silence(half, or_one=False)
            else:
                self.silence(replicas)
            gevent.sleep(self._rng.uniform(*SILENT_INTERVAL_S))

    def run_halves(self, ended: event.Event) -> None:
        """Let half of the replicas stand still in each period until a stop."""
        replicas = self._platform.replicas
        while not ended.is_set():
            began_at = time.monotonic()
            half = self._rng.sample(replicas, len(replicas) // 2)
            for replica in half:
                replica.going.clear()
            self.silence(half, False, self._rng.uniform(*HALF_SILENT_S))
            for replica in half:
                replica.going.set()
            ended.wait(began_at + HALF_PERIOD_S - time.monotonic())

    def silence(
        self,
        replicas: list[standins.Replica],
        or_one: bool = True,
        duration_s: float = 0.0,
    ) -> None:
        """Silence all of these replicas that are not disturbed otherwise.

        Args:
            or_one: whether one of them may fall silent alone.
            duration_s: how long; 0 for a drawn time.
        """
        links = {
            each.replica_id: self._platform.proxies[each.replica_id]
            for each in replicas
            if each.replica_id in self._platform.proxies
            and each.replica_id not in self._disturbed
            and not each.leaving
        }
        duration_s = duration_s or self._rng.uniform(*SILENT_S)
        takes_connections = self._rng.random() < 0.5
        if or_one and links and self._rng.random() < 0.5:
            one = self._rng.choice(sorted(links))
            links = {one: links[one]}
        self._disturbed.update(links)
        silences = []
        for replica_id, link in links.items():
            silences.append(
                self._history.begin(checks.SILENT_KIND, replica_id)
            )
            link.pause(takes_connections)
        gevent.sleep(duration_s)
        for link in links.values():
            link.go_on()
        for each in silences:
            each.ended_at = time.monotonic()
        self._disturbed.difference_update(links)


def make_silences(
    platform: standins.Platform,
    history: records.History,
    rng: random.Random,
    disturbed: set[str],
) -> Silences:
    return Silences(platform, history, rng, disturbed)
