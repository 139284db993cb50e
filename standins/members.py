"""A stand-in for the platform's member list, set by `POST /control/members`."""

import time

import attrs

from standins import server
from standins.server import Reply, Request, json_reply


@attrs.frozen(kw_only=True)
class Faults:
    """What a test may set: how old the answers are, a hold, and an outage."""

    lag_s: float = 0.0
    hold: bool = False  # lists that are set from here on aren't shown
    down: bool = False


class MembersStandIn:
    """Every list that was set, with its time, so that answers can lag."""

    def __init__(self, *, faults: str):
        self._lists: list[tuple[float, list[dict]]] = [(0.0, [])]
        self._held_s = 0.0
        self._faults = server.Faults(kind=Faults, initial=faults)

    def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/control":
            self._held_s = time.monotonic()
            return self._faults.handle(request)
        if request.path == "/control/members":
            self._lists.append((time.monotonic(), request.json()["members"]))
            return json_reply({})
        if request.path != "/members":
            return json_reply({"error": "no such path"}, 404)
        faults = self._faults.now
        if faults.down:
            return json_reply({"error": "down"}, 503)
        now_s = self._held_s if faults.hold else time.monotonic()
        seen_s = now_s - faults.lag_s
        members = [each for at_s, each in self._lists if at_s <= seen_s]
        return json_reply({"members": members[-1]})


if __name__ == "__main__":
    options = server.parser(__doc__).parse_args()
    server.serve(options, MembersStandIn(faults=options.faults).handle)
