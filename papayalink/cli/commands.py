"""The commands of the tool, apart from command-line parsing."""

import difflib
import getpass
import json
import os
import pathlib
import secrets
import time

import msgspec
import result

from papayalink.cli import client as clients
from papayalink.cli import errors
import papayalink.shape as shape
from papayalink.state import validation

CONTROL_VARIABLE = "PAPAYALINK_CONTROL"
TOKEN_VARIABLE = "PAPAYALINK_TOKEN"
USER_VARIABLE = "PAPAYALINK_USER"


class Proposal(msgspec.Struct, frozen=True):
    """A change that the operator has not confirmed yet.

    Attributes:
        request_id: identifies the change, also when it is sent again.
        base_version: version that the document was edited from.
        document: the whole document as JSON.
        rendered_changes: readable differences from the document in force,
            empty if there are none.
    """

    request_id: str
    base_version: int
    document: bytes
    rendered_changes: str


def make_client(control: str | None, token_file: str | None) -> clients.Client:
    """Make a client from command-line options and the environment.

    Args:
        control: console addresses separated by commas, or None.
        token_file: path of the file with the console token, or None.

    Raises:
        errors.Invalid: there is no valid address, or the token file cannot
            be read.
    """
    addresses_text = control or os.environ.get(CONTROL_VARIABLE, "")
    addresses = [
        parse_address(part.strip(), "--control")
        for part in addresses_text.split(",")
        if part.strip()
    ]
    if not addresses:
        raise errors.Invalid(
            "no control member is given; give --control http://IP:PORT or set"
            f" {CONTROL_VARIABLE}"
        )
    token = os.environ.get(TOKEN_VARIABLE, "")
    if token_file:
        token = read_file(token_file).decode(errors="replace").strip()
    return clients.Client(addresses, token)


def parse_address(text: str, option: str) -> str:
    """Returns: IP:PORT of "http://IP:PORT" or "IP:PORT".

    Raises:
        errors.Invalid: the text has neither form.
    """
    address = text.removeprefix("http://").rstrip("/")
    problems = []
    shape.check_address(address, option, problems)
    if problems:
        raise errors.Invalid(str(problems[0]))
    return address


def read_file(path: str) -> bytes:
    """Returns: the content of a file.

    Raises:
        errors.Invalid: the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.Invalid(
            f"{path}: not readable: {error.strerror}; give a file that this"
            " user can read"
        ) from error


def check_document(data: bytes) -> None:
    """Validate a document.

    Raises:
        errors.Invalid: lists all problems, one per line.
    """
    match validation.validate(data):
        case result.Err(problems):
            raise errors.Invalid(
                validation.render(problems).rstrip("\n"),
                {"problems": msgspec.to_builtins(problems)},
            )


def prepare_change(
    client: clients.Client,
    document: bytes,
    base_version: int | None,
    request_id: str | None,
) -> Proposal:
    """Validate a document and compare it with the one in force.

    Args:
        document: the whole document as JSON.
        base_version: version that the document was edited from; None for
            the version in force.
        request_id: that of the first attempt when the change is sent
            again, None for a new change.

    Raises:
        errors.Invalid: the document has problems.
    """
    check_document(document)
    diff = client.diff(document)
    return Proposal(
        request_id=request_id or secrets.token_hex(16),
        base_version=diff["version"] if base_version is None else base_version,
        document=document,
        rendered_changes=diff["text"],
    )


def prepare_drain(
    client: clients.Client, upstream: str, draining: bool
) -> Proposal | None:
    """Prepare a change that sets or clears `draining` of an upstream.

    Args:
        draining: whether the upstream is to drain; False lets it serve
            again.

    Returns:
        The change, or None if the document already has this value.

    Raises:
        errors.Invalid: there is no such upstream.
    """
    current = client.document()
    document = current["document"]
    by_name = {entry["name"]: entry for entry in document["upstreams"]}
    entry = by_name.get(upstream)
    if entry is None:
        close_matches = difflib.get_close_matches(
            upstream, by_name, n=3, cutoff=0.5
        )
        hint = (
            f"did you mean {' or '.join(close_matches)}?"
            if close_matches
            else "list the upstreams with papayalink show"
        )
        raise errors.Invalid(f"there is no upstream {upstream!r}; {hint}")
    if entry["draining"] == draining:
        return None
    entry["draining"] = draining
    data = msgspec.json.encode(document)
    return prepare_change(client, data, current["version"], None)


def submit(client: clients.Client, proposal: Proposal) -> dict:
    """Send a change.

    Returns:
        The JSON outcome of an accepted change.

    Raises:
        errors.Refused: another change was accepted first, or the request
            id belongs to another change.
        errors.Invalid: the document has problems.
        errors.OutcomeUnknown: gives the options with which to send the
            change again.
    """
    try:
        reply = client.apply(
            proposal.request_id,
            proposal.base_version,
            proposal.document,
            author(),
        )
    except errors.OutcomeUnknown as error:
        raise errors.OutcomeUnknown(
            f"{error}\napply the same file again with --request-id"
            f" {proposal.request_id} --base {proposal.base_version}; it is"
            " applied at most once",
            {
                "request_id": proposal.request_id,
                "base_version": proposal.base_version,
            },
        ) from error
    match reply.body:
        case {"outcome": "accepted"}:
            return reply.body
        case {"outcome": "conflict"} as body:
            raise errors.Refused(
                f"conflict: the change started from version"
                f" {proposal.base_version}, but version {body['version']} by"
                f" {body['author']} is in force; changes since then:\n"
                f"{body['changes']}"
                "edit the document in force (papayalink show) and apply"
                " again",
                body,
            )
        case {"outcome": "request_id_reused"}:
            raise errors.Refused(
                f"--request-id {proposal.request_id} belongs to another"
                " change; give --base and the file of the first attempt, or"
                " leave --request-id out for a new change",
                reply.body,
            )
        case {"outcome": "invalid"}:
            raise errors.Invalid(clients.describe_error(reply), reply.body)
        case _:
            raise errors.Refused(
                "the console refused the request:"
                f" {clients.describe_error(reply)}"
            )


def author() -> str:
    """Returns: name of the operator who makes the change."""
    try:
        return os.environ.get(USER_VARIABLE) or getpass.getuser()
    except (KeyError, OSError):
        return "operator"


def render_history(versions: list[dict]) -> str:
    """Returns: the history as readable text, in the given order."""
    parts = []
    for entry in versions:
        time_text = time.strftime(
            "%Y-%m-%d %H:%M:%S", time.gmtime(entry["at_ms"] / 1000)
        )
        parts.append(
            f"version {entry['version']}, {time_text} UTC, {entry['author']}\n"
        )
        parts.extend(f"  {line}\n" for line in entry["summary"].splitlines())
    return "".join(parts)


def render_json(value: object) -> str:
    """Returns: a value as indented JSON."""
    return json.dumps(value, indent=2) + "\n"
