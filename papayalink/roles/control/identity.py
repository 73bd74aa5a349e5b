"""Identity of a control member, and how it joins the group.

A member that lost its disk no longer knows its votes, so it must not rejoin
under its old id. Each data folder therefore has a random token. The members
record the first token of each other member and refuse any other token.
"""

from collections.abc import Callable
import os
import secrets

import gevent
import msgspec

from papayalink import logs
from papayalink.protocol import messages
from papayalink.transport import errors
from papayalink.transport import rpc

_FILE = "identity.json"
_RETRY_S = 0.5


class Content(msgspec.Struct):
    """Content of the identity file.

    Attributes:
        member_id: id in the group.
        token: random token of the data folder.
        admitted: whether the member may use its log.
        tokens: first token of each other member, by name.
        founders: first members of the group, if this one founded it.
    """

    member_id: str
    token: str
    admitted: bool = False
    tokens: dict[str, str] = {}
    founders: tuple[str, ...] = ()


class Identity:
    """Identity of a member, stored in a file in the data folder.

    Args:
        folder: data folder.
        name: name of the member in the settings.
    """

    __slots__ = ("_path", "_name", "_content")

    def __init__(self, folder: str, name: str) -> None:
        self._path = os.path.join(folder, _FILE)
        self._name = name
        self._content = self._read()

    @property
    def member_id(self) -> str:
        return self._content.member_id

    @property
    def token(self) -> str:
        return self._content.token

    @property
    def admitted(self) -> bool:
        return self._content.admitted

    @property
    def has_first_id(self) -> bool:
        """Whether this is the first id of a member of this name."""
        return self._content.member_id == self._name

    @property
    def founders(self) -> tuple[str, ...]:
        """First members of the group, empty if this one did not found it."""
        return self._content.founders

    def admit(self, founders: tuple[str, ...] = ()) -> None:
        """Record that the member may use its log.

        A control member does so once every other member knows its token, an
        authority when it founds the group.
        """
        self._replace(
            msgspec.structs.replace(
                self._content, admitted=True, founders=founders
            )
        )

    def renew(self) -> None:
        """Create a new id, under which the member joins as a learner."""
        token = secrets.token_hex(16)
        self._replace(Content(f"{self._name}.{token[:8]}", token, True))

    def register_token(self, name: str, token: str) -> bool:
        """Record another member's first token.

        Returns: whether that member may join under its first id.
        """
        if not self.has_first_id:
            # This member joined an existing group, so its record of first
            # tokens is incomplete.
            return False
        known = self._content.tokens.get(name)
        if known is None:
            tokens = {**self._content.tokens, name: token}
            self._replace(
                msgspec.structs.replace(self._content, tokens=tokens)
            )
            return True
        return known == token

    def _read(self) -> Content:
        try:
            with open(self._path, "rb") as file:
                return msgspec.json.decode(file.read(), type=Content)
        except FileNotFoundError:
            content = Content(self._name, secrets.token_hex(16))
        self._write(content)
        return content

    def _replace(self, content: Content) -> None:
        # Written first: what a restart would forget must not be answered.
        self._write(content)
        self._content = content

    def _write(self, content: Content) -> None:
        os.makedirs(os.path.dirname(self._path), exist_ok=True)
        temporary = self._path + ".tmp"
        with open(temporary, "wb") as file:
            file.write(msgspec.json.encode(content))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)
        folder = os.open(os.path.dirname(self._path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class MemoryIdentity(Identity):
    """Identity of a member without a disk: a new token at each start."""

    __slots__ = ()

    def _read(self) -> Content:
        return Content(self._name, secrets.token_hex(16))

    def _write(self, content: Content) -> None:
        pass


def introduce(
    identity: Identity,
    name: str,
    others: list[str],
    client: rpc.RpcClient,
    stopped: Callable[[], bool],
) -> None:
    """Find out under which id this member takes part.

    Waits until every other member has answered, because a member that cannot
    be reached may be the only one that knows of an earlier data folder.

    Args:
        identity: identity of this member.
        name: name of this member in the settings.
        others: RPC addresses of all other members.
        client: calls the other members.
        stopped: checked before each round; ends the wait when it is true.
    """
    log = logs.get_logger()
    message = messages.Introduce(name, identity.token)
    waiting = set(others)
    while waiting and not stopped():
        for address in sorted(waiting):
            try:
                client.call(address, "Introduce", message)
            except errors.RpcRefused as error:
                if error.code == "refused":
                    identity.renew()
                    log.warning(
                        "joining_as_learner", member_id=identity.member_id
                    )
                    return
            except errors.TransportError as error:
                log.info("member_not_reached", address=address, reason=error)
            else:
                waiting.discard(address)
        if waiting:
            gevent.sleep(_RETRY_S)
    if not waiting:
        identity.admit()


def make_identity(folder: str | None, name: str) -> Identity:
    """Create the identity of a member with or without a data folder."""
    if folder is None:
        return MemoryIdentity("", name)
    return Identity(folder, name)
