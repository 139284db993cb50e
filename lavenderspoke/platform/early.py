"""Listens for callers before the rest of the daemon is loaded.

Loading takes some 0.4 s of processor time, most of it in libraries. Connections
that come meanwhile would be refused, and a caller's one retry with them. They wait
in the queue of the listening socket instead, and are served once the server takes
it over. This module therefore imports nothing that takes long.
"""

import socket

from lavenderspoke.platform.settingslines import CALLERS_ADDRESS_KEY, parse_lines

# Connections that may wait. One instance gets some hundred a second at most.
BACKLOG_CONNECTIONS = 512


def listen(path: str) -> socket.socket | None:
    """Return a listening socket at the callers' address of a settings file.

    None where that can't be done: whoever reads the whole file says what is wrong.
    """
    try:
        with open(path) as file:
            values = parse_lines(file.read())
        host, _, port = values.get(CALLERS_ADDRESS_KEY, "").rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG_CONNECTIONS)
    except (OSError, ValueError):
        return None
