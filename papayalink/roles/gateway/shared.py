"""Components that all calls of a gateway share."""

import random

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import cache_placement
from papayalink.coordination import fleet as fleets
from papayalink.coordination import run_times
from papayalink.coordination import shedding
from papayalink.protocol import calls
from papayalink.roles.gateway import budgets
from papayalink.roles.gateway import crashes as crash_observers
from papayalink.roles.gateway import departures
from papayalink.roles.gateway import limits as limit_keepers
from papayalink.roles.gateway import liveness as livenesses
from papayalink.roles.gateway import stopping as stoppings
from papayalink.roles.gateway import take_ups
from papayalink.roles.gateway import watching
from papayalink.transport import upstream_channels


class Shared:
    """Components that all calls of a gateway share.

    Attributes:
        dialect: decodes and encodes calls and answers.
        watcher: holds routes, keys and weights.
        fleet: replicas to choose from.
        channels: connections to replicas.
        budgets: retry budgets by service.
        placement: chooses stores for the parts of prompts.
        liveness: checks whether silent replicas can be reached.
        crashes: relates the ends of replicas to prompts.
        limits: this entry's share of the limits that replicas name.
        departures: replicas that say that they leave.
        take_ups: finds the software versions at which streams go on.
        overloads: how long prompts have been refused, by service.
        run_times: times that recent calls took.
        stopping: the planned stop of the gateway.
    """

    __slots__ = (
        "dialect",
        "watcher",
        "fleet",
        "channels",
        "budgets",
        "placement",
        "liveness",
        "crashes",
        "limits",
        "departures",
        "take_ups",
        "overloads",
        "run_times",
        "stopping",
        "metrics",
        "rng",
        "log",
    )

    def __init__(
        self,
        dialect: calls.Dialect,
        watcher: watching.Watcher,
        fleet: fleets.Fleet,
        channels: upstream_channels.Channels,
        retry_budgets: budgets.Budgets,
        placement: cache_placement.CachePlacement,
        liveness: livenesses.Liveness,
        crashes: crash_observers.CrashObserver,
        limits: limit_keepers.LimitKeeper,
        departing: departures.Departures,
        take_up_finder: take_ups.TakeUps,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.dialect = dialect
        self.watcher = watcher
        self.fleet = fleet
        self.channels = channels
        self.budgets = retry_budgets
        self.placement = placement
        self.liveness = liveness
        self.crashes = crashes
        self.limits = limits
        self.departures = departing
        self.take_ups = take_up_finder
        self.overloads: dict[str, shedding.OverloadTimer] = {}
        self.run_times = run_times.make_run_times()
        self.stopping = stoppings.make_stopping(self.run_times)
        self.metrics = metrics
        self.rng = random.Random()
        self.log = logs.get_call_log()


def make_shared(
    dialect: calls.Dialect,
    watcher: watching.Watcher,
    fleet: fleets.Fleet,
    channels: upstream_channels.Channels,
    retry_budgets: budgets.Budgets,
    placement: cache_placement.CachePlacement,
    liveness: livenesses.Liveness,
    crashes: crash_observers.CrashObserver,
    limits: limit_keepers.LimitKeeper,
    departing: departures.Departures,
    take_up_finder: take_ups.TakeUps,
    metrics: metrics_module.Metrics,
) -> Shared:
    return Shared(
        dialect,
        watcher,
        fleet,
        channels,
        retry_budgets,
        placement,
        liveness,
        crashes,
        limits,
        departing,
        take_up_finder,
        metrics,
    )
