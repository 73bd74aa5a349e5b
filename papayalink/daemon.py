"""The papayalinkd program, which runs one process of a deployment."""

import sys

from papayalink import process_signals


def main() -> int:
    """Returns: exit code."""
    process_signals.hold()
    # The imports take most of the start, in which signals may come.
    from papayalink import launch

    return launch.main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
