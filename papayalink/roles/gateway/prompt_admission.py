"""Admission of one prompt, by what its wait at a replica is expected to be."""

from collections.abc import Callable
from collections.abc import Collection
import time

from papayalink.coordination import replica_choice
from papayalink.coordination import shedding
from papayalink.roles.gateway import shared as shared_parts


class PromptAdmission:
    """Decides whether a prompt is sent to a replica or refused.

    Args:
        objective_s: latency objective of its route.
        urgent_objective_s: tightest objective of more urgent prompts of the
            service, None when there are none.
        remaining_s: returns the seconds left until the call's deadline.
    """

    __slots__ = (
        "_shared",
        "_service",
        "_objective_s",
        "_urgent_objective_s",
        "_remaining_s",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        service: str,
        objective_s: float,
        urgent_objective_s: float | None,
        remaining_s: Callable[[], float],
    ) -> None:
        self._shared = shared
        self._service = service
        self._objective_s = objective_s
        self._urgent_objective_s = urgent_objective_s
        self._remaining_s = remaining_s

    def admit(
        self,
        choice: replica_choice.Choice,
        request: replica_choice.SelectionRequest,
        tried: Collection[str],
    ) -> replica_choice.Choice | shedding.Shed:
        """Admit the prompt where its expected wait is short enough.

        Args:
            choice: the best of the replicas that were sampled.
            tried: replicas that the prompt is not sent to again.
        Returns: the choice, or a better one, or why the prompt is refused.
        """
        decision = self._decide_on(choice)
        if isinstance(decision, shedding.Admit):
            return choice
        other = self._shared.fleet.choose_admitting(
            request,
            tried,
            time.monotonic(),
            lambda each: isinstance(self._decide_on(each), shedding.Admit),
        )
        if other is not None:
            return other
        self._overload_timer().note_shed(time.monotonic())
        return decision

    def _decide_on(
        self, choice: replica_choice.Choice
    ) -> shedding.Admit | shedding.Shed:
        prompt = shedding.Prompt(
            wait_s=choice.wait_s,
            own_s=choice.own_s,
            objective_s=self._objective_s,
            left_s=self._remaining_s(),
            urgent_objective_s=self._urgent_objective_s,
        )
        overload_s = self._overload_timer().age_s(time.monotonic())
        chance = self._shared.rng.random()
        return shedding.decide(prompt, chance, overload_s)

    def _overload_timer(self) -> shedding.OverloadTimer:
        return self._shared.overloads.setdefault(
            self._service, shedding.make_overload_timer()
        )


def make_prompt_admission(
    shared: shared_parts.Shared,
    service: str,
    objective_s: float,
    urgent_objective_s: float | None,
    remaining_s: Callable[[], float],
) -> PromptAdmission:
    return PromptAdmission(
        shared, service, objective_s, urgent_objective_s, remaining_s
    )
