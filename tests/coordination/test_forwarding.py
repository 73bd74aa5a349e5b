"""Tests of forwarding a request to several agents."""

import types

import pytest

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import forwarding
from papayalink.coordination import selection
from papayalink.protocol import frames
from papayalink.protocol import relay
from papayalink.state import document as documents
from papayalink.transport import errors as transport_errors

REQUEST = relay.RelayRequest(
    "", "r1", "w", "urgent", 1, "m", "", "/v1/completions", b"{}", 1.0, 1
)

REFUSED = frames.Refused("", "overloaded: late", 7.0)
STOPPING = frames.Refused("", "agent is stopping", 1.0, True)
FAILED = frames.Failed("", "upstream was cut")
LOST = transport_errors.ConnectionLost("lost")
TIMED_OUT = transport_errors.Timeout("no answer")
NOT_CONNECTED = transport_errors.NotConnected("refused")
CHUNK = frames.Chunk("", 0, "text")


class _Client:
    """Fake client: each request gets the next result of a script."""

    def __init__(self, script):
        self._script = iter(script)

    def send(self, address, method, path, body):
        step = next(self._script)
        if isinstance(step, Exception):
            raise step
        attempt = relay.decode_relay(body)
        names = {name: getattr(step, name) for name in step.__struct_fields__}
        line = frames.encode(type(step)(**{**names, "id": attempt.attempt_id}))
        return types.SimpleNamespace(
            status=200, readline=lambda: line, close=lambda: None
        )


class _SlowClient(_Client):
    """Fake client whose attempts take a while, and that notes deadlines."""

    def __init__(self, script, clock, attempt_s):
        super().__init__(script)
        self._clock = clock
        self._attempt_s = attempt_s
        self.deadlines_s = []

    def send(self, address, method, path, body):
        self.deadlines_s.append(relay.decode_relay(body).deadline_s)
        self._clock.advance(self._attempt_s)
        return super().send(address, method, path, body)


class _Attempts(forwarding.Attempts):
    """Offers `count` agents and allows `retries` immediate retries."""

    def __init__(self, count, retries=9):
        self._names = [f"u{number}" for number in range(count)]
        self._retries = retries

    def choose(self, tried):
        for name in self._names:
            if name not in tried:
                upstream = documents.Upstream(name, name, "z", "m")
                return selection.Choice(upstream, "v1", 0.0, 0.0)
        return None

    def answered(self, upstream, latency_s):
        pass

    def refused(self, upstream, unavailable):
        pass

    def failed(self, upstream, unavailable):
        pass

    def abandoned(self, upstream):
        pass

    def retry_delay_s(self, attempts):
        self._retries -= 1
        return 0.0 if self._retries >= 0 else None


@pytest.mark.parametrize(
    "script, expected",
    [
        ([REFUSED], errors.NoUpstream),
        ([NOT_CONNECTED, REFUSED], errors.NoUpstream),
        ([REFUSED, NOT_CONNECTED], errors.NoUpstream),
        ([FAILED], errors.AnswerCut),
        ([LOST, REFUSED], errors.AnswerCut),
        ([TIMED_OUT, NOT_CONNECTED], errors.AnswerCut),
        ([REFUSED, FAILED, REFUSED], errors.AnswerCut),
        ([FAILED, REFUSED, CHUNK], None),
    ],
)
def test_not_run_is_only_reported_when_no_attempt_ran(script, expected):
    """Guards against reporting "not run" when an attempt may have run."""
    forwarder = forwarding.make_forwarder(
        _Client(script), clocks.make_clock(), metrics_module.make_metrics()
    )
    attempts = _Attempts(len(script))
    if expected is None:
        assert forwarder.open(REQUEST, attempts).upstream == "u2"
        return
    with pytest.raises(errors.CoordinationError) as caught:
        forwarder.open(REQUEST, attempts)
    assert isinstance(caught.value, expected)


@pytest.mark.parametrize(
    "script, served",
    [
        ([STOPPING, CHUNK], True),
        ([NOT_CONNECTED, STOPPING, CHUNK], True),
        ([REFUSED, CHUNK], False),
        ([LOST, CHUNK], False),
        # The number of unavailable agents tried is limited.
        ([*[STOPPING] * 4, CHUNK], False),
    ],
)
def test_unavailable_upstream_uses_no_retry(script, served):
    """Guards against losing the queued requests of a stopping agent."""
    forwarder = forwarding.make_forwarder(
        _Client(script), clocks.make_clock(), metrics_module.make_metrics()
    )
    attempts = _Attempts(len(script), retries=0)
    if served:
        assert forwarder.open(REQUEST, attempts)
        return
    with pytest.raises(errors.CoordinationError):
        forwarder.open(REQUEST, attempts)


@pytest.mark.parametrize(
    "step",
    [STOPPING, NOT_CONNECTED, REFUSED, LOST],
    ids=["stopping", "not-reached", "refused", "lost"],
)
def test_further_attempts_get_the_time_that_is_left(step):
    """Guards against a deadline that starts anew with each attempt."""
    clock = clocks.ManualClock()
    client = _SlowClient([step] * 5, clock, 0.375)
    forwarder = forwarding.make_forwarder(
        client, clock, metrics_module.make_metrics()
    )
    with pytest.raises(errors.CoordinationError) as caught:
        forwarder.open(REQUEST, _Attempts(5))
    assert client.deadlines_s == [1.0, 0.625, 0.25]
    assert isinstance(caught.value, errors.AnswerCut) is (step is LOST)
