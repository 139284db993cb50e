"""Runs a program's module that gets only so many threads from the system.

`python -m standins.fewthreads FILE ANY... MODULE` runs MODULE; FILE holds how many
threads there may be, and is read at each start of one. A limit of the system's own
counts all processes of a user, and doesn't bind the superuser.
"""

import pathlib
import runpy
import sys
import threading


def limit(path: pathlib.Path) -> None:
    """Have starts of threads fail, as the system's refusal does, from that many on."""
    granted = threading._start_new_thread

    def start(*arguments):
        # The one that starts is counted already, and the main one always.
        if threading.active_count() > int(path.read_text()):
            raise RuntimeError("can't start new thread")
        return granted(*arguments)

    threading._start_new_thread = start


if __name__ == "__main__":
    limit(pathlib.Path(sys.argv[1]))
    module = sys.argv[-1]
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
