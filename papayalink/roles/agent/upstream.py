"""An agent's view of its engine: weights, health, measured rates."""

from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink import timers
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors

CHECK_PERIOD_S = 0.5
# One failed check is common during a swap of weights; two in a row are not.
_MAX_FAILED_CHECKS = 2
_RATE_SMOOTHING = 0.2
# With shorter prompts the fixed cost of a request dominates the measurement.
_MIN_PREFILL_TOKENS = 500
INITIAL_PREFILL_RATE = 8_000.0
# Takes the place of the ordered version during a swap of weights, so that the
# engine's reports, which lag behind, are ignored.
_SWAPPING = "-"


class _CheckDue(msgspec.Struct):
    """Sent by the timer service once per period."""


class EngineState:
    """Monitors one engine.

    Args:
        engine: adapter of the engine.
        timer_service: delivers the check ticks.
    """

    __slots__ = (
        "_engine",
        "_inbox",
        "_failed_checks",
        "_weight_version",
        "_ordered_version",
        "_prefill_rate",
        "_load",
        "_adapters",
        "_log",
    )

    def __init__(
        self, engine: engines.Engine, timer_service: timers.TimerService
    ) -> None:
        self._engine = engine
        self._inbox = queue.Queue()
        self._failed_checks = _MAX_FAILED_CHECKS
        self._weight_version = ""
        self._ordered_version = ""
        self._prefill_rate = INITIAL_PREFILL_RATE
        self._load: engines.Load | None = None
        self._adapters: frozenset[str] = frozenset()
        self._log = logs.get_logger()
        timer_service.every(CHECK_PERIOD_S, self._inbox, _CheckDue())

    @property
    def up(self) -> bool:
        return self._failed_checks < _MAX_FAILED_CHECKS

    @property
    def weight_version(self) -> str:
        """Loaded weight version, "" while it is unknown or being swapped."""
        return self._weight_version

    @property
    def adapters(self) -> frozenset[str]:
        """Adapters loaded in the engine for its current weights."""
        return self._adapters

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens per second, measured by the time to first tokens."""
        return self._prefill_rate

    def start(self) -> None:
        tasks.spawn(self._run)

    def begin_swap(self) -> None:
        """Serve no weight version until end_swap()."""
        self._weight_version = ""
        self._ordered_version = _SWAPPING
        self._adapters = frozenset()

    def end_swap(self, weight_version: str) -> None:
        """Serve a version again.

        Args:
            weight_version: version that the engine has loaded. If "" (not
                known), the next report of the engine decides.
        """
        self._weight_version = weight_version
        self._ordered_version = weight_version

    def add_adapter(self, adapter: str) -> None:
        """Record that the engine has loaded an adapter."""
        self._adapters |= {adapter}

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Update the prefill rate from a streamed request that did not wait.

        Args:
            tokens: number of prompt tokens computed.
            seconds: time from dispatch to the first token.
        """
        if seconds <= 0 or tokens < _MIN_PREFILL_TOKENS:
            return
        self._prefill_rate += _RATE_SMOOTHING * (
            tokens / seconds - self._prefill_rate
        )

    def dump(self) -> dict:
        return {
            "up": self.up,
            "weight_version": self._weight_version,
            "adapters": sorted(self._adapters),
            "prefill_rate": self._prefill_rate,
            "load": self._load,
        }

    def _run(self) -> None:
        while True:
            self._check()
            self._inbox.get()

    def _check(self) -> None:
        was_up = self.up
        try:
            load = self._engine.load()
            models = self._engine.models()
        except adapter_errors.AdapterError as error:
            self._failed_checks += 1
            if was_up and not self.up:
                self._log.warning("engine_down", reason=error)
                # After a restart the engine may have other weights.
                self._weight_version = self._ordered_version = ""
                self._adapters = frozenset()
            return
        self._failed_checks = 0
        self._load = load
        if not self._ordered_version:
            # Reports lag behind, so they are used only until this agent has
            # sent an order to load weights.
            self._weight_version = load.weight_version
        # A list from before a swap of weights does not apply after it.
        if models[0].weight_version == self._weight_version:
            self._adapters = frozenset(model.name for model in models[1:])
        if not was_up:
            self._log.info("engine_up", weight_version=load.weight_version)


def make_engine_state(
    engine: engines.Engine, timer_service: timers.TimerService
) -> EngineState:
    return EngineState(engine, timer_service)
