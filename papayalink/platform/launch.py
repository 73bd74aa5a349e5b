"""Starts one role from the settings file of the platform."""

import os
import sys

import result

from papayalink import logs
from papayalink import node_settings
from papayalink.platform import dialect
from papayalink.platform import document
from papayalink.platform import replicas
from papayalink.roles import node as nodes

SETTINGS_VARIABLE = "PAPAYALINK_CONFIG"
USAGE = "usage: daemon [--check] gateway|authority"
EXIT_USAGE = 2


def main(options: list[str]) -> int:
    """Run one process from its settings.

    Args:
        options: command line without the program name.

    Returns: exit code, EXIT_USAGE when the settings are invalid.
    """
    check_only = "--check" in options
    roles = [option for option in options if option != "--check"]
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if len(roles) != 1 or not path:
        print(
            f"{USAGE}; {SETTINGS_VARIABLE} must name a file", file=sys.stderr
        )
        return EXIT_USAGE
    match node_settings.load(path, roles[0]):
        case result.Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return EXIT_USAGE
        case result.Ok(settings):
            return 0 if check_only else _run(settings, path)


def _run(settings: node_settings.NodeSettings, path: str) -> int:
    logs.configure(settings.name, settings.role, sys.stdout)
    node = nodes.make_node(settings)
    platform = replicas.make_platform(settings.platform_address)
    match settings:
        case node_settings.Gateway():
            from papayalink.roles.gateway import process

            return process.make_process(
                node,
                path,
                dialect.make_dialect(),
                document.translate,
                platform,
            ).run()
        case node_settings.Authority():
            from papayalink.platform import operator_api
            from papayalink.platform import stores
            from papayalink.roles.authority import process

            return process.make_process(
                node,
                path,
                operator_api.make_application,
                platform,
                document.translate,
                stores.make_store_reader,
            ).run()
