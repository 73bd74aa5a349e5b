"""Errors of the platform adapter."""

from papayalink.coordination import upstream_client


class PlatformError(Exception):
    """Base of all errors of the platform adapter."""


class DocumentInvalid(PlatformError):
    """An operator's document is invalid."""


class CallFailed(PlatformError, upstream_client.UpstreamClientError):
    """A call to the platform failed or had no usable answer."""


class ReplicaNotReached(CallFailed, upstream_client.ReplicaNotReached):
    """No connection to the replica could be opened."""


class ReplicaEnded(ReplicaNotReached, upstream_client.ReplicaEnded):
    """The replica refuses connections, or its address is another's now."""
