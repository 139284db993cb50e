"""A stand-in for a daemon's status page, which follows the log as daemons do."""

import random

import attrs

from lavenderspoke.documents.fold import DocumentFold
from lavenderspoke.platformlog import SERVICES_STREAM, HttpLog
from standins import server
from standins.server import Reply, Request, json_reply


@attrs.frozen(kw_only=True)
class Faults:
    """What a test may set: whether the daemon stops reading the log."""

    behind: bool = False


class StatusPageStandIn:
    """A page whose counts are fixed and whose versions are the log's."""

    def __init__(self, *, name: str, role: str, log_url: str, faults: str):
        self._name = name
        self._role = role
        self._log = HttpLog(base_url=log_url)
        self._fold = DocumentFold(random=random.Random(0), carry_every_s=600)
        self._faults = server.Faults(kind=Faults, initial=faults)

    def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/control":
            return self._faults.handle(request)
        if not self._faults.now.behind:
            offset = self._fold.next_offset
            page = self._log.read(stream=SERVICES_STREAM, offset=offset)
            self._fold.apply_page(page.unwrap())
        waiting = 3 if self._role == "entry" else 0
        page = {
            "name": self._name,
            "role": self._role,
            "incarnation": "1",
            "data_centre": "san-jose",
            "versions": self._fold.versions(),
            "waiting": {"narrative": {"alert": waiting}},
            "running": {"narrative": {"alert": 1}},
            "counters": {"refusals": {"shed": 2}},
            "members": [],
            "skipped_records": 0,
        }
        return json_reply(page)


if __name__ == "__main__":
    parser = server.parser(__doc__)
    for option in ("--name", "--role", "--log"):
        parser.add_argument(option, required=True)
    options = parser.parse_args()
    standin = StatusPageStandIn(
        name=options.name,
        role=options.role,
        log_url=options.log,
        faults=options.faults,
    )
    server.serve(options, standin.handle)
