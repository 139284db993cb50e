"""Crowds of clients that hold what an entry has, beside its callers.

None of them ever completes a request, so what upstreams run is the callers' own.
"""

import pathlib
from random import Random

from soak.events import ENTRIES, FAULTS_S, ClientsCrowd, Event
from standins.clientcrowd import Behaviour
from standins.platformdeployment import HOST_HEADER, KEY

MEMORY_MB = 150
MB = 1_000_000
# The part of the seeds with crowds, how many they have, how many clients each has, and
# for how long they stay, in seconds.
CROWDED_PART = 1 / 2
CROWDS = (1, 3)
CLIENTS = (4, 30)
CROWD_LENGTH_S = (0.5, 4.0)
PORTS = ("callers", "callers", "callers", "readiness", "peers")
BODY_BYTES = 1024 * 1024
ENDLESS_BYTES = 8 * MB
DRIP_S = 0.1

_HEAD = (
    "POST /look/crowd HTTP/1.1\r\n"
    f"Host: {HOST_HEADER}\r\n"
    "X-Attempt-Id: crowd\r\n"
    f"Authorization: Bearer {KEY}\r\n"
).encode()
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_SIZED = _HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES

BEHAVIOURS = {
    "says nothing": Behaviour(opening=lambda number: b"", returns=True),
    "half a head": Behaviour(opening=lambda number: _HEAD, returns=True),
    "a head by bytes": Behaviour(
        opening=lambda number: b"", dripped=_HEAD, drip_s=DRIP_S
    ),
    "a body that stops short": Behaviour(
        opening=lambda number: _SIZED + b"x" * (BODY_BYTES - 1), returns=True
    ),
    "a chunk that stops short": Behaviour(
        opening=lambda number: _CHUNKED + b"%x\r\n" % BODY_BYTES + b"x" * BODY_BYTES
    ),
    "a chunk size without end": Behaviour(
        opening=lambda number: _CHUNKED, repeated=b"0" * 65536, bytes_max=ENDLESS_BYTES
    ),
    "a trailer without end": Behaviour(
        opening=lambda number: _CHUNKED + b"1\r\nx\r\n0\r\nX-Trailer: ",
        repeated=b"x" * 65536,
        bytes_max=ENDLESS_BYTES,
    ),
    "no request": Behaviour(opening=lambda number: b"\0" * 100, returns=True),
}


def draw(random: Random) -> list[Event]:
    """Return the crowds of a schedule, which may overlap, in no order."""
    if random.random() >= CROWDED_PART:
        return []
    return [
        Event(
            at_s=round(random.uniform(0.0, FAULTS_S), 2),
            length_s=round(random.uniform(*CROWD_LENGTH_S), 2),
            action=ClientsCrowd(
                entry=random.choice(ENTRIES),
                port=random.choice(PORTS),
                behaviour=random.choice(sorted(BEHAVIOURS)),
                count=random.randint(*CLIENTS),
            ),
        )
        for _ in range(random.randint(*CROWDS))
    ]


def memory_breach(name: str, pid: int) -> str | None:
    """Return a line if a living entry has used more than the memory of its machine."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except FileNotFoundError:
        return None
    peaks = [int(line.split()[1]) for line in lines if line.startswith("VmHWM")]
    peak_mb = max(peaks, default=0) * 1024 / MB
    return f"memory: {name} used {peak_mb:.0f} MB" if peak_mb > MEMORY_MB else None
