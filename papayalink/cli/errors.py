"""Errors of the command-line tool, with their exit codes."""


class CliError(Exception):
    """Base class of all errors; the text is printed to standard error.

    Attributes:
        exit_code: exit code of the tool.
        code: name of the error in the output of --json.
        details: further fields of the output of --json.
    """

    exit_code = 1
    code = "failed"

    def __init__(self, text: str, details: dict | None = None) -> None:
        super().__init__(text)
        self.details = details or {}


class Refused(CliError):
    """The request was refused, or it conflicts with another change."""

    exit_code = 1
    code = "refused"


class Invalid(CliError):
    """The command line or the document is invalid."""

    exit_code = 2
    code = "invalid"


class NotReachable(CliError):
    """No process served the request; nothing was changed."""

    exit_code = 3
    code = "not_reachable"


class OutcomeUnknown(CliError):
    """The change was sent, but it is unknown whether it was accepted."""

    exit_code = 4
    code = "outcome_unknown"
