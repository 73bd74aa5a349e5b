"""The program that runs one role from the settings file of the platform."""

import sys

from papayalink import process_signals


def main() -> int:
    """Returns: exit code."""
    process_signals.hold()
    # The imports take most of the start, in which signals may come.
    from papayalink.platform import launch

    return launch.main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
