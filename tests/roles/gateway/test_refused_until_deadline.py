"""Tests of calls whose deadline passes after replicas have refused them."""

import pytest

from papayalink.roles.gateway import call_run
from papayalink.state import traffic
from tests.roles.gateway import stubs

_ROUTES = (
    stubs.make_route("once", traffic.RepeatPolicy.ONCE),
    stubs.make_route("repeat", traffic.RepeatPolicy.IDEMPOTENT),
)


class _Upstream(stubs.Upstream):
    """Answers the last attempt for which a call has time."""

    def __init__(self, name, monkeypatch, answer):
        super().__init__(name, [answer, "close"])
        self._monkeypatch = monkeypatch

    def next_steps(self, request):
        self._monkeypatch.setattr(call_run, "MIN_ATTEMPT_S", 60.0)
        return super().next_steps(request)


@pytest.mark.parametrize(
    ("route", "answer", "expected"),
    [
        ("once", stubs.BUSY, 503),
        ("repeat", stubs.BUSY, 503),
        # A replica may have run these.
        ("once", b"HTTP/1.1 200", 502),
        ("repeat", b"HTTP/1.1 200", 504),
    ],
)
def test_call_that_was_only_refused_is_refused_at_its_deadline(
    monkeypatch, route, answer, expected
):
    """Guards against an unknown outcome of a call that has not run."""
    upstreams = [
        _Upstream(name, monkeypatch, answer) for name in ("desk1", "desk2")
    ]
    gateway = stubs.Gateway(upstreams, _ROUTES)
    status, headers, _ = gateway.call(b"/%s/" % route.encode())
    assert sum(len(upstream.received) for upstream in upstreams) == 1
    assert status == expected
    assert (b"retry-after" in headers) == (expected == 503)
    gateway.stop()
