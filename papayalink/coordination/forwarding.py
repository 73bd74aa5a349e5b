"""Sends a model request to an agent and reads its answer."""

import abc
from collections.abc import Iterator
import uuid

import gevent
import msgspec

from papayalink import clock as clocks
from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.coordination import selection
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import frames
from papayalink.protocol import relay
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_client

# Unavailable upstreams that one request may meet without using up its retries.
# More of them mean that the whole fleet is stopping.
MAX_REDIRECTS = 3


class Attempts(abc.ABC):
    """Chooses the upstreams of one request and records its attempts."""

    __slots__ = ()

    @abc.abstractmethod
    def choose(self, tried: frozenset[str]) -> selection.Choice | None:
        """Choose the upstream of the next attempt."""

    @abc.abstractmethod
    def answered(self, upstream: str, latency_s: float) -> None:
        """The first frame arrived."""

    @abc.abstractmethod
    def refused(self, upstream: str, unavailable: bool) -> None:
        """The agent refused the request.

        Args:
            unavailable: whether it accepts no work at all for now.
        """

    @abc.abstractmethod
    def failed(self, upstream: str, unavailable: bool) -> None:
        """The connection to the agent was lost or could not be made.

        Args:
            unavailable: whether no connection could be made.
        """

    @abc.abstractmethod
    def abandoned(self, upstream: str) -> None:
        """The caller no longer waits for the answer of the attempt."""

    @abc.abstractmethod
    def retry_delay_s(self, attempts: int) -> float | None:
        """Returns: seconds until the next attempt, None to give up."""


class Answer:
    """An answer whose first frame has arrived.

    Args:
        upstream: name of the upstream that answers.
        response: response of the agent, on its open connection.
        reader: decodes and checks the frames.
        first: first frame, a Chunk or an End.
    """

    __slots__ = ("upstream", "_response", "_reader", "_frame", "_end")

    def __init__(
        self,
        upstream: str,
        response: http_client.Response,
        reader: frames.FrameReader,
        first: frames.Frame,
    ) -> None:
        self.upstream = upstream
        self._response = response
        self._reader = reader
        self._frame = first
        self._end: frames.End | None = None

    @property
    def end(self) -> frames.End | None:
        """The End frame, None until the whole answer was read."""
        return self._end

    @property
    def dropped(self) -> int:
        """Number of frames that did not belong to this answer."""
        return self._reader.dropped

    def __iter__(self) -> Iterator[str]:
        """Yields: the upstream's text, chunk by chunk.

        Raises:
            errors.AnswerCut: the answer ended before it was complete.
        """
        frame: frames.Frame | None = self._frame
        while True:
            match frame:
                case frames.Chunk(data=data):
                    yield data
                case frames.End():
                    self._end = frame
                    self._drain()
                    return
                case frames.Failed(reason=reason):
                    raise errors.AnswerCut(reason)
                case frames.Refused(reason=reason):
                    raise errors.AnswerCut(reason)
            frame = _read(self._response, self._reader)

    def close(self) -> None:
        """Cancel the rest of the answer, if any."""
        self._response.close()

    def _drain(self) -> None:
        # The connection can be reused once the body is read.
        try:
            self._response.read()
        except transport_errors.TransportError:
            self._response.close()


