"""Runs an entry on the platform: `python -m lavenderspoke.platform`.

With `--check FILE...` it names every mistake in such settings files instead.
"""

import argparse
import signal
import sys


def main() -> int:
    """Run the entry, or check files; return the exit status."""
    # The platform may send SIGHUP while the process still starts, and would end
    # it: imports alone take some 0.2 s. The settings are read after this, so
    # there is nothing to reload yet. The daemon sets its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", nargs="+", metavar="FILE", help="settings files")
    options = parser.parse_args()
    if options.check:
        from lavenderspoke.platform import settingsfile

        return settingsfile.check(options.check)
    from lavenderspoke.platform import daemon

    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
