"""How long a server keeps an idle connection open, as it states."""

# Idle limit in seconds if the server states none.
IDLE_LIMIT_DEFAULT_S = 4.0


def idle_limit_s(header: str) -> float:
    """Return the idle limit in seconds that a Keep-Alive header states.

    >>> idle_limit_s("timeout=5, max=100")
    5.0
    >>> idle_limit_s('timeout="1.5"')
    1.5
    """
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        value = value.strip('"')
        if name.lower() == "timeout" and value.replace(".", "", 1).isdecimal():
            return float(value)
    return IDLE_LIMIT_DEFAULT_S
