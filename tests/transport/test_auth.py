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
    """Guards against replay of a recorded request."""
    auth_header, nonce = signer.sign_request("POST /order", b"body")
    assert signer.verify_request("POST /order", auth_header, b"body") == nonce
    with pytest.raises(errors.AuthenticationFailed, match="seen"):
        signer.verify_request("POST /order", auth_header, b"body")


@pytest.mark.parametrize(
    "context, body, key",
    [
        ("POST /call", b"body", KEY),
        ("POST /order", b"other", KEY),
        ("POST /order", b"body", b"x" * 32),
    ],
)
def test_altered_or_forged_request_is_refused(
    signer, clock, context, body, key
):
    """Guards against orders from a process that does not hold the key."""
    auth_header, _ = auth.make_signer(key, clock).sign_request(
        "POST /order", b"body"
    )
    with pytest.raises(errors.AuthenticationFailed):
        signer.verify_request(context, auth_header, body)


@pytest.mark.parametrize(
    "age_s, reason",
    [
        (31.0, "too old"),
        (-31.0, "from the future"),
        (float("nan"), "no time"),
    ],
)
def test_request_with_a_distant_time_is_refused(clock, signer, age_s, reason):
    """Guards against replays after the nonce was discarded."""
    auth_header, _ = auth.make_signer(
        KEY, clocks.ManualClock(1000.0 - age_s)
    ).sign_request("x", b"")
    with pytest.raises(errors.AuthenticationFailed, match=reason):
        signer.verify_request("x", auth_header, b"")


def test_replay_is_refused_while_the_request_is_recent(clock, signer):
    """Guards against discarding a nonce before its request is too old."""
    fast_signer = auth.make_signer(KEY, clocks.ManualClock(1029.0))
    auth_header, _ = fast_signer.sign_request("x", b"")
    signer.verify_request("x", auth_header, b"")
    clock.advance(58.0)
    with pytest.raises(errors.AuthenticationFailed):
        signer.verify_request("x", auth_header, b"")


def test_reply_to_another_request_is_refused(signer):
    """Guards against accepting the reply to another request."""
    _, first_nonce = signer.sign_request("x", b"")
    _, second_nonce = signer.sign_request("x", b"")
    signature = signer.sign_reply(first_nonce, b"200")
    signer.verify_reply(first_nonce, signature, b"200")
    with pytest.raises(errors.AuthenticationFailed):
        signer.verify_reply(second_nonce, signature, b"200")
