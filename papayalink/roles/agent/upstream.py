"""What an agent knows of its engine: weights, health, measured rates."""

from gevent import queue
import msgspec

from papayalink import logs
from papayalink import tasks
from papayalink import timers
from papayalink.adapters import engine as engines
from papayalink.adapters import errors as adapter_errors

CHECK_PERIOD_S = 0.5
# One lost check is common during a swap of weights; two in a row are not.
_MAX_FAILED_CHECKS = 2
_RATE_SMOOTHING = 0.2
# Shorter prompts measure the fixed cost of a request instead.
_MIN_PREFILL_TOKENS = 500
INITIAL_PREFILL_RATE = 8_000.0
# Stands for the version while weights are swapped; reports lag and are not
# believed then.
_SWAPPING = "-"


class _CheckDue(msgspec.Struct):
    """Delivered by the timer service once a period."""


class EngineState:
    """Watches one engine.

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
        """Weights loaded, "" while they are not known or are swapped."""
        return self._weight_version

    @property
    def adapters(self) -> frozenset[str]:
        """Adapters that the engine holds for its present weights."""
        return self._adapters

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens a second, from the engine's own first tokens."""
        return self._prefill_rate

    def start(self) -> None:
        tasks.spawn(self._run)

    def begin_swap(self) -> None:
        """No weight version is served until end_swap()."""
        self._weight_version = ""
        self._ordered_version = _SWAPPING
        self._adapters = frozenset()

    def end_swap(self, weight_version: str) -> None:
        """Serve a version again.

        Args:
            weight_version: what the engine holds now, "" if unknown; then
                its next report counts.
        """
        self._weight_version = weight_version
        self._ordered_version = weight_version

    def note_adapter(self, adapter: str) -> None:
        """The engine has loaded an adapter."""
        self._adapters |= {adapter}

    def observe_prefill(self, tokens: int, seconds: float) -> None:
        """Record the prefill of a streamed request that did not wait.

        Args:
            tokens: prompt tokens computed.
            seconds: from dispatch to the first token.
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
                # A restarted engine may hold other weights.
                self._weight_version = self._ordered_version = ""
                self._adapters = frozenset()
            return
        self._failed_checks = 0
        self._load = load
        if not self._ordered_version:
            # Reports lag, so they only count until the first own order.
            self._weight_version = load.weight_version
        # A list from before a swap of weights says nothing about them.
        if models[0].weight_version == self._weight_version:
            self._adapters = frozenset(one.name for one in models[1:])
        if not was_up:
            self._log.info("engine_up", weight_version=load.weight_version)


def make_engine_state(
    engine: engines.Engine, timer_service: timers.TimerService
) -> EngineState:
    return EngineState(engine, timer_service)
