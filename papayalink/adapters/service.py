"""Client of plain services, which run no model, over HTTP."""

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import errors
from papayalink.adapters import replies

# A sound service may take no connections for up to 2 s. A SYN that it drops
# is sent again after 1 s and 3 s. One that has ended refuses at once.
CONNECT_TIMEOUT_S = 3.5

# A protected call that takes longer gets the outcome "unknown", which a person
# has to resolve, so the limit is far above the usual duration of a call.
READ_TIMEOUT_S = 30.0


class Answered(msgspec.Struct, frozen=True, tag="answered"):
    """Reply of the service, whatever its status."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class NotSent(msgspec.Struct, frozen=True, tag="not_sent"):
    """No byte of the call was sent."""

    reason: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="outcome_unknown"):
    """At least part of the call was sent, but no complete reply arrived."""

    reason: str


Outcome = Answered | NotSent | OutcomeUnknown


class ServiceLoad(msgspec.Struct, frozen=True):
    """Load that a service reports; it lags behind the actual load."""

    running: int
    waiting: int


class Service:
    """One replica of a plain service.

    Each call uses a new connection and is sent at most once.
    """

    __slots__ = ("_connector", "_read_timeout_s")

    def __init__(
        self, connector: connection.Connector, read_timeout_s: float
    ) -> None:
        self._connector = connector
        self._read_timeout_s = read_timeout_s

    def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> Outcome:
        """Make one call.

        Args:
            method: HTTP method.
            target: path and query.
            headers: headers, without Host, Connection and Content-Length.
            body: body of the call.

        Returns: the outcome of the call; failures of the service or of the
            connection are outcomes too and raise nothing.
        """
        try:
            reply = self._connector.call(
                method, target, self._read_timeout_s, headers, body
            )
        except (errors.Unreachable, errors.InvalidRequest) as error:
            return NotSent(f"{type(error).__name__}: {error}")
        except errors.Interrupted as error:
            return OutcomeUnknown(str(error))
        return Answered(reply.status, reply.headers, reply.body)

    def reachable(self) -> bool:
        """Returns: whether the replica accepts connections."""
        return self._connector.reachable()

    def load(self) -> ServiceLoad:
        """Ask the service for its load.

        Raises: AdapterError when no valid reply was received.
        """
        reply = self._connector.call("GET", "/load", self._read_timeout_s)
        return replies.decode_ok(reply, ServiceLoad)


def make_service(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    read_timeout_s: float = READ_TIMEOUT_S,
) -> Service:
    """Make the adapter of one service replica.

    Args:
        address: HOST:PORT of the replica.
        connect_timeout_s: time allowed for connecting.
        read_timeout_s: time without progress after which the outcome of a
            call counts as unknown.
    """
    return Service(
        connection.Connector(address, connect_timeout_s), read_timeout_s
    )
