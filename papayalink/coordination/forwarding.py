"""Sends a model request to an agent and reads its answer."""

from collections.abc import Callable
from collections.abc import Iterator
import uuid

import msgspec

from papayalink import logs
from papayalink import metrics as metrics_module
from papayalink.coordination import errors
from papayalink.protocol import errors as protocol_errors
from papayalink.protocol import frames
from papayalink.protocol import relay
from papayalink.state import document as documents
from papayalink.transport import errors as transport_errors
from papayalink.transport import http_client

# Each further attempt adds its own delay to the first token.
MAX_ATTEMPTS = 3

Choose = Callable[[frozenset[str]], documents.Upstream | None]


class Answer:
    """An answer whose first frame has arrived.

    Args:
        response: connection to the agent.
        reader: checks the frames.
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
        """The End frame, once the whole answer was read."""
        return self._end

    @property
    def dropped(self) -> int:
        """Frames that did not belong to this answer."""
        return self._reader.dropped

    def __iter__(self) -> Iterator[str]:
        """Yields: the upstream's text, part by part.

        Raises:
            errors.AnswerCut: the answer stopped before its end.
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
        # The connection can be used again once its body is read.
        try:
            self._response.read()
        except transport_errors.TransportError:
            self._response.close()


class Forwarder:
    """Finds an agent that takes a request.

    Args:
        client: sends signed requests.
        metrics: counts attempts and refusals.
    """

    __slots__ = ("_client", "_metrics", "_log")

    def __init__(
        self,
        client: http_client.HttpClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._log = logs.get_logger()

    def open(
        self,
        request: relay.RelayRequest,
        choose: Choose,
        report: Callable[[str, bool], None] = lambda upstream, ok: None,
    ) -> Answer:
        """Send a request, to another agent when one does not take it.

        Args:
            request: its attempt id is replaced for each attempt.
            choose: next upstream, given the names already tried.
            report: told for each attempt whether the agent answered.
        Returns: the answer, from its first frame on.
        Raises:
            errors.NoUpstream: no agent ran the request.
            errors.AnswerCut: an agent took it and was lost.
            errors.UpstreamRejected: the upstream does not accept it.
        """
        tried: set[str] = set()
        refusal = errors.NoUpstream("no upstream for this model")
        while len(tried) < MAX_ATTEMPTS:
            upstream = choose(frozenset(tried))
            if upstream is None:
                break
            tried.add(upstream.name)
            try:
                answer = self._attempt(request, upstream)
            except errors.NoUpstream as error:
                refusal = error
                report(upstream.name, error.retry_after_s > 0)
                self._metrics.count("attempts_refused", reason=error.reason)
                continue
            except errors.AnswerCut:
                report(upstream.name, False)
                raise
            report(upstream.name, True)
            return answer
        raise refusal

    def _attempt(
        self, request: relay.RelayRequest, upstream: documents.Upstream
    ) -> Answer:
        attempt = msgspec.structs.replace(request, attempt_id=uuid.uuid4().hex)
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
            raise errors.NoUpstream("agent not reached", 0.0) from error
        except transport_errors.TransportError as error:
            raise errors.AnswerCut(str(error)) from error
        if response.status != 200:
            response.close()
            raise errors.NoUpstream(f"agent answered {response.status}")
        reader = frames.make_reader(attempt.attempt_id)
        try:
            first = _read(response, reader)
        except errors.AnswerCut:
            response.close()
            raise
        match first:
            case frames.Refused(reason=reason, retry_after_s=retry_after_s):
                response.close()
                raise errors.NoUpstream(reason, retry_after_s)
            case frames.Rejected(status=status, body=body):
                response.close()
                raise errors.UpstreamRejected(status, body.encode())
            case frames.Failed(reason=reason):
                response.close()
                raise errors.AnswerCut(reason)
        return Answer(upstream.name, response, reader, first)


def _read(
    response: http_client.Response, reader: frames.FrameReader
) -> frames.Frame:
    """Read the next frame of the answer.

    Raises:
        errors.AnswerCut: the stream stopped or a frame is missing.
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
    client: http_client.HttpClient, metrics: metrics_module.Metrics
) -> Forwarder:
    return Forwarder(client, metrics)
