"""Tests of how a request and its restore run together."""

import types

import gevent
import msgspec
import pytest

from papayalink import clock as clocks
from papayalink import metrics as metrics_module
from papayalink.adapters import errors
from papayalink.protocol import frames
from papayalink.protocol import relay
from papayalink.roles.agent import relaying

REQUEST = relay.RelayRequest(
    attempt_id="a1",
    request_id="r1",
    workspace="acme",
    rank="first",
    version=1,
    model="m",
    weight_version="v1",
    path="/v1/completions",
    body=b"{}",
    deadline_s=9.0,
    tokens=10,
    prompt_tokens=5,
    stream=True,
)


class _Cache:
    """Records the calls in order."""

    def __init__(self):
        self.steps = []

    def locate(self, request):
        return "located"

    def restore(self, located, is_urgent, queue_tokens):
        self.steps.append(("restore", is_urgent, queue_tokens))
        return types.SimpleNamespace(
            wait_to_start=lambda: self.steps.append("wait"),
            stop=lambda: self.steps.append("stop"),
        )

    def save(self, located):
        self.steps.append("keep")


class _Engine:
    def __init__(self, cache, error):
        self._cache = cache
        self._error = error

    def stream(self, path, body, request_id):
        self._cache.steps.append("stream")
        if self._error == "at once":
            raise errors.Unreachable("refused")
        return self._events()

    def _events(self):
        if self._error == "killed":
            raise gevent.GreenletExit
        if self._error:
            raise errors.StreamCut("cut")
        yield "one"
        self._cache.steps.append("second")
        yield "two"


class _FailingEngine:
    """Raises the given error on each call."""

    def __init__(self, error):
        self._error = error

    def stream(self, path, body, request_id):
        raise self._error

    def complete(self, path, body, request_id):
        raise self._error


def _relayer(cache, error, engine=None, known=("acme",)):
    free = types.SimpleNamespace(
        submit=lambda item: types.SimpleNamespace(get=lambda: None),
        finish=lambda item, tokens: None,
    )
    work = types.SimpleNamespace(
        has_rank=lambda rank: True,
        admit=lambda *arguments: None,
        add_prompt=lambda *arguments: None,
        set_prefill_end=lambda *arguments: None,
        remove_prompt=lambda *arguments, **named: None,
    )
    return relaying.make_relayer(
        engine or _Engine(cache, error),
        types.SimpleNamespace(prefill_rate=1000.0),
        free,
        types.SimpleNamespace(
            refuse=lambda request: "",
            has_workspace=lambda request: request.workspace in known,
        ),
        work,
        cache,
        clocks.make_clock(),
        metrics_module.make_metrics(),
    )


BEGIN = [("restore", True, 0), "wait", "stream"]


def test_restore_ends_with_the_first_token():
    """Guards against imports of pieces that the engine has computed."""
    cache = _Cache()
    for _ in _relayer(cache, "").answer(REQUEST, 0):
        pass
    assert cache.steps[:5] == [*BEGIN, "stop", "second"]
    assert cache.steps[-1] == "keep"


@pytest.mark.parametrize("error", ["at once", "cut", "killed"])
def test_restore_ends_with_a_failed_request(error):
    """Guards against an import that outlives its request."""
    cache = _Cache()
    relayer = _relayer(cache, error)
    task = gevent.spawn(lambda: list(relayer.answer(REQUEST, 0)))
    task.join()
    assert cache.steps[:4] == [*BEGIN, "stop"]
    assert relayer.starting == 0


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize(
    "error, expected",
    [
        (errors.InvalidRequest("path"), frames.Refused),
        (errors.Unreachable("refused"), frames.Refused),
        # The engine may have the whole request when sending is interrupted.
        (errors.Interrupted("reset"), frames.Failed),
        (errors.InvalidReply("no head"), frames.Failed),
    ],
)
def test_refusal_only_when_nothing_was_sent(error, expected, stream):
    """Guards against "not run" for a request that may have run."""
    relayer = _relayer(_Cache(), "", _FailingEngine(error))
    request = msgspec.structs.replace(REQUEST, stream=stream)
    (line,) = relayer.answer(request, 0)
    frame = frames.make_reader(REQUEST.attempt_id).read(line)
    assert isinstance(frame, expected)


def test_unknown_workspace_does_not_make_an_agent_unavailable():
    """Guards against requests of a new workspace blocking all replicas."""
    (line,) = _relayer(_Cache(), "", known=()).answer(REQUEST, 0)
    frame = frames.make_reader(REQUEST.attempt_id).read(line)
    assert isinstance(frame, frames.Refused) and not frame.unavailable
