"""The signals that ask a daemon to stop; imports nothing else."""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
