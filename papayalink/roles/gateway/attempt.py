"""One attempt of a call: sends it to a replica and relays the answer."""

from collections.abc import Callable
import enum
import time

import h11
import msgspec

from papayalink.coordination import attempts
from papayalink.coordination import fleet_member
from papayalink.protocol import calls
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import events
from papayalink.transport import errors
from papayalink.transport import responders
from papayalink.transport import upstream_channel
from papayalink.transport import upstream_channels

# Largest answer that is not a stream. A larger one is an error of the service,
# and the entry must not hold it in memory.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Largest stream: far above any answer of a model, and little enough that a
# replica that never stops is noticed before the deadline.
MAX_STREAM_BYTES = 64 * 1024 * 1024


class Progress(enum.Enum):
    """How far a replica's answer had come when the attempt ended."""

    NONE = "none"
    HEAD = "head"
    EVENTS = "events"


class Answered(msgspec.Struct, frozen=True):
    """The caller has the whole answer.

    Attributes:
        first_s: seconds until the head of the answer arrived.
        ends_with_connection: whether nothing but the end of the connection
            ended the answer.
    """

    status: int
    first_s: float
    ends_with_connection: bool = False


class Unanswered(msgspec.Struct, frozen=True):
    """The attempt ended without a whole answer.

    Attributes:
        outcome: how the attempt ended.
        answer, body: failure reported by the upstream, which the caller may
            receive.
        progress: how much of the answer had arrived.
    """

    outcome: attempts.Outcome
    answer: calls.Answer | None = None
    body: bytes = b""
    progress: Progress = Progress.NONE


class StreamState:
    """What the caller has received of a stream, over all attempts.

    Attributes:
        last_event_id: id of the last whole event.
        begun: whether the head of the answer was sent to the caller.
        longest_gap_s: longest time between two events so far.
    """

    __slots__ = (
        "last_event_id",
        "begun",
        "longest_gap_s",
        "_kind",
        "_event_at",
    )

    def __init__(self) -> None:
        self.last_event_id = 0
        self.begun = False
        # Status and media type of the head that was sent.
        self._kind: tuple[int, bytes] | None = None
        self.longest_gap_s = 0.0
        self._event_at: float | None = None

    def note_begun(self, answer: calls.Answer) -> None:
        """Record that the head of an answer is sent to the caller."""
        self.begun = True
        self._kind = (answer.status, _media_type(answer))

    def goes_on_with(self, answer: calls.Answer) -> bool:
        """Returns: whether an answer may be the rest of the stream."""
        kind = (answer.status, _media_type(answer))
        return not self.begun or kind == self._kind

    def note_events(self, now: float) -> None:
        """Record that events are passed on."""
        if self._event_at is not None:
            gap_s = now - self._event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._event_at = now


