"""Tests of authentication between processes."""

import pytest

from papayalink import clock as clocks
from papayalink.transport import auth
from papayalink.transport import errors

KEY = b"k" * 32


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def signer(clock):
    return auth.make_signer(KEY, clock)


def test_signed_request_is_accepted_once(signer):
    """Guards against a recorded request that is sent again."""
    head, nonce = signer.sign_request("POST /order", b"body")
    assert signer.verify_request("POST /order", head, b"body") == nonce
    with pytest.raises(errors.AuthenticationFailed, match="seen"):
        signer.verify_request("POST /order", head, b"body")


@pytest.mark.parametrize(
    "context, body, key",
    [
        ("POST /call", b"body", KEY),
        ("POST /order", b"other", KEY),
        ("POST /order", b"body", b"x" * 32),
    ],
)
def test_changed_request_is_refused(signer, clock, context, body, key):
    """Guards against orders of a process without the key."""
    head, _ = auth.make_signer(key, clock).sign_request("POST /order", b"body")
    with pytest.raises(errors.AuthenticationFailed):
        signer.verify_request(context, head, body)


@pytest.mark.parametrize("age_s", [-31.0, 31.0])
def test_old_request_is_refused(clock, signer, age_s):
    """Guards against replays after the nonce was forgotten."""
    head, _ = auth.make_signer(
        KEY, clocks.ManualClock(1000.0 - age_s)
    ).sign_request("x", b"")
    with pytest.raises(errors.AuthenticationFailed, match="old"):
        signer.verify_request("x", head, b"")


def test_replay_is_refused_for_as_long_as_it_is_fresh(clock, signer):
    """Guards against nonces forgotten before their request is too old."""
    ahead = auth.make_signer(KEY, clocks.ManualClock(1029.0))
    head, _ = ahead.sign_request("x", b"")
    signer.verify_request("x", head, b"")
    clock.advance(58.0)
    with pytest.raises(errors.AuthenticationFailed):
        signer.verify_request("x", head, b"")


def test_reply_to_another_request_is_refused(signer):
    """Guards against crossed answers."""
    _, first = signer.sign_request("x", b"")
    _, second = signer.sign_request("x", b"")
    signature = signer.sign_reply(first, b"200")
    signer.verify_reply(first, signature, b"200")
    with pytest.raises(errors.AuthenticationFailed):
        signer.verify_reply(second, signature, b"200")
