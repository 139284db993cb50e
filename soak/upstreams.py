"""The faults of upstreams that may stand still or have crashed."""

import contextlib

import attrs
import urllib3

from standins.platformdeployment import PlatformDeployment
from standins.platformengine import Faults

# Streams of 5 events last 0.15 s and plain answers 0.05 s, so that some are always
# under way when a fault begins.
EVENT_S = 0.03
HEALTHY = {
    "wrong_id": False,
    "truncate": False,
    "resets": False,
    "unsigned": False,
    "mute": False,
    "full": False,
    "cut_after_events": -1,
    "endless": "",
    "status": 200,
    "event_s": EVENT_S,
    "work_s": 0.05,
}
# What a trouble changes, as it is without one.
SOUND = attrs.asdict(Faults()) | HEALTHY


class UpstreamFaults:
    """Sets faults of upstreams, of those that stand still once they go on."""

    def __init__(self, platform: PlatformDeployment):
        self._platform = platform
        self._suspended: dict[str, dict] = {}

    def set(self, name: str, **faults) -> None:
        """Set faults of an upstream, unless it has crashed and isn't back yet."""
        if name in self._suspended:
            self._suspended[name] |= faults
        elif self._platform.upstreams[name].process.alive():
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self._platform.upstreams[name].set_faults(**faults)

    def cure(self, name: str, faults: dict) -> None:
        """Take these faults away."""
        self.set(name, **{field: SOUND[field] for field in faults})

    def suspend(self, name: str) -> bool:
        """Have an upstream stand still; return False if it does or has crashed."""
        process = self._platform.upstreams[name].process
        if name in self._suspended or not process.alive():
            return False
        self._suspended[name] = {}
        process.pause()
        return True

    def resume(self, name: str) -> None:
        """Let an upstream go on, with all that has come meanwhile."""
        self._platform.upstreams[name].process.resume()
        self.set(name, **self._suspended.pop(name))