class Forwarder:
    """Sends a request to agents until one accepts it.

    Args:
        client: sends signed requests.
        clock: measures the time to the first frame.
        metrics: counts attempts and refusals.
    """

    __slots__ = ("_client", "_clock", "_metrics", "_log")

    def __init__(
        self,
        client: http_client.HttpClient,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._log = logs.get_logger()

    def open(self, request: relay.RelayRequest, attempts: Attempts) -> Answer:
        """Send a request; try another agent when one does not accept it.

        Args:
            request: its attempt id, its weight version and the time that is
                left to start are set for each attempt.
            attempts: chooses the upstreams.
        Returns: the answer, from its first frame on.
        Raises:
            errors.NoUpstream: no agent ran the request.
            errors.AnswerCut: an agent may have run it and was lost.
            errors.UpstreamRejected: the upstream rejected it as invalid.
        """
        tried: set[str] = set()
        redirects = 0
        failure: errors.CoordinationError = errors.NoUpstream(
            "no upstream takes this model"
        )
        # Once an attempt may have run, the request must not be reported as
        # "not run", whatever the outcome of later attempts.
        cut: errors.AnswerCut | None = None
        start_until = self._clock.now() + request.deadline_s
        while True:
            left_s = start_until - self._clock.now()
            if tried and left_s <= 0:
                raise cut or failure
            choice = attempts.choose(frozenset(tried))
            if choice is None:
                raise cut or failure
            name = choice.upstream.name
            tried.add(name)
            started_at = self._clock.now()
            try:
                answer = self._attempt(request, choice, left_s)
            except errors.UpstreamRejected:
                attempts.refused(name, False)
                raise
            except errors.AnswerCut as error:
                attempts.failed(name, False)
                failure = cut = error
            except errors.AgentNotReached as error:
                attempts.failed(name, True)
                failure = error
            except errors.NoUpstream as error:
                attempts.refused(name, error.unavailable)
                failure = error
            except BaseException:
                attempts.abandoned(name)
                raise
            else:
                attempts.answered(name, self._clock.now() - started_at)
                return answer
            self._metrics.count(
                "attempts_failed", reason=type(failure).__name__
            )
            # An unavailable upstream ran nothing and gets no more requests
            # from this entry, so trying another one does not multiply the
            # load. A stopping agent refuses its whole queue at once, which
            # would use up the retry budget.
            if _is_unavailable(failure) and redirects < MAX_REDIRECTS:
                redirects += 1
                continue
            delay_s = attempts.retry_delay_s(len(tried) - redirects)
            if delay_s is None:
                raise cut or failure
            gevent.sleep(delay_s)

    def _attempt(
        self,
        request: relay.RelayRequest,
        choice: selection.Choice,
        left_s: float,
    ) -> Answer:
        upstream = choice.upstream
        attempt = msgspec.structs.replace(
            request,
            attempt_id=uuid.uuid4().hex,
            weight_version=choice.weight_version,
            deadline_s=left_s,
        )
        self._log.debug(
            "attempt",
            request_id=request.request_id,
            attempt_id=attempt.attempt_id,
            upstream=upstream.name,
        )
        try:
            response = self._client.send(
                upstream.agent, "POST", relay.RELAY_PATH, relay.encode(attempt)
            )
        except transport_errors.NotConnected as error:
            raise errors.AgentNotReached("agent not reached") from error
        except transport_errors.TransportError as error:
            raise errors.AnswerCut(str(error)) from error
        if response.status != 200:
            response.close()
            raise errors.NoUpstream(f"agent answered {response.status}")
        reader = frames.make_reader(attempt.attempt_id)
        try:
            first = _read(response, reader)
        except BaseException:
            response.close()
            raise
        match first:
            case frames.Refused():
                response.close()
                raise errors.NoUpstream(
                    first.reason, first.retry_after_s, first.unavailable
                )
            case frames.Rejected(status=status, body=body):
                response.close()
                raise errors.UpstreamRejected(status, body.encode())
            case frames.Failed(reason=reason):
                response.close()
                raise errors.AnswerCut(reason)
        return Answer(upstream.name, response, reader, first)


def _is_unavailable(failure: errors.CoordinationError) -> bool:
    """Returns: whether the upstream accepts no work at all."""
    match failure:
        case errors.AgentNotReached():
            return True
        case errors.NoUpstream(unavailable=unavailable):
            return unavailable
        case _:
            return False


def _read(
    response: http_client.Response, reader: frames.FrameReader
) -> frames.Frame:
    """Read the next frame of the answer.

    Raises:
        errors.AnswerCut: the stream ended or a frame is missing.
    """
    while True:
        try:
            frame = reader.read(response.readline())
        except (
            transport_errors.TransportError,
            protocol_errors.ProtocolError,
        ) as error:
            raise errors.AnswerCut(str(error)) from error
        if frame is not None:
            return frame


def make_forwarder(
    client: http_client.HttpClient,
    clock: clocks.Clock,
    metrics: metrics_module.Metrics,
) -> Forwarder:
    return Forwarder(client, clock, metrics)