class Attempt:
    """Sends one call to one replica.

    Args:
        remaining_s: returns the seconds left until the call's deadline.
        note_answer: called with the head of the answer.
        on_silence: see `upstream_channel.Channel`.
    """

    __slots__ = (
        "_dialect",
        "_channels",
        "_call",
        "_member",
        "_responder",
        "_remaining_s",
        "_note_answer",
        "_on_silence",
        "_address",
        "_channel",
        "_held_bytes",
        "_complete",
        "_has_id",
        "_keep_alive_s",
        "_progress",
        "_started_at",
        "_first_s",
        "_status",
        "_may_pause",
        "_paused",
        "_reader",
        "_needs_ids",
        "_stream_bytes",
        "_ends_with_connection",
    )

    def __init__(
        self,
        dialect: calls.Dialect,
        channels: upstream_channels.Channels,
        call: calls.Call,
        member: fleet_member.Member,
        responder: responders.Responder,
        remaining_s: Callable[[], float],
        note_answer: Callable[[calls.Answer], None],
        on_silence: Callable[[float], None],
    ) -> None:
        self._dialect = dialect
        self._channels = channels
        self._call = call
        self._member = member
        self._responder = responder
        self._remaining_s = remaining_s
        self._note_answer = note_answer
        self._on_silence = on_silence
        self._address = ""
        self._channel: upstream_channel.Channel | None = None
        self._held_bytes = 0
        self._complete = False
        self._has_id = False
        self._keep_alive_s: float | None = None
        self._progress = Progress.NONE
        self._started_at = 0.0
        self._first_s = 0.0
        self._status = 0
        # Whether it waits where the wait may be taken up again.
        self._may_pause = False
        self._paused = False
        # Reads the events of its answer, None before they begin.
        self._reader: events.EventReader | None = None
        self._needs_ids = False
        self._stream_bytes = 0
        self._ends_with_connection = False

    @property
    def address(self) -> str:
        """Address that it has connected to."""
        return self._address

    @property
    def paused(self) -> bool:
        """Whether the call has left the replica, and may `go_on` there."""
        return self._paused

    @property
    def has_unread(self) -> bool:
        """Whether something has come of a replica that the call has left."""
        return self._channel.has_unread

    def connect(self) -> bool:
        """Returns: whether there is a connection to send the call on."""
        self._address = self._member.replica.address
        try:
            self._channel = self._channels.take(
                self._address, self._remaining_s
            )
        except errors.ConnectionRefused:
            self._member.refused_at = time.monotonic()
            return False
        except errors.NotConnected:
            self._member.unanswered_at = time.monotonic()
            return False
        self._channel.on_silence = self._on_silence
        return True

    def withdraw(self, reusable: bool) -> None:
        """Give up the connection without having sent anything on it.

        Args:
            reusable: whether other calls may use it.
        """
        if reusable and self._address == self._member.replica.address:
            self._channels.give_back(self._address, self._channel)
        else:
            self._channel.close()

    def run(
        self, dispatch: calls.Dispatch, stream: StreamState | None
    ) -> Answered | Unanswered:
        """Send the call on the connection and relay the answer.

        Args:
            stream: state of an event stream, None for any other answer.
        """
        self._started_at = time.monotonic()
        return self._carry_out(dispatch, stream)

    def go_on(self, stream: StreamState | None) -> Answered | Unanswered:
        """Wait on for the answer of a replica that the call has left.

        Nothing is sent. The caller must have got nothing of another answer
        since.
        """
        self._paused = False
        return self._carry_out(None, stream)

    def abandon(self) -> None:
        """Give up an attempt that is paused."""
        self._paused = False
        self._channel.close()

    def _carry_out(
        self, dispatch: calls.Dispatch | None, stream: StreamState | None
    ) -> Answered | Unanswered:
        """Args: dispatch: None if the call has been sent."""
        try:
            if dispatch is not None:
                self._channel.send(
                    self._call.method,
                    self._call.target,
                    self._dialect.encode_call(self._call, dispatch),
                    self._call.body,
                    self._remaining_s,
                )
            if self._reader is None:
                head, answer = self._read_own_head()
                self._first_s = time.monotonic() - self._started_at
                result = self._relay(head, answer, stream)
            else:
                result = self._relay_events(stream)
        except errors.UpstreamLeft as error:
            self._paused = self._may_pause
            lost = attempts.Lost(str(error))
            return Unanswered(lost, progress=self._progress)
        except errors.Timeout:
            if self._channel.used and self._progress is Progress.NONE:
                # What has made it silent may have done so to all of them.
                self._channels.close_idle(self._address)
            return Unanswered(attempts.Expired(), progress=self._progress)
        except (
            errors.ConnectionLost,
            protocol_errors.EventTooLarge,
        ) as error:
            lost = attempts.Lost(str(error))
            return Unanswered(lost, progress=self._progress)
        finally:
            self._channels.held.give_back(self._held_bytes)
            self._held_bytes = 0
            if not self._paused:
                self._release_channel()
        return result

    def _release_channel(self) -> None:
        """Reuse the connection after a whole answer, else close it.

        Without an id in the answer, a late second copy of it could not be
        told from the answer to the next call. The address of a replica may
        have changed since it was connected to.
        """
        reusable = (
            self._complete
            and self._has_id
            and self._address == self._member.replica.address
        )
        if reusable and self._channel.finish(self._keep_alive_s):
            self._channels.give_back(self._address, self._channel)
        else:
            self._channel.close()

    def _read_own_head(self) -> tuple[h11.Response, calls.Answer]:
        """Read the head of the answer to this call.

        An upstream may send an answer to an earlier call a second time, late
        enough that the connection is in use again. It is skipped, so that a
        call that may run only once still gets its answer. On a connection that
        is reused all answers have had an id, so one without belongs to no
        call.
        """
        while True:
            # A wait within an earlier answer can't be taken up again.
            self._may_pause = True
            head = self._channel.read_head(self._remaining_s)
            self._may_pause = False
            answer = self._dialect.decode_answer(
                head.status_code, head.headers.raw_items()
            )
            is_own = answer.call_id == self._call.call_id
            if is_own or not (answer.call_id or self._channel.used):
                self._has_id = is_own
                return head, answer
            self._channel.skip_answer(MAX_ANSWER_BYTES, self._remaining_s)

    def _relay(
        self,
        head: h11.Response,
        answer: calls.Answer,
        stream: StreamState | None,
    ) -> Answered | Unanswered:
        self._member.heard_at = time.monotonic()
        self._member.answered_at = self._member.heard_at
        self._member.note_spoke(self._member.heard_at)
        self._progress = Progress.HEAD
        self._keep_alive_s = answer.keep_alive_s
        self._note_answer(answer)
        if answer.not_run:
            self._channel.discard_body(MAX_ANSWER_BYTES, self._remaining_s)
            self._complete = True
            return Unanswered(attempts.NotRun(answer.retry_after_s))
        if not answer.has_server_stamp:
            raise errors.ConnectionLost(
                f"answer {answer.status} has no server stamp"
            )
        begun = stream is not None and stream.begun
        rest = stream is None or stream.goes_on_with(answer)
        if not 200 <= answer.status < 300 or not rest:
            body = self._read_body()
            if answer.status < 500 and not begun:
                self._responder.respond(answer.status, answer.headers, body)
                return Answered(answer.status, self._first_s)
            failed = attempts.Failed(answer.status)
            return Unanswered(failed, answer, body)
        self._status = answer.status
        self._ends_with_connection = _ends_with_connection(head)
        if stream is not None:
            self._reader = events.make_event_reader()
            self._needs_ids = stream.last_event_id > 0
            if not stream.begun:
                stream.note_begun(answer)
                self._responder.begin(answer.status, answer.headers)
            return self._relay_events(stream)
        body = self._read_body()
        self._responder.respond(answer.status, answer.headers, body)
        return self._answered()

    def _answered(self) -> Answered:
        return Answered(
            self._status, self._first_s, self._ends_with_connection
        )

    def _read_body(self) -> bytes:
        chunks = []
        while data := self._channel.read_data(self._remaining_s):
            chunks.append(data)
            if not self._channels.held.take(len(data), self._held_bytes):
                raise errors.ConnectionLost("no memory for the answer")
            self._held_bytes += len(data)
            if self._held_bytes > MAX_ANSWER_BYTES:
                raise errors.ConnectionLost("answer is too large")
        self._complete = True
        return b"".join(chunks)

    def _relay_events(self, stream: StreamState) -> Answered:
        """Pass on whole events as they arrive.

        The caller gets no part of an incomplete event, so that another
        replica can continue after the last whole one. A stream that may end
        with its connection, and does so before an event, has broken off.
        """
        self._may_pause = True
        while data := self._channel.read_data(self._remaining_s, False):
            self._member.heard_at = time.monotonic()
            self._stream_bytes += len(data)
            if self._stream_bytes > MAX_STREAM_BYTES:
                raise errors.ConnectionLost("stream is too large")
            arrived = self._reader.feed(data)
            ready = b"".join(
                self._accept_events(arrived, stream, self._needs_ids)
            )
            if ready:
                self._progress = Progress.EVENTS
                # Parts of an event do not show that a replica makes progress.
                self._channel.note_progress()
                self._member.note_spoke(self._member.heard_at)
                stream.note_events(self._member.heard_at)
                self._responder.write(ready)
        if self._reader.partial_event:
            raise errors.ConnectionLost("stream ends within an event")
        if (
            self._ends_with_connection
            and self._progress is not Progress.EVENTS
        ):
            raise errors.ConnectionLost("stream has no event")
        self._complete = True
        self._responder.end()
        return self._answered()

    def _accept_events(
        self,
        arrived: list[events.Event],
        stream: StreamState,
        needs_ids: bool,
    ) -> list[bytes]:
        """Returns: the encoded events, after a check of their ids.

        Args:
            needs_ids: whether the stream goes on after an event with an id.
        Raises:
            errors.ConnectionLost: the caller already has one of the events, or
                it can't be told where one belongs.
        """
        accepted = []
        for event in arrived:
            if event.event_id is None:
                if needs_ids and not event.is_comment:
                    raise errors.ConnectionLost("event has no id")
            else:
                if event.event_id <= stream.last_event_id:
                    raise errors.ConnectionLost("stream repeats an event")
                stream.last_event_id = event.event_id
            accepted.append(event.data)
        return accepted


def _media_type(answer: calls.Answer) -> bytes:
    for name, value in answer.headers:
        if name.lower() == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return b""


def _ends_with_connection(head: h11.Response) -> bool:
    names = {bytes(name) for name, _ in head.headers}
    return not names & {b"content-length", b"transfer-encoding"}


def make_attempt(
    dialect: calls.Dialect,
    channels: upstream_channels.Channels,
    call: calls.Call,
    member: fleet_member.Member,
    responder: responders.Responder,
    remaining_s: Callable[[], float],
    note_answer: Callable[[calls.Answer], None],
    on_silence: Callable[[float], None],
) -> Attempt:
    return Attempt(
        dialect,
        channels,
        call,
        member,
        responder,
        remaining_s,
        note_answer,
        on_silence,
    )
