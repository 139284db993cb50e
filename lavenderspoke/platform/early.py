"""Listens for callers before the rest of the daemon is loaded.

Loading takes about 0.4 s of processor time, mostly in libraries. Connections in that
time would be refused, as would a caller's only retry. Instead they wait in the
listening socket's backlog until the server takes it over. This module therefore
imports nothing that is slow to load.
"""

import socket

from lavenderspoke.platform.settingslines import CALLERS_ADDRESS_KEY, parse_lines

# Length of the backlog. One instance gets at most about a hundred a second.
BACKLOG_CONNECTIONS = 512


def listen(path: str) -> socket.socket | None:
    """Return a socket that listens on the callers' address in a settings file.

    Returns None on any error, which reading the whole file reports later.
    """
    try:
        with open(path) as file:
            values = parse_lines(file.read())
        host, _, port = values.get(CALLERS_ADDRESS_KEY, "").rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG_CONNECTIONS)
    except (OSError, ValueError):
        return None
