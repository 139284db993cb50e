"""How the engine stand-in takes orders, with or without fencing."""

import threading

from standins.server import Reply, Request, json_reply


class Orders:
    """The highest fencing number seen and the last order of each action.

    `taken` lists every order that took effect, in order: what really happened.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._fencing = 0
        self._in_force: dict[str, dict] = {}
        self.taken: list[dict] = []

    def take(self, request: Request, checks_fencing: bool) -> Reply:
        """Take an order, or refuse an old one when fencing is checked."""
        wanted = request.json()
        with self._lock:
            if checks_fencing and wanted["fencing"] < self._fencing:
                return json_reply({"fencing": self._fencing}, 409)
            self._fencing = wanted["fencing"]
            self._in_force[wanted["order"]["action"]] = wanted["order"]
            self.taken.append(wanted)
            return json_reply({"fencing": self._fencing})

    def state(self) -> Reply:
        """Answer what is in force."""
        with self._lock:
            orders = list(self._in_force.values())
            return json_reply({"fencing": self._fencing, "orders": orders})
