"""Tests of answers to uploads that only the end of a connection ends."""

import fcntl

import gevent
import pytest

from papayalink.transport import errors
from papayalink.transport import request_delivery
from papayalink.transport import upstream_channels
from tests import early_answers


def _remaining_s():
    return 5.0


@pytest.fixture
def call():
    """Function that makes a call; returns the body of its answer."""
    opened = []

    def make(size, end, remaining_s=_remaining_s, answer=early_answers.PART):
        server = early_answers.EarlyServer(end, answer)
        channels = upstream_channels.make_channels()
        channel = channels.take(server.address, remaining_s)
        opened.append((server, channel))
        headers = [(b"Host", b"x"), (b"Content-Length", b"%d" % size)]
        channel.send(b"POST", b"/", headers, b"x" * size, remaining_s)
        channel.read_head(remaining_s)
        body = b""
        while data := channel.read_data(remaining_s):
            body += data
        return body

    yield make
    for server, channel in opened:
        channel.close()
        server.server.stop()


@pytest.mark.parametrize(("size", "end"), early_answers.FAULTY_CASES)
def test_part_of_an_answer_is_not_taken_for_a_whole_one(call, size, end):
    """Guards against an end with a reset behind it that looks regular."""
    with pytest.raises(errors.ConnectionLost):
        call(size, end)


@pytest.mark.parametrize(("size", "end"), early_answers.SOUND_CASES)
def test_answer_before_the_upload_is_read_is_whole(call, size, end):
    """Guards against sound upstreams that are taken for lost."""
    assert call(size, end) == b"part"


def _refuse(*arguments):
    raise OSError("not supported")


def _tell_nothing(descriptor, request, argument):
    return argument


@pytest.mark.parametrize("ioctl", [_refuse, _tell_nothing])
@pytest.mark.parametrize("size", [early_answers.LARGE, early_answers.MEDIUM])
@pytest.mark.parametrize(
    ("end", "is_whole"),
    [
        ("end-read", True),
        ("end-read-later", True),
        ("read-end", True),
        ("end-reset", False),
        ("end-reset-later", False),
    ],
)
def test_system_that_does_not_tell_what_is_acknowledged(
    call, monkeypatch, size, end, is_whole, ioctl
):
    """Guards against sound answers that are lost there."""
    monkeypatch.setattr(fcntl, "ioctl", ioctl)
    if is_whole:
        assert call(size, end) == b"part"
    else:
        with pytest.raises(errors.ConnectionLost):
            call(size, end)


@pytest.mark.parametrize("size", [early_answers.LARGE, early_answers.MEDIUM])
def test_upstream_that_reads_no_more_counts_as_lost(call, monkeypatch, size):
    """Guards against a call that waits for its whole time."""
    monkeypatch.setattr(request_delivery, "STALL_TIMEOUT_S", 0.2)
    with pytest.raises(errors.ConnectionLost):
        call(size, early_answers.STUCK, lambda: 60.0)


@pytest.mark.parametrize("size", [early_answers.LARGE, early_answers.MEDIUM])
def test_wait_for_the_upload_ends_with_the_time_of_the_call(call, size):
    """Guards against a call that outlasts its deadline."""
    left_s = [5.0] * 3 + [0.1] * 3

    def remaining_s():
        return left_s.pop(0) if left_s else 0.0

    with pytest.raises(errors.Timeout):
        call(size, early_answers.STUCK, remaining_s)


def test_other_greenlets_run_and_may_end_the_wait(call):
    """Guards against a wait that a caller's hang-up does not interrupt."""
    waiting = gevent.spawn(
        call, early_answers.MEDIUM, early_answers.STUCK, lambda: 60.0
    )
    gevent.sleep(0.2)
    assert not waiting.dead
    waiting.kill(timeout=1.0)
    assert waiting.dead


@pytest.mark.parametrize(
    "answer",
    [
        early_answers.HEAD + b"Content-Length: 4\r\n\r\npart",
        early_answers.HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    ],
    ids=["length", "chunked"],
)
def test_answer_with_an_end_of_its_own_waits_for_nothing(call, answer):
    """Guards against waits for replicas that read no upload."""
    size = early_answers.MEDIUM
    assert call(size, early_answers.STUCK, lambda: 60.0, answer) == b"part"
