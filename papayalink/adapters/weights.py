"""Client of the weight store."""

from urllib import parse

from papayalink.adapters import connection
from papayalink.adapters import errors

CONNECT_TIMEOUT_S = 1.0

# The store slows down when several engines read from it, but it never stays
# silent for seconds.
READ_TIMEOUT_S = 10.0


class WeightStore:
    """Store of model weights, whose total read rate is limited."""

    __slots__ = ("_connector", "_read_timeout_s")

    def __init__(
        self, connector: connection.Connector, read_timeout_s: float
    ) -> None:
        self._connector = connector
        self._read_timeout_s = read_timeout_s

    def has(self, weight_version: str) -> bool:
        """Look up a weight version without reading its content.

        Returns: whether the store has the version.

        Raises: Unreachable, Interrupted, and Rejected for an error status
            other than 404.
        """
        exchange = self._connector.open(
            "GET",
            f"/weights/{parse.quote(weight_version, safe='')}",
            self._read_timeout_s,
        )
        try:
            exchange.wait_for_head()
            if exchange.status not in (200, 404):
                raise errors.Rejected(exchange.status, exchange.read())
            return exchange.status == 200
        except connection.FAILURES as error:
            raise errors.Interrupted(repr(error)) from error
        finally:
            # Makes the store stop sending, so that its read rate remains
            # available to engines that load weights.
            exchange.close()


def make_weight_store(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    read_timeout_s: float = READ_TIMEOUT_S,
) -> WeightStore:
    """Make the adapter of the weight store.

    Args:
        address: HOST:PORT of the store.
        connect_timeout_s: time allowed for connecting.
        read_timeout_s: time allowed without progress in a call.
    """
    return WeightStore(
        connection.Connector(address, connect_timeout_s), read_timeout_s
    )
