"""Decoding of JSON replies of outside systems."""

from typing import TypeVar

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import errors

_Kind = TypeVar("_Kind")


def decode(reply: connection.Reply, reply_type: type[_Kind]) -> _Kind:
    """Returns: the decoded JSON body; raises InvalidReply."""
    try:
        return msgspec.json.decode(reply.body, type=reply_type)
    except msgspec.MsgspecError as error:
        raise errors.InvalidReply(str(error)) from error


def decode_ok(reply: connection.Reply, reply_type: type[_Kind]) -> _Kind:
    """Like decode(), but raises Rejected when the status is not 200."""
    if reply.status != 200:
        raise errors.Rejected(reply.status, reply.body)
    return decode(reply, reply_type)
