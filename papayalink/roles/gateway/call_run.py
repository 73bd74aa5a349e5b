"""One caller's call, sent to replicas until it is answered."""

import time

import gevent
import msgspec

from papayalink.coordination import attempts
from papayalink.coordination import call_keys
from papayalink.coordination import fleet_member
from papayalink.coordination import replica_choice
from papayalink.coordination import shedding
from papayalink.protocol import calls
from papayalink.roles.gateway import attempt
from papayalink.roles.gateway import attempt_time
from papayalink.roles.gateway import call_ending
from papayalink.roles.gateway import call_record
from papayalink.roles.gateway import crash_guard
from papayalink.roles.gateway import observations
from papayalink.roles.gateway import paused_attempts
from papayalink.roles.gateway import record_faults
from papayalink.roles.gateway import repeat_charges
from papayalink.roles.gateway import replica_wait
from papayalink.roles.gateway import run_notes
from papayalink.roles.gateway import shared as shared_parts
from papayalink.roles.gateway import silence
from papayalink.roles.gateway import silent_replicas
from papayalink.roles.gateway import take_ups
from papayalink.state import traffic
from papayalink.transport import errors
from papayalink.transport import responders
from papayalink.transport import upstream_channels

# An attempt needs at least this long: a round trip and a short run.
MIN_ATTEMPT_S = 0.02
# Refusals after which a call returns to a replica that it has left.
MAX_REFUSALS_BEFORE_RETURN = 3


