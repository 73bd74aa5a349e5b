"""Tests of attempts at several agents."""

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
SILENT = transport_errors.Timeout("no answer")
DOWN = transport_errors.NotConnected("refused")
WHOLE = frames.Chunk("", 0, "text")


class _Client:
    """Each agent in turn does what the script says."""

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


class _Attempts(forwarding.Attempts):
    """Offers a number of agents, and repeats at once while it may."""

    def __init__(self, count, repeats=9):
        self._names = [f"u{number}" for number in range(count)]
        self._repeats = repeats

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

    def retry_delay_s(self, attempts):
        self._repeats -= 1
        return 0.0 if self._repeats >= 0 else None


@pytest.mark.parametrize(
    "script, expected",
    [
        ([REFUSED], errors.NoUpstream),
        ([DOWN, REFUSED], errors.NoUpstream),
        ([REFUSED, DOWN], errors.NoUpstream),
        ([FAILED], errors.AnswerCut),
        ([LOST, REFUSED], errors.AnswerCut),
        ([SILENT, DOWN], errors.AnswerCut),
        ([REFUSED, FAILED, REFUSED], errors.AnswerCut),
        ([FAILED, REFUSED, WHOLE], None),
    ],
)
def test_not_run_is_only_said_when_no_attempt_ran(script, expected):
    """Guards against "not run" when an earlier attempt may have run."""
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
        ([STOPPING, WHOLE], True),
        ([DOWN, STOPPING, WHOLE], True),
        ([REFUSED, WHOLE], False),
        ([LOST, WHOLE], False),
        # A fleet that is stopping as a whole is not searched through.
        ([*[STOPPING] * 4, WHOLE], False),
    ],
)
def test_unavailable_upstream_costs_no_repeat(script, served):
    """Guards against requests that a stopping agent's queue loses."""
    forwarder = forwarding.make_forwarder(
        _Client(script), clocks.make_clock(), metrics_module.make_metrics()
    )
    attempts = _Attempts(len(script), repeats=0)
    if served:
        assert forwarder.open(REQUEST, attempts)
        return
    with pytest.raises(errors.CoordinationError):
        forwarder.open(REQUEST, attempts)
