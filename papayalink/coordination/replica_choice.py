"""What a call needs of a replica, and the replica chosen for it."""

import msgspec

from papayalink.coordination import fleet_member
from papayalink.protocol import calls
from papayalink.state import traffic


class SelectionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call for which a replica is to be chosen.

    Attributes:
        isolated: workspace whose cached parts are not shared, "" for others.
        memory_tokens: most tokens of memory that the call will hold.
        capacity_tokens: memory of a replica in tokens, 0 when not known.
        yields: whether there may be more urgent calls, which may preempt it.
        software: software version that the replica must have, None for any;
            no replica is known to have the version "".
        settled: software versions that are preferred to others.
    """

    service: str
    model: str = ""
    parts: tuple[calls.Part, ...] = ()
    prompt_tokens: int = 0
    urgency: int = 5
    isolated: str = ""
    memory_tokens: int = 0
    capacity_tokens: int = 0
    yields: bool = False
    software: str | None = None
    settled: frozenset[str] = frozenset()

    def has_software(self, member: fleet_member.Member) -> bool:
        """Returns: whether a replica has the software that is needed."""
        if self.software is None:
            return True
        return bool(self.software) and (
            member.replica.software == self.software
        )


class Choice(msgspec.Struct, frozen=True):
    """A chosen replica with predicted times.

    Attributes:
        wait_s: predicted time to first token.
        own_s: the part of `wait_s` for prefilling the prompt itself.
    """

    member: fleet_member.Member
    wait_s: float = 0.0
    own_s: float = 0.0


def make_salt(request: SelectionRequest, version: int) -> str:
    """Returns: salt of the keys under which parts are cached for a call.

    It contains the weight version, since neither replicas nor stores separate
    the parts of different versions, and the workspace of isolated callers.
    """
    return f"{request.model}@{version}/{request.isolated}"


def make_selection_request(
    call: calls.Call,
    service: str,
    urgency: int,
    workspace: traffic.Workspace | None,
    engine: traffic.Engine | None = None,
    yields: bool = False,
) -> SelectionRequest:
    """Returns: the selection request of a call.

    Args:
        engine: engine data of the service's replicas, None for a plain
            service.
        yields: whether there may be more urgent prompts.
    """
    isolated = workspace is not None and workspace.isolated
    return SelectionRequest(
        service=service,
        model=call.model,
        parts=call.parts,
        prompt_tokens=call.prompt_tokens,
        urgency=urgency,
        isolated=workspace.name if isolated else "",
        memory_tokens=call.prompt_tokens + call.expected_tokens,
        capacity_tokens=engine.cache_tokens if engine is not None else 0,
        yields=yields,
    )
