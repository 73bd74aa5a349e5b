"""The papayalink command-line program."""

import sys

import fire
from fire import decorators

from papayalink.cli import client as clients
from papayalink.cli import commands
from papayalink.cli import errors
from papayalink.cli import traces


class Papayalink:
    """Operates a papayalink deployment.

    Exit codes: 0 success, 1 refused or conflict, 2 wrong usage or invalid
    document, 3 no control member reachable, 4 outcome unknown.

    Args:
        control: console addresses (http://IP:PORT), separated by commas;
            default: the value of PAPAYALINK_CONTROL.
        json: print JSON.
        token_file: file that holds the console token; default: the token
            is the value of PAPAYALINK_TOKEN.
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
        """Validate a document and list all of its problems.

        Args:
            file: path of the document.
        """
        commands.check_document(commands.read_file(file))
        self._print({"problems": []}, f"{file} is valid\n")

    @decorators.SetParseFns(file=str, request_id=str)
    def apply(
        self,
        file: str,
        base: int = None,
        request_id: str = None,
        yes: bool = False,
    ) -> None:
        """Show what a document changes and put it in force.

        Args:
            file: path of the document.
            base: version that the document was edited from; default: the
                version in force.
            request_id: request id of the first attempt, to send the same
                change again.
            yes: do not ask for confirmation.
        """
        _check_number(base, "--base", 0)
        client = self._client()
        data = commands.read_file(file)
        proposal = commands.prepare_change(client, data, base, request_id)
        # A repeated change is sent even if the document in force already
        # equals it: only the outcome tells whether the first attempt or
        # another operator's change put it in force.
        if not proposal.rendered_changes and request_id is None:
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
        """Print the state of the control group and of the processes."""
        status = self._client().status()
        self._print(status, commands.render_json(status))

    @decorators.SetParseFns(process=str)
    def dump(self, process: str) -> None:
        """Print the state dump of one process.

        Args:
            process: IP:PORT on which the process serves its state dump.
        """
        address = commands.parse_address(process, "PROCESS")
        state = clients.get(address, "/debug/state")
        self._print(state, commands.render_json(state))

    @decorators.SetParseFns(upstream=str)
    def drain(
        self, upstream: str, undo: bool = False, yes: bool = False
    ) -> None:
        """Let an upstream finish its requests and send it no new ones.

        Args:
            upstream: name of the upstream.
            undo: let the upstream serve again.
            yes: do not ask for confirmation.
        """
        client = self._client()
        proposal = commands.prepare_drain(client, upstream, not undo)
        if proposal is None:
            self._print({"outcome": "unchanged"}, "no changes\n")
            return
        self._submit(client, proposal, yes)

    def history(self, count: int = 20) -> None:
        """Print the latest changes.

        Args:
            count: maximum number of changes.
        """
        _check_number(count, "--count", 1)
        versions = self._client().history(count)
        self._print(versions, commands.render_history(versions))

    @decorators.SetParseFns(workspace=str, key=str)
    def call(self, workspace: str, key: str) -> None:
        """Print the ledger record of a protected call.

        Args:
            workspace: name of the workspace.
            key: idempotency key of the call.
        """
        record = self._client().call(workspace, key)
        self._print(record, commands.render_json(record))

    @decorators.SetParseFns(call_id=str)
    def trace(self, call_id: str, *logs: str) -> None:
        """Print the log lines that explain what happened to one call.

        Args:
            call_id: id that the caller sent.
            logs: log files of gateways and authorities.
        """
        texts = [
            text
            for log in logs
            for text in commands.read_file(log)
            .decode(errors="replace")
            .splitlines()
        ]
        matches = traces.trace(call_id, texts)
        if not matches:
            raise errors.Refused(f"no log line is about the call {call_id}")
        self._print(
            [line.fields for line in matches],
            "".join(f"{line.text}\n" for line in matches),
        )

    def _client(self) -> clients.Client:
        return commands.make_client(self._control, self._token_file)

    def _submit(
        self,
        client: clients.Client,
        proposal: commands.Proposal,
        is_confirmed: bool,
    ) -> None:
        print(
            proposal.rendered_changes or "no changes\n",
            end="",
            file=sys.stderr,
        )
        if not is_confirmed:
            _confirm()
        outcome = commands.submit(client, proposal)
        self._print(outcome, f"accepted as version {outcome['version']}\n")

    def _print(self, value: object, text: str) -> None:
        print(commands.render_json(value) if self._json else text, end="")


def _check_number(value: object, option: str, minimum: int) -> None:
    if value is not None and (type(value) is not int or value < minimum):
        raise errors.Invalid(
            f"{option} {value} is not valid; give a whole number of at least"
            f" {minimum}"
        )


def _confirm() -> None:
    if not sys.stdin.isatty():
        raise errors.Invalid(
            "not confirmed; give --yes to apply without a terminal"
        )
    print("Apply these changes? [y/N] ", end="", file=sys.stderr, flush=True)
    if sys.stdin.readline().strip().lower() not in ("y", "yes"):
        raise errors.Refused("not confirmed; nothing was changed")


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Args:
        arguments: command line without the program name; None for that of
            the process.

    Returns:
        Exit code.
    """
    try:
        fire.Fire(Papayalink, command=arguments, name="papayalink")
    except errors.CliError as error:
        print(error, file=sys.stderr)
        options = sys.argv[1:] if arguments is None else arguments
        if "--json" in options:
            body = {"error": error.code, "text": str(error)} | error.details
            print(commands.render_json(body), end="")
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
