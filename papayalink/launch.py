"""Starts one process of a deployment from its settings file."""

import sys

import result

from papayalink import logs
from papayalink import settings as settings_module

USAGE = "usage: papayalinkd [--check] SETTINGS.json"
EXIT_USAGE = 2


def main(options: list[str]) -> int:
    """Run one process, or only check its settings.

    Args:
        options: command line without the program name.
    Returns: exit code; EXIT_USAGE for a wrong command line or settings with
        problems.
    """
    check_only = "--check" in options
    paths = [option for option in options if option != "--check"]
    if len(paths) != 1 or paths[0].startswith("-"):
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    match settings_module.load(paths[0]):
        case result.Err(problems):
            for problem in problems:
                print(
                    f"{problem.path}: {problem.text}; {problem.fix}",
                    file=sys.stderr,
                )
            return EXIT_USAGE
        case result.Ok(settings):
            return 0 if check_only else _run(settings)


def _run(settings: settings_module.Settings) -> int:
    logs.configure(settings.name, settings.role)
    # Only the modules of this role are imported, which keeps the process of an
    # agent small.
    match settings.role:
        case "entry":
            from papayalink.roles.entry import process
        case "agent":
            from papayalink.roles.agent import process
        case "store":
            from papayalink.roles.store import process
        case "control":
            from papayalink.roles.control import process
    from papayalink.roles import node

    return process.make_process(node.make_node(settings)).run()
