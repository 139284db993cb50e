"""The platform's settings file: `name=value` lines, with comma-separated lists."""

import math

import attrs
from result import Err, Ok, Result

from lavenderspoke.direct.policies import Policies, parse_disabled
from lavenderspoke.direct.quota import Tolerance
from lavenderspoke.direct.settings import Address, Bounds, DirectSettings
from lavenderspoke.platform.settingslines import CALLERS_ADDRESS_KEY, parse_lines
from lavenderspoke.resources.processlimits import process_limits
from lavenderspoke.rollouts.transitions import Bounds as RolloutBounds

MS_PER_S = 1000.0
# The memory of a process that isn't told its own, in megabytes.
MEMORY_MB_DEFAULT = 200.0
# Names policies to disable, separated by commas. The platform doesn't set it.
DISABLED_POLICIES_KEY = "disabled-policies"


@attrs.frozen(kw_only=True)
class SettingsError:
    """The errors in a settings file, one line each."""

    mistakes: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The settings file, decoded.

    `ports` is the first and last port reserved for messages between daemons.
    """

    direct: DirectSettings
    store: Address
    ports: tuple[int, int]


PORT_MAX = 65_535


class _Reader:
    """Reads typed values and collects all errors."""

    def __init__(self, values: dict[str, str]):
        self.values = values
        self.mistakes: list[str] = []

    def text(self, name: str) -> str:
        value = self.values.get(name, "")
        if not value:
            self.mistakes.append(f"{name}: missing")
        return value

    def address(self, name: str) -> Address:
        return self._convert(name, _address, Address(host="", port=0), None)

    def number(self, name: str, default: float) -> float:
        return self._convert(name, _number, default, default)

    def ports(self, name: str) -> tuple[int, int]:
        return self._convert(name, _port_range, (0, 0), None)

    def policies(self) -> Policies:
        parsed = parse_disabled(self.values.get(DISABLED_POLICIES_KEY, ""))
        if isinstance(parsed, Err):
            self.mistakes.append(f"{DISABLED_POLICIES_KEY}: {parsed.err_value}")
            return Policies()
        return parsed.ok_value

    def _convert(self, name, convert, fallback, default):
        value = self.values.get(name, "")
        if not value and default is not None:
            return default
        try:
            return convert(value)
        except ValueError:
            self.mistakes.append(f"{name}: found {value!r}")
            return fallback


def parse(text: str) -> Result[PlatformSettings, SettingsError]:
    """Return the settings in the file's text, or all errors in it.

    Unknown names are ignored, since the platform sometimes adds some.
    """
    reader = _Reader(parse_lines(text))
    settings = _settings(reader)
    if reader.mistakes:
        return Err(SettingsError(mistakes=tuple(reader.mistakes)))
    return Ok(settings)


def _settings(reader: _Reader) -> PlatformSettings:
    ports = reader.ports("internal-port-range")
    bounds = Bounds(
        grace_s=reader.number("bounds.grace-s", Bounds().grace_s),
        revoke_s=reader.number("bounds.revoke-ms", 5000.0) / MS_PER_S,
        retry_ratio=reader.number("bounds.retry-budget-ratio", Bounds().retry_ratio),
        retry_slack=reader.number("bounds.budget-slack", Bounds().retry_slack),
        retry_window_s=reader.number("bounds.retry-window-s", Bounds().retry_window_s),
        quota_window_s=reader.number("bounds.quota-window-s", Bounds().quota_window_s),
        quota_tolerance=Tolerance(
            part=reader.number("bounds.quota-overage", 0.0),
            # Applies only to customers whose limits are in tokens.
            tokens=reader.number("bounds.quota-tolerance", 0.0),
        ),
        drain_s=reader.number("bounds.drain-ms", 2000.0) / MS_PER_S,
        apply_s=reader.number("bounds.config-apply-ms", 2000.0) / MS_PER_S,
        rollout=RolloutBounds(
            share=reader.number("bounds.canary-share", RolloutBounds().share),
            tolerance=reader.number(
                "bounds.canary-tolerance", RolloutBounds().tolerance
            ),
        ),
    )
    direct = DirectSettings(
        name=reader.text("node-name"),
        data_centre=reader.text("zone"),
        callers=reader.address(CALLERS_ADDRESS_KEY),
        readiness=reader.address("listen.readiness"),
        peers=Address(host=reader.text("ip"), port=ports[0]),
        bounds=bounds,
        policies=reader.policies(),
        limits=process_limits(
            memory_mb=reader.number("limits.memory-mb", MEMORY_MB_DEFAULT),
            descriptors=int(reader.number("limits.max-fds", 0.0)),
        ),
    )
    return PlatformSettings(
        direct=direct, store=reader.address("platform.address"), ports=ports
    )


def _number(value: str) -> float:
    number = float(value)
    if not (math.isfinite(number) and number >= 0.0):
        # Everything compares false with NaN: no key would be accepted any more.
        raise ValueError(value)
    return number


def _port(value: str) -> int:
    port = int(value)
    if not 0 < port <= PORT_MAX:
        raise ValueError(value)
    return port


def _address(value: str) -> Address:
    host, separator, port = value.rpartition(":")
    if not separator or not host:
        raise ValueError(value)
    return Address(host=host, port=_port(port))


def _port_range(value: str) -> tuple[int, int]:
    first, last = value.split(",")
    return _port(first), _port(last)
