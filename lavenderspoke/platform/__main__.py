"""Runs an entry on the platform: `python -m lavenderspoke.platform`.

With `--check FILE...` it names every mistake in such settings files instead.
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
    """Run the entry, or check files; return the exit status."""
    _enable_crash_traces()
    # The platform may send SIGHUP while the process still starts, and would end
    # it: loading takes some 0.4 s. The settings are read after this, so
    # there is nothing to reload yet. The daemon sets its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        return _check()
    # A stop waits until the daemon has its handler. It would end the process with
    # callers in the queue of the port, and these would find their connection reset.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH_DEFAULT)
    listener = early.listen(path)
    # Loaded only now: callers can connect meanwhile.
    daemon = _load_daemon()
    return daemon.run(path, listener)


def _enable_crash_traces() -> None:
    """Have a crash in native code print its thread's stack to standard error.

    It works in the handler of the deadly signal alone. The process ends by the signal
    all the same.
    """
    # Without standard error there is no place for the text, and enabling it raises.
    if sys.stderr is not None:
        # Of all threads it would print the newest hundred, which a busy entry has.
        faulthandler.enable(all_threads=False)


def _load_daemon() -> ModuleType:
    """Import the daemon with the collector of garbage at rest.

    What is loaded stays until the end, so looking through it again and again while it
    grows finds nothing, and all callers of this instance wait meanwhile. Frozen, it is
    left out of later rounds too.
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
