"""The program papayalink."""

import sys

import fire
from fire import decorators

from papayalink.cli import client as clients
from papayalink.cli import commands
from papayalink.cli import errors
from papayalink.cli import traces


class Papayalink:
    """Operates a papayalink deployment.

    Exit codes: 0 done, 1 refused or conflict, 2 wrong usage or invalid
    document, 3 no control member reachable, 4 outcome unknown.

    Args:
        control: console addresses (http://IP:PORT), separated by commas;
            PAPAYALINK_CONTROL when left out.
        json: print JSON.
        token_file: file with the console token; the token itself is taken
            from PAPAYALINK_TOKEN when left out.
    """

    __slots__ = ("_control", "_json", "_token_file")

    def __init__(
        self,
        *,
        control: str = None,
        json: bool = False,
        token_file: str = None,
    ) -> None:
        self._control = control
        self._json = json
        self._token_file = token_file

    @decorators.SetParseFns(file=str)
    def validate(self, file: str) -> None:
        """Check a document and list all of its problems.

        Args:
            file: path of the document.
        """
        commands.check(commands.read_file(file))
        self._print({"problems": []}, f"{file} is valid\n")

    @decorators.SetParseFns(file=str, request_id=str)
    def apply(
        self,
        file: str,
        base: int = None,
        request_id: str = None,
        yes: bool = False,
    ) -> None:
        """Show the changes of a document and put it in force.

        Args:
            file: path of the document.
            base: version that the document started from; the version in
                force when left out.
            request_id: that of the first attempt, for a resend.
            yes: do not ask for confirmation.
        """
        _check_number(base, "--base", 0)
        client = self._client()
        data = commands.read_file(file)
        proposal = commands.propose(client, data, base, request_id)
        # A resend is sent even when the first attempt is in force already,
        # since only its outcome tells whose change that was.
        if not proposal.text and request_id is None:
            self._print({"outcome": "unchanged"}, "no changes\n")
            return
        self._submit(client, proposal, yes)

    def show(self) -> None:
        """Print the document in force."""
        current = self._client().document()
        if not self._json:
            print(f"version {current['version']}", file=sys.stderr)
        self._print(current, commands.render_json(current["document"]))

    def status(self) -> None:
        """Print the state of the group and its processes."""
        status = self._client().status()
        self._print(status, commands.render_json(status))

    @decorators.SetParseFns(process=str)
    def dump(self, process: str) -> None:
        """Print the state of one process.

        Args:
            process: IP:PORT of the HTTP interface of the process.
        """
        address = commands.parse_address(process, "PROCESS")
        state = clients.get(address, "/debug/state")
        self._print(state, commands.render_json(state))

    @decorators.SetParseFns(upstream=str)
    def drain(
        self, upstream: str, undo: bool = False, yes: bool = False
    ) -> None:
        """Let an upstream finish its work and give it no more.

        Args:
            upstream: name of the upstream.
            undo: give it work again.
            yes: do not ask for confirmation.
        """
        client = self._client()
        proposal = commands.propose_drain(client, upstream, not undo)
        if proposal is None:
            self._print({"outcome": "unchanged"}, "no changes\n")
            return
        self._submit(client, proposal, yes)

    def history(self, count: int = 20) -> None:
        """Print the last changes.

        Args:
            count: how many.
        """
        _check_number(count, "--count", 1)
        versions = self._client().history(count)
        self._print(versions, commands.render_history(versions))

    @decorators.SetParseFns(workspace=str, key=str)
    def call(self, workspace: str, key: str) -> None:
        """Print the record of a protected call.

        Args:
            workspace: name of the workspace.
            key: idempotency key of the call.
        """
        record = self._client().call(workspace, key)
        self._print(record, commands.render_json(record))

    @decorators.SetParseFns(call_id=str)
    def trace(self, call_id: str, *logs: str) -> None:
        """Print what logs tell of one call, and what may have caused it.

        Args:
            call_id: id that the caller sent.
            logs: files with the output of gateways and authorities.
        """
        texts = [
            text
            for log in logs
            for text in commands.read_file(log)
            .decode(errors="replace")
            .splitlines()
        ]
        found = traces.trace(call_id, texts)
        if not found:
            raise errors.Refused(f"no line on the call {call_id}")
        self._print(
            [line.fields for line in found],
            "".join(f"{line.text}\n" for line in found),
        )

    def _client(self) -> clients.Client:
        return commands.make_client(self._control, self._token_file)

    def _submit(
        self,
        client: clients.Client,
        proposal: commands.Proposal,
        is_confirmed: bool,
    ) -> None:
        print(proposal.text or "no changes\n", end="", file=sys.stderr)
        if not is_confirmed:
            _confirm()
        outcome = commands.submit(client, proposal)
        self._print(outcome, f"accepted as version {outcome['version']}\n")

    def _print(self, value: object, text: str) -> None:
        print(commands.render_json(value) if self._json else text, end="")


def _check_number(value: object, option: str, least: int) -> None:
    if value is not None and (type(value) is not int or value < least):
        raise errors.Invalid(
            f"{option} {value} is not a number; give {least} or more"
        )


def _confirm() -> None:
    if not sys.stdin.isatty():
        raise errors.Invalid("not confirmed; give --yes")
    print("Apply these changes? [y/N] ", end="", file=sys.stderr, flush=True)
    if sys.stdin.readline().strip().lower() not in ("y", "yes"):
        raise errors.Refused("not confirmed; nothing was changed")


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Args:
        arguments: without the program name; those of the process if None.

    Returns:
        Exit code.
    """
    try:
        fire.Fire(Papayalink, command=arguments, name="papayalink")
    except errors.CliError as error:
        print(error, file=sys.stderr)
        given = sys.argv[1:] if arguments is None else arguments
        if "--json" in given:
            body = {"error": error.code, "text": str(error)} | error.details
            print(commands.render_json(body), end="")
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
