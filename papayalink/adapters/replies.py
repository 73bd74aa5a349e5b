"""Decoding of whole replies of outside systems."""

from typing import TypeVar

import msgspec

from papayalink.adapters import connection
from papayalink.adapters import errors

_Kind = TypeVar("_Kind")


def decode(reply: connection.Reply, kind: type[_Kind]) -> _Kind:
    """Returns: the JSON body; raises InvalidReply when it is not one."""
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.InvalidReply(str(error)) from error


def decode_ok(reply: connection.Reply, kind: type[_Kind]) -> _Kind:
    """Returns: the JSON body; raises Rejected for a status but 200."""
    if reply.status != 200:
        raise errors.Rejected(reply.status, reply.body)
    return decode(reply, kind)
