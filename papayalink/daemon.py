"""The papayalinkd program."""

import sys

import result

from papayalink import logs
from papayalink import settings as settings_module

USAGE = "usage: papayalinkd [--check] SETTINGS.json"
EXIT_USAGE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run one process from its settings.

    Returns: exit code, EXIT_USAGE when the settings are not usable.
    """
    words = sys.argv[1:] if arguments is None else arguments
    check_only = "--check" in words
    paths = [word for word in words if word != "--check"]
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
    # A role imports only what it uses, since an agent must stay small.
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


if __name__ == "__main__":
    sys.exit(main())
