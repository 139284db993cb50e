"""Runs an entry on the platform: `python -m lavenderspoke.platform`.

With `--check FILE...` it reports every error in these settings files instead.
"""

import faulthandler
import gc
import os
import signal
import sys
from types import ModuleType

from lavenderspoke.platform import early
from lavenderspoke.stopsignals import STOP_SIGNALS

SETTINGS_VARIABLE = "LAVENDERSPOKE_CONFIG"
SETTINGS_PATH_DEFAULT = "/etc/lavenderspoke/node.conf"


def main() -> int:
    """Run the entry or check settings files; return the exit status."""
    _enable_crash_traces()
    # SIGHUP would end the process while it starts, and loading takes about 0.4 s.
    # The settings are read after this, so there is nothing to reload yet. The daemon
    # sets its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        return _check()
    # Block stop signals until the daemon has its handler. Ending the process now would
    # reset the connections in the listening socket's queue.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH_DEFAULT)
    listener = early.listen(path)
    # Loaded after the socket listens, so that callers can connect meanwhile.
    daemon = _load_daemon()
    return daemon.run(path, listener)


def _enable_crash_traces() -> None:
    """Print the crashing thread's stack to standard error on a crash in native code.

    This happens in the handler of the fatal signal; the signal still ends the process.
    """
    # Without standard error, enabling the handler raises.
    if sys.stderr is not None:
        # With all threads, the newest hundred stacks are printed, and a busy entry has
        # that many.
        faulthandler.enable(all_threads=False)


def _load_daemon() -> ModuleType:
    """Import the daemon with garbage collection disabled.

    Loaded modules live until the process ends, so collections during the import find
    nothing and delay all callers of this instance. Freezing them excludes them from
    later collections too.
    """
    gc.disable()
    from lavenderspoke.platform import daemon

    gc.freeze()
    gc.enable()
    return daemon


def _check() -> int:
    import argparse

    from lavenderspoke.platform import settingsfile

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", nargs="+", metavar="FILE", help="settings files")
    return settingsfile.check(parser.parse_args().check or [])


if __name__ == "__main__":
    sys.exit(main())
