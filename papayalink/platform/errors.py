"""Errors of the platform adapter."""

from papayalink.coordination import upstream_client


class PlatformError(Exception):
    """Base of all errors of the platform adapter."""


class DocumentInvalid(PlatformError):
    """An operator's document cannot be put in force."""


class CallFailed(PlatformError, upstream_client.UpstreamClientError):
    """A call to the platform had no usable answer."""
