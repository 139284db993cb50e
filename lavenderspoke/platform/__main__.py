"""Runs an entry on the platform: `python -m lavenderspoke.platform`."""

import signal
import sys


def main() -> int:
    """Run the entry and return its exit status."""
    # The platform may send SIGHUP while the process still starts, and would end
    # it: imports alone take some 0.2 s. The settings are read after this, so
    # there is nothing to reload yet. The daemon sets its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lavenderspoke.platform import daemon

    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
