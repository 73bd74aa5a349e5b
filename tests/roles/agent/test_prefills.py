"""Tests of prefills whose end is observed or estimated."""

import types

import gevent
from gevent import event
import msgspec
import pytest

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.adapters import errors
from papayalink.coordination import dispatch
from papayalink.coordination import queueing
from papayalink.coordination import work_queue
from papayalink.protocol import relay
from papayalink.roles.agent import engine_work
from papayalink.roles.agent import prefills
from papayalink.roles.agent import relaying

RANK = work_queue.Rank("urgent", 1.6)
REQUEST = relay.RelayRequest(
    "a", "r", "w", "urgent", 1, "m", "v", "/", b"{}", 9.0, 2100, 2000
)


class _State:
    """Engine state with a fixed rate; records the observed prefills."""

    def __init__(self):
        self.prefill_rate = 1000.0
        self.observed = []

    def observe_prefill(self, tokens, seconds):
        self.observed.append((tokens, seconds))


class _Engine:
    """Completes once `answered` is set; streams with delays of 2 s."""

    def __init__(self, clock):
        self._clock = clock
        self.answered = event.Event()
        self.rejects = False

    def complete(self, path, body, request_id):
        self.answered.wait()
        return types.SimpleNamespace(status=200, body=b"text")

    def stream(self, path, body, request_id):
        if self.rejects:
            raise errors.Rejected(400, b"no")
        self._clock.advance(2.0)
        yield "one"
        self._clock.advance(2.0)
        yield "two"


class _Agent:
    """A relayer without stores."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.state = _State()
        self.metrics = metrics_module.make_metrics()
        self.engine = _Engine(self.clock)
        queue = queueing.make_queue([RANK], slots=2)
        self.work = engine_work.make_engine_work(queue, self.state, self.clock)
        self.work.update_ranks([RANK])
        self.relayer = relaying.make_relayer(
            self.engine,
            self.state,
            dispatch.make_dispatcher(queue, self.clock, 2),
            types.SimpleNamespace(
                refuse=lambda request: "", has_workspace=lambda request: True
            ),
            self.work,
            types.SimpleNamespace(locate=lambda request: None),
            self.clock,
            self.metrics,
        )

    def run(self, stream):
        request = msgspec.structs.replace(REQUEST, stream=stream)
        return list(self.relayer.answer(request, 0))

    @property
    def waiting_tokens(self):
        return self.work.report()["waiting_tokens"]


def test_prefill_of_a_whole_answer_ends_by_the_measured_rate():
    """Guards against a prompt that counts as waiting until its answer ends.

    It also guards against a swap of weights that waits for the whole answer.
    """
    agent = _Agent()
    task = gevent.spawn(agent.run, False)
    gevent.sleep(0)
    assert (agent.waiting_tokens, agent.relayer.starting) == ((2000,), 1)
    agent.clock.advance(1.9)
    assert (agent.waiting_tokens, agent.relayer.starting) == ((2000,), 0)
    for _ in range(2):
        agent.clock.advance(0.2)
        assert agent.waiting_tokens == (0,)
        agent.engine.answered.set()
        task.join()


@pytest.mark.parametrize(
    "stream, observed, first_tokens",
    [(True, [(2000, 2.0)], 1), (False, [], 0)],
)
def test_only_streamed_answers_are_measured(stream, observed, first_tokens):
    """Guards against a prefill rate that includes decoding time."""
    agent = _Agent()
    agent.engine.answered.set()
    agent.run(stream)
    assert agent.state.observed == observed
    text = agent.metrics.render()
    assert text.count("engine_first_token_seconds_count") == first_tokens
    assert agent.metrics.value("requests_served", rank="urgent") == 1


def test_rejected_request_is_not_measured():
    """Guards against a rate measured on a request that was not computed."""
    agent = _Agent()
    agent.engine.rejects = True
    agent.run(True)
    assert agent.state.observed == []


def test_estimates_follow_the_prompts_ahead():
    """Guards against estimates that ignore other prompts at the engine."""
    clock = clocks.ManualClock()
    running = prefills.make_prefills(_State(), clock)
    streamed, whole = running.begin(500), running.begin(1000)
    running.estimate(whole)
    assert whole.ends_at == 1.5
    clock.advance(1.6)
    assert (running.tokens, running.count) == (500, 1)
    for _ in range(2):
        running.finish(streamed)
    assert running.starting == running.tokens == 0