class CallRun:
    """Sends one call to replicas and answers its caller."""

    __slots__ = (
        "_shared",
        "_call",
        "_route",
        "_workspace",
        "_directory",
        "_responder",
        "_deadline",
        "_attempts",
        "_stream",
        "_version",
        "_service",
        "_record",
        "_ending",
        "_urgency",
        "_selection_request",
        "_replica_wait",
        "_silence",
        "_silent_replicas",
        "_charges",
        "_attempt_time",
        "_keys",
        "_observations",
        "_run_notes",
        "_crash_guard",
        "_returns",
        "_paused",
    )

    def __init__(
        self,
        shared: shared_parts.Shared,
        call: calls.Call,
        route: traffic.Route,
        workspace: traffic.Workspace | None,
        directory: traffic.TrafficDirectory,
        responder: responders.Responder,
        received_at: float,
        version: take_ups.Version,
    ) -> None:
        self._shared = shared
        self._call = call
        self._route = route
        self._workspace = workspace
        self._directory = directory
        self._responder = responder
        allowed_s = route.timeout_s
        if call.budget_ms:
            allowed_s = min(allowed_s, call.budget_ms / 1000)
        self._deadline = received_at + allowed_s
        self._attempts = attempts.make_attempts(
            route.repeat, route.max_attempts
        )
        self._stream = attempt.StreamState() if route.stream else None
        if self._stream is not None and call.last_event_id.isdigit():
            self._stream.last_event_id = int(call.last_event_id)
        self._version = version
        self._service = self._pick_service()
        self._keys = call_keys.make_call_keys(
            call, workspace.name if workspace is not None else call.key
        )
        self._record = call_record.make_call_record(
            shared, call, self._keys, route, workspace, received_at
        )
        self._ending = call_ending.make_call_ending(
            shared,
            call,
            responder,
            self._service,
            self._deadline,
            self._attempts,
            self._stream,
            self._record,
        )
        self._charges = repeat_charges.make_repeat_charges(
            shared.fleet, shared.budgets, self._service
        )
        self._silent_replicas = silent_replicas.make_silent_replicas(
            shared, route, self._record
        )
        self._attempt_time = attempt_time.make_attempt_time(
            shared,
            call,
            route,
            self._attempts,
            self._charges,
            self._record,
            self._silent_replicas,
        )
        self._silence = silence.make_silence_check(
            shared,
            route,
            self._keys,
            self._attempts,
            self._charges,
            self._stream,
            self._record,
            self._silent_replicas,
            self._remaining_s,
        )
        self._crash_guard = crash_guard.make_crash_guard(
            shared.crashes, self._keys
        )
        # Whether the call goes back to the silent replicas that it has left.
        self._returns = False
        self._paused = paused_attempts.make_paused_attempts()
        self._replica_wait = replica_wait.make_replica_wait(
            shared.fleet, received_at, route.objective_s, self._deadline
        )
        self._urgency = directory.urgency(route, workspace)
        service = directory.service(self._service)
        self._observations = observations.make_observations(
            shared, call, self._keys, service and service.engine
        )
        self._run_notes = run_notes.make_run_notes(
            shared.run_times, call, route
        )
        self._selection_request = replica_choice.make_selection_request(
            call,
            self._service,
            self._urgency,
            workspace,
            service and service.engine,
            self._urgent_objective_s() is not None,
        )
        if (
            isinstance(version, take_ups.OnlyVersion)
            and version.service == self._service
        ):
            self._require_software(version.software)
        if route.repeat is traffic.RepeatPolicy.RESUMABLE:
            self._selection_request = msgspec.structs.replace(
                self._selection_request,
                settled=shared.take_ups.settled_versions(self._service),
            )

    def run(self) -> None:
        """Send the call until it is answered, refused or given up."""
        self._charges.note_request()
        if isinstance(self._version, take_ups.UnknownVersion):
            self._ending.without_replica("version of the stream is not known")
            return
        try:
            while self._try_once():
                pass
        except errors.CallerGone:
            self._ending.record("caller_gone", 0, "caller hung up")
            raise
        except errors.ServerStops:
            self._ending.at_stop()
        finally:
            self._paused.abandon()
            self._charges.close()
            self._ending.close()

    def _try_once(self) -> bool:
        """Returns: whether to try again."""
        if self._remaining_s() < MIN_ATTEMPT_S:
            expired = attempt.Unanswered(attempts.Expired())
            return self._handle_unanswered(expired)
        if self._paused.note_arrived():
            return self._go_on()
        if blocked := self._crash_guard.check():
            return self._without_replica(blocked.reason, blocked.retry_after_s)
        self._shared.limits.note_call(self._service)
        choice = self._choose()
        if self._ends_too_late(choice):
            return False
        if choice is None and (self._wait_for_replica() or self._return()):
            return True
        if choice is None:
            return self._without_replica("no usable replica")
        if self._shed(choice):
            return False
        member = choice.member
        self._record.note_choice(member, choice.wait_s)
        return self._handle_result(self._send(member))

    def _handle_result(
        self, result: attempt.Answered | attempt.Unanswered | None
    ) -> bool:
        """Returns: whether to try again."""
        match result:
            case None:
                return True
            case attempt.Answered(status, first_s):
                self._record.first_s = first_s
                self._ending.record("answered", status, "")
                return False
            case attempt.Unanswered():
                return self._handle_unanswered(result)

    def _choose(self) -> replica_choice.Choice | None:
        if not self._returns:
            return self._silent_replicas.choose(
                self._selection_request,
                self._attempts.sent,
                self._silence.left,
            )
        choice = None
        for excluded in (self._find_others(), self._find_excluded()):
            choice = choice or self._shared.fleet.choose(
                self._selection_request, excluded, time.monotonic()
            )
        return choice

    def _ends_too_late(self, choice: replica_choice.Choice | None) -> bool:
        """Refuse a call that would outlast the planned stop of the process.

        Returns: whether it was refused.
        """
        if self._attempts.may_have_run:
            return False
        if self._shared.stopping.may_end(
            self._route,
            self._call.output_tokens,
            choice.wait_s if choice is not None else 0.0,
            self._remaining_s(),
        ):
            return False
        self._ending.refuse(
            call_ending.STOPPING_RETRY_AFTER_S, "stopping: may not end in time"
        )
        return True

    def _shed(self, choice: replica_choice.Choice) -> bool:
        """Refuse a prompt if its expected wait is too long.

        Returns: whether it was refused.
        """
        if not self._call.model or self._attempts.sent:
            return False
        prompt = shedding.Prompt(
            wait_s=choice.wait_s,
            own_s=choice.own_s,
            objective_s=self._route.objective_s,
            left_s=self._remaining_s(),
            urgent_objective_s=self._urgent_objective_s(),
        )
        now = time.monotonic()
        timer = self._shared.overloads.setdefault(
            self._service, shedding.make_overload_timer()
        )
        chance = self._shared.rng.random()
        match shedding.decide(prompt, chance, timer.age_s(now)):
            case shedding.Shed(retry_after_s):
                timer.note_shed(now)
                self._ending.refuse(
                    retry_after_s,
                    f"overloaded: first token in {choice.wait_s:.2f} s",
                )
                return True
        return False

    def _send(
        self, member: fleet_member.Member
    ) -> attempt.Answered | attempt.Unanswered | None:
        """Returns: the result, None if the choice has become outdated."""
        now = time.monotonic()
        permit = member.take_permit(now)
        queued_tokens, own_tokens = 0, 0.0
        if self._call.model:
            fleet = self._shared.fleet
            queued_tokens, own_tokens = fleet.expected_tokens(
                member, self._selection_request, now
            )
        # Emptied once the head of the answer ends the prefill.
        prefill_tokens: list[int] = []

        def note_answer(answer: calls.Answer) -> None:
            self._charges.note_read()
            if prefill_tokens:
                member.end_prefill(self._urgency, prefill_tokens.pop())
            if _takes_call(answer, self._stream):
                self._paused.abandon()
            self._note_begun(member, answer)
            with record_faults.logged(self._call.call_id):
                self._observations.note_head(member, answer, now)
                if answer.has_server_stamp and self._call.model:
                    self._shared.fleet.note_first_token(
                        queued_tokens + int(own_tokens),
                        time.monotonic() - now,
                    )

        sending_attempt = attempt.make_attempt(
            self._shared.dialect,
            self._shared.channels,
            self._call,
            member,
            self._responder,
            self._remaining_s,
            note_answer,
            lambda silent_s: self._check_silence(member, silent_s),
        )
        had_time = self._remaining_s() >= upstream_channels.CONNECT_TIMEOUT_S
        memory_tokens = self._selection_request.memory_tokens
        # Calls that are chosen for meanwhile find it at the replica.
        member.begin_call(self._urgency, memory_tokens)
        member.begin_prefill(self._urgency, int(own_tokens))
        try:
            connected = sending_attempt.connect()
        finally:
            # It is no load to itself in the check of the choice.
            member.end_prefill(self._urgency, int(own_tokens))
            member.end_call(self._urgency, memory_tokens)
        if not connected:
            self._note_not_connected(member, had_time)
            not_sent = attempt.Unanswered(attempts.NotSent())
            self._record.log_attempt(member, not_sent)
            # It may be used once it is reached again.
            self._record.withdraw_choice()
            return not_sent
        # Other greenlets ran meanwhile. From here on none does until the call
        # is sent.
        if member.limit_per_s is not None:
            permit = member.renew_permit(permit, time.monotonic())
        if not self._may_send(member, sending_attempt.address, permit):
            self._withdraw(member, sending_attempt, permit)
            return None
        # It need not run twice there.
        self._paused.abandon_at(member)
        dispatch = self._make_dispatch(member)
        self._crash_guard.note_sending()
        self._attempts.note_sending()
        self._charges.note_sending(member)
        self._record.note_sending(dispatch.remaining_ms)
        waiting = member.note_sent(
            time.monotonic(),
            self._silent_replicas.limit_s(),
            self._silent_replicas.usual_limit_s(),
        )
        sent = paused_attempts.Sent(
            member, sending_attempt, dispatch, now, waiting
        )
        member.begin_call(self._urgency, memory_tokens)
        prefill_tokens.append(int(own_tokens))
        member.begin_prefill(self._urgency, int(own_tokens))
        try:
            result = sending_attempt.run(dispatch, self._stream)
        finally:
            member.note_ended(waiting)
            member.end_call(self._urgency, memory_tokens)
            if prefill_tokens:
                member.end_prefill(self._urgency, prefill_tokens.pop())
        self._note_end(sent, result)
        return result

    def _go_on(self) -> bool:
        """Wait on at the replica that the call has left last.

        Returns: whether to try again.
        """
        sent = self._paused.take()
        member = sent.member
        self._record.note_choice(member, self._record.expected_s)
        self._shared.metrics.count("silent_replicas_returned_to")
        memory_tokens = self._selection_request.memory_tokens
        member.begin_call(self._urgency, memory_tokens)
        try:
            result = sent.attempt.go_on(self._stream)
        finally:
            member.end_call(self._urgency, memory_tokens)
        self._note_end(sent, result)
        return self._handle_result(result)

    def _note_end(
        self,
        sent: paused_attempts.Sent,
        result: attempt.Answered | attempt.Unanswered,
    ) -> None:
        """Record that an attempt has ended, or is paused."""
        if sent.attempt.paused:
            self._paused.add(sent)
        match result:
            case attempt.Unanswered(outcome=attempts.Lost()):
                self._crash_guard.note_lost()
                if not self._charges.reserved:
                    # The replica broke off.
                    self._charges.note_read()
            case attempt.Unanswered(outcome=attempts.NotRun()):
                if self._attempts.left:
                    self._record.turned_away.add(
                        sent.member.replica.replica_id
                    )
        with record_faults.logged(self._call.call_id):
            self._note_result(sent, result)

    def _check_silence(
        self, member: fleet_member.Member, silent_s: float
    ) -> None:
        self._paused.abandon_old()
        self._silence.check(member, self._selection_request, silent_s)

    def _note_result(
        self,
        sent: paused_attempts.Sent,
        result: attempt.Answered | attempt.Unanswered,
    ) -> None:
        """Record what the end of an attempt shows."""
        member = sent.member
        match result:
            case attempt.Answered(_, first_s):
                took_s = time.monotonic() - sent.sent_at
                self._run_notes.note_answered(first_s, took_s, sent.waiting)
                fleet = self._shared.fleet
                fleet.note_memory_held(self._selection_request, took_s)
                self._observations.note_answer(
                    member, sent.dispatch.salt, result
                )
            case attempt.Unanswered():
                self._record.log_attempt(member, result)
                if self._run_notes.note_unanswered(
                    member,
                    result,
                    sent.sent_at,
                    sent.dispatch.remaining_ms,
                    sent.waiting,
                    self._charges.reserved,
                ):
                    self._record.stopped_at = member.replica.replica_id
                    self._attempts.note_left(member.replica.replica_id)
                    self._shared.metrics.count("runs_stopped")
                self._observations.note_failure(member, result, sent.sent_at)

    def _note_not_connected(
        self, member: fleet_member.Member, had_time: bool
    ) -> None:
        """Record that a connection failed.

        Args:
            had_time: whether the call left as much time as it may take.
        """
        liveness = self._shared.liveness
        if had_time:
            liveness.note_not_reached(member)
        else:
            gevent.spawn(liveness.is_reachable, member)

    def _may_send(
        self,
        member: fleet_member.Member,
        address: str,
        permit: float | None,
    ) -> bool:
        """Returns: whether the choice of a replica still holds.

        Args:
            address: address that the call has connected to.
            permit: permit for the call, None without one.
        """
        return (
            self._remaining_s() >= MIN_ATTEMPT_S
            and member.replica.address == address
            and (member.limit_per_s is None or permit is not None)
            and self._shared.fleet.is_current(
                member, self._selection_request, time.monotonic()
            )
            and self._crash_guard.still_allows()
        )

    def _withdraw(
        self,
        member: fleet_member.Member,
        unsent: attempt.Attempt,
        permit: float | None,
    ) -> None:
        """Undo the choice of a replica to which nothing was sent."""
        if permit is not None:
            member.return_permit(permit)
        listed = self._shared.fleet.find(member.replica.replica_id) is member
        unsent.withdraw(listed and member.reachable and not member.leaving)
        self._record.withdraw_choice()
        self._shared.metrics.count("choices_withdrawn")

    def _note_begun(
        self, member: fleet_member.Member, answer: calls.Answer
    ) -> None:
        """Let a stream that begins go on at the same version only."""
        passed_on = answer.has_server_stamp and 200 <= answer.status < 300
        if self._stream is None or answer.not_run or not passed_on:
            return
        software = member.replica.software
        self._require_software(software)
        if self._route.repeat is traffic.RepeatPolicy.RESUMABLE:
            self._shared.take_ups.note_begun(
                self._call, self._service, software
            )

    def _require_software(self, software: str) -> None:
        self._selection_request = msgspec.structs.replace(
            self._selection_request, software=software
        )

    def _make_dispatch(self, member: fleet_member.Member) -> calls.Dispatch:
        version = member.weights.get(self._call.model, 0)
        last_event_id = self._call.last_event_id
        if self._stream is not None and self._stream.begun:
            last_event_id = str(self._stream.last_event_id or "")
        given_s = self._attempt_time.for_next(
            member, self._selection_request, self._remaining_s()
        )
        dispatch = calls.Dispatch(
            upstream=member.replica.replica_id,
            workspace=self._workspace.name if self._workspace else "",
            remaining_ms=int(given_s * 1000),
            urgency=self._urgency,
            weight_version=version,
            last_event_id=last_event_id,
        )
        if not self._call.model:
            return dispatch
        salt = replica_choice.make_salt(self._selection_request, version)
        plan = self._shared.placement.plan(
            salt, self._call.parts, member.replica.zone, time.monotonic()
        )
        return msgspec.structs.replace(
            dispatch,
            salt=salt,
            fetch_addresses=plan.fetch_addresses,
            save_addresses=plan.save_addresses,
        )

    def _handle_unanswered(self, result: attempt.Unanswered) -> bool:
        """Handle an attempt without an answer.

        Returns: whether to try again.
        """
        now = time.monotonic()
        outcome = result.outcome
        not_sent = isinstance(outcome, attempts.NotSent)
        decision = self._attempts.decide(outcome, self._charges.has_room())
        if isinstance(decision, attempts.TryAgain):
            self._ending.keep_failure(result)
            if not not_sent:
                self._charges.reserve()
            if isinstance(outcome, attempts.Lost):
                # One that it returned to, and left again, is no better now.
                self._returns = False
            elif self._attempts.turned_away >= MAX_REFUSALS_BEFORE_RETURN:
                self._return()
            return True
        if not_sent and self._finds_replica(now):
            return True
        if self._paused and self._may_go_on(decision, outcome):
            return self._go_on()
        self._ending.unanswered(decision, result)
        return False

    def _may_go_on(
        self, decision: attempts.Decision, outcome: attempts.Outcome
    ) -> bool:
        """Returns: whether a replica that was left may give a better end."""
        if isinstance(outcome, attempts.Expired):
            return False
        begun = self._stream is not None and self._stream.begun
        return begun or not isinstance(decision, attempts.PassOn)

    def _without_replica(
        self, reason: str, retry_after_s: float | None = None
    ) -> bool:
        """Go on where the call was left, or end it.

        Returns: whether to try again.
        """
        if self._paused:
            return self._go_on()
        self._ending.without_replica(reason, retry_after_s)
        return False

    def _finds_replica(self, now: float) -> bool:
        """Returns: whether a replica is usable now, or after a wait."""
        request, excluded = self._selection_request, self._find_excluded()
        if self._shared.fleet.choose(request, excluded, now) is not None:
            return True
        return self._wait_for_replica() or self._return()

    def _wait_for_replica(self) -> bool:
        """Returns: whether a replica may be usable after a wait."""
        return self._replica_wait.wait(
            self._selection_request,
            self._find_excluded(),
            self._attempts.may_have_run,
            bool(self._record.stopped_at),
            self._paused.has_arrived if self._paused else None,
        )

    def _return(self) -> bool:
        """Go back to the replicas that the call has left, or that stopped it.

        They may be sound, and the others don't take it. If none of them can
        be used, it goes on at one that it was not sent to.

        Returns: whether the call begins to do so.
        """
        begins = bool(self._attempts.left) and not self._returns
        self._returns = self._returns or begins
        return begins

    def _find_excluded(self) -> list[str]:
        """Returns: replicas to which the call is not sent."""
        if not self._returns:
            return self._record.excluded
        left = self._attempts.left
        return [each for each in self._record.tried if each not in left]

    def _find_others(self) -> list[str]:
        """Returns: replicas other than those that the call has left."""
        return [
            member.replica.replica_id
            for member in self._shared.fleet.members(self._service)
            if member.replica.replica_id not in self._attempts.left
        ]

    def _urgent_objective_s(self) -> float | None:
        return self._directory.urgent_objective_s(
            self._service, self._route.rank
        )

    def _pick_service(self) -> str:
        targets = self._route.targets
        match self._version:
            case take_ups.OnlyVersion(service) if any(
                target.service == service for target in targets
            ):
                return service
        if len(targets) == 1:
            return targets[0].service
        # As shares, since the weights may exceed any float.
        total = sum(target.weight for target in targets)
        weights = [target.weight / total for target in targets]
        return self._shared.rng.choices(targets, weights)[0].service

    def _remaining_s(self) -> float:
        return self._deadline - time.monotonic()


def _takes_call(
    answer: calls.Answer, stream: attempt.StreamState | None
) -> bool:
    """Returns: whether a replica shows that it serves the call.

    Args:
        stream: state of an event stream. What has begun goes on with the rest
            only, not with another status.
    """
    if not answer.has_server_stamp or answer.not_run:
        return False
    if stream is not None and stream.begun:
        return 200 <= answer.status < 300 and stream.goes_on_with(answer)
    return answer.status < 500


def make_call_run(
    shared: shared_parts.Shared,
    call: calls.Call,
    route: traffic.Route,
    workspace: traffic.Workspace | None,
    directory: traffic.TrafficDirectory,
    responder: responders.Responder,
    received_at: float,
    version: take_ups.Version = take_ups.AnyVersion(),
) -> CallRun:
    return CallRun(
        shared,
        call,
        route,
        workspace,
        directory,
        responder,
        received_at,
        version,
    )
