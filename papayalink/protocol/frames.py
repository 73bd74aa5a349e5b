"""Frames in which an agent streams an answer to an entry, one per line."""

import msgspec

from papayalink.protocol import errors


class Frame(msgspec.Struct, frozen=True, tag=True, tag_field="t"):
    """Base of all frames; each belongs to one attempt of one request."""


class Chunk(Frame, tag="c"):
    """A part of the answer: unmodified text from the upstream."""

    id: str
    seq: int
    data: str


class End(Frame, tag="e"):
    """The answer is complete and consists of `count` chunks."""

    id: str
    count: int
    cached_tokens: int = 0
    prompt_tokens: int = 0
    load: bytes = b""


class Refused(Frame, tag="r"):
    """The request was not run.

    Attributes:
        reason: refusal code, such as one of admission or of the lease;
            details may follow after a colon.
        retry_after_s: seconds until a retry may be admitted.
        unavailable: the upstream currently accepts no requests at all.
    """

    id: str
    reason: str
    retry_after_s: float = 0.0
    unavailable: bool = False


class Rejected(Frame, tag="x"):
    """The upstream rejected the request; status and body are its answer."""

    id: str
    status: int
    body: str


class Failed(Frame, tag="f"):
    """The answer was cut off after it had begun."""

    id: str
    reason: str


AnyFrame = Chunk | End | Refused | Rejected | Failed

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyFrame)


def encode(frame: Frame) -> bytes:
    """Returns: the frame as one line of JSON."""
    return _ENCODER.encode(frame) + b"\n"


class FrameReader:
    """Reads the frames of one attempt and checks that they are complete.

    Args:
        attempt_id: id that the frames must carry.
    """

    __slots__ = ("_attempt_id", "_next_seq", "_dropped", "_ended")

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._next_seq = 0
        self._dropped = 0
        self._ended = False

    @property
    def dropped(self) -> int:
        """Number of frames ignored: of other attempts, repeated or late."""
        return self._dropped

    @property
    def ended(self) -> bool:
        """Whether the final frame was read: any frame but a Chunk."""
        return self._ended

    def read(self, line: bytes) -> Frame | None:
        """Decode and check one line.

        Returns: the frame, None when it is ignored.
        Raises:
            errors.Truncated: a chunk is missing, or the line is incomplete
                because the stream ended before the answer did.
            errors.MessageInvalid: the line is not a frame.
        """
        if not line.endswith(b"\n"):
            raise errors.Truncated(
                f"stream ended after {self._next_seq} chunks"
            )
        try:
            frame = _DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise errors.MessageInvalid(str(error)) from error
        if frame.id != self._attempt_id or self._ended:
            self._dropped += 1
            return None
        match frame:
            case Chunk(seq=seq):
                return self._read_chunk(frame, seq)
            case End(count=count) if count != self._next_seq:
                raise errors.Truncated(
                    f"received {self._next_seq} of {count} chunks"
                )
        self._ended = True
        return frame

    def _read_chunk(self, frame: Chunk, seq: int) -> Chunk | None:
        if seq < self._next_seq:
            self._dropped += 1
            return None
        if seq > self._next_seq:
            raise errors.Truncated(f"chunk {self._next_seq} is missing")
        self._next_seq += 1
        return frame


def make_reader(attempt_id: str) -> FrameReader:
    return FrameReader(attempt_id)
