"""Frames of an answer on its way from agent to entry, one a line."""

import msgspec

from papayalink.protocol import errors


class Frame(msgspec.Struct, frozen=True, tag=True, tag_field="t"):
    """Base of all frames; each belongs to one attempt of one request."""


class Chunk(Frame, tag="c"):
    """A part of the answer: the upstream's text, unchanged."""

    id: str
    seq: int
    data: str


class End(Frame, tag="e"):
    """The answer is complete and has `count` chunks."""

    id: str
    count: int
    cached_tokens: int = 0
    prompt_tokens: int = 0
    load: bytes = b""


class Refused(Frame, tag="r"):
    """The request was not run.

    Attributes:
        reason: see admission and lease.
        retry_after_s: seconds until a repeat may be admitted.
    """

    id: str
    reason: str
    retry_after_s: float = 0.0


class Rejected(Frame, tag="x"):
    """The upstream does not accept the request; its own answer."""

    id: str
    status: int
    body: str


class Failed(Frame, tag="f"):
    """The answer stopped after it was begun."""

    id: str
    reason: str


AnyFrame = Chunk | End | Refused | Rejected | Failed

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyFrame)


def encode(frame: Frame) -> bytes:
    """Returns: the frame as one line."""
    return _ENCODER.encode(frame) + b"\n"


class FrameReader:
    """Checks the frames of one attempt.

    Args:
        attempt_id: id that the frames must carry.
    """

    __slots__ = ("_id", "_next", "_dropped", "_ended")

    def __init__(self, attempt_id: str) -> None:
        self._id = attempt_id
        self._next = 0
        self._dropped = 0
        self._ended = False

    @property
    def dropped(self) -> int:
        """Frames of other attempts, and repeated ones."""
        return self._dropped

    @property
    def ended(self) -> bool:
        """An End, Refused or Failed frame was read."""
        return self._ended

    def read(self, line: bytes) -> Frame | None:
        """Check one line.

        Returns: the frame, None when it is to be ignored.
        Raises:
            errors.Truncated: a chunk is missing, or the line is the end
                of the stream before the answer's end.
            errors.MessageInvalid: the line is no frame.
        """
        if not line.endswith(b"\n"):
            raise errors.Truncated(f"stream ended after {self._next} chunks")
        try:
            frame = _DECODER.decode(line)
        except msgspec.MsgspecError as error:
            raise errors.MessageInvalid(str(error)) from error
        if frame.id != self._id or self._ended:
            self._dropped += 1
            return None
        match frame:
            case Chunk(seq=seq):
                return self._read_chunk(frame, seq)
            case End(count=count) if count != self._next:
                raise errors.Truncated(
                    f"{self._next} chunks of {count} arrived"
                )
        self._ended = True
        return frame

    def _read_chunk(self, frame: Chunk, seq: int) -> Chunk | None:
        if seq < self._next:
            self._dropped += 1
            return None
        if seq > self._next:
            raise errors.Truncated(f"chunk {self._next} is missing")
        self._next += 1
        return frame


def make_reader(attempt_id: str) -> FrameReader:
    return FrameReader(attempt_id)
