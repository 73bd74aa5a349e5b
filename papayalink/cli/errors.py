"""Errors of the command-line tool, with their exit codes."""


class CliError(Exception):
    """Base of all errors of the tool; the text goes to standard error.

    Attributes:
        code: name of the error in JSON.
        details: further fields in JSON.
    """

    exit_code = 1
    code = "failed"

    def __init__(self, text: str, details: dict | None = None) -> None:
        super().__init__(text)
        self.details = details or {}


class Refused(CliError):
    """The system refused the request, or another change won."""

    exit_code = 1
    code = "refused"


class Invalid(CliError):
    """Wrong usage or an invalid document."""

    exit_code = 2
    code = "invalid"


class NotReachable(CliError):
    """No control member answered; nothing was changed."""

    exit_code = 3
    code = "not_reachable"


class OutcomeUnknown(CliError):
    """The change was sent, and whether it was accepted is not known."""

    exit_code = 4
    code = "outcome_unknown"
