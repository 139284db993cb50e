"""The daemons' settings: a YAML file read over the commented defaults.

Adding a setting takes a field here and a commented line in
`config_default.yaml`. Fields have no defaults in the classes, so the file is
the one place for them; a field that is missing there must be given.

    settings = load_entry_settings("entry-1.yaml")
    settings.callers.port
"""

import enum
import pathlib
from importlib import resources
from typing import TypeVar

import attrs
import yaml
from result import Err, Ok, Result

from lavenderspoke.checking import fieldrules, schema, yamlnodes
from lavenderspoke.dispatching import Dispatching
from lavenderspoke.documents.service import Kind
from lavenderspoke.resources.processlimits import ProcessLimits, process_limits
from lavenderspoke.util import Mistake, UserError, is_http_url

DEFAULTS_FILE = "config_default.yaml"
HOUR_S = 3600.0
GIB = 1024**3

_SECONDS = fieldrules.above(0, HOUR_S)
# One lost announcement mustn't make a peer look gone.
_SILENCE = _SECONDS | fieldrules.not_below("heartbeat_s", times=2)
_SECONDS_OR_DAYS = fieldrules.above(0, 30 * 24 * HOUR_S)
_BYTES = fieldrules.between(1, GIB)
_PORT = fieldrules.between(0, 65535)
_MEMORY_MB = fieldrules.between(100, 1024**2)
_DESCRIPTORS = fieldrules.between(256, 1024**2)
_HTTP_URL = fieldrules.rule(is_http_url, "a URL of http or https")
_PEER_ADDRESS = fieldrules.matching(
    r"tcp://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}",
    "tcp://<IP number>:<port>",
)

Settings = TypeVar("Settings")


class LogLevel(enum.Enum):
    """The least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Paths of the certificate chain and its key, both in PEM."""

    certificate_path: str
    key_path: str


@attrs.frozen(kw_only=True)
class CallersSettings:
    """The port for callers and what one caller may cost."""

    host: str = attrs.field(metadata=fieldrules.ip_address())
    port: int = attrs.field(metadata=_PORT)
    threads: int = attrs.field(metadata=fieldrules.between(1, 10_000))
    body_timeout_s: float = attrs.field(metadata=_SECONDS)
    body_bytes_max: int = attrs.field(metadata=_BYTES)
    header_bytes_max: int = attrs.field(metadata=fieldrules.between(1024, 1024**2))
    tls: TlsSettings | None = None


@attrs.frozen(kw_only=True)
class PeersSettings:
    """The port for other daemons.

    `advertised_address` is what others connect to where it isn't the port
    itself, because a proxy or address translation stands between.
    """

    host: str = attrs.field(metadata=fieldrules.ip_address())
    port: int = attrs.field(metadata=_PORT)
    advertised_address: str | None = attrs.field(metadata=_PEER_ADDRESS)

    @property
    def listen_address(self) -> str:
        """The address to listen at, as pynng takes it."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"tcp://{host}:{self.port}"

    @property
    def address(self) -> str:
        """The address that other daemons are told."""
        return self.advertised_address or self.listen_address


@attrs.frozen(kw_only=True)
class StatusSettings:
    """The port for health, readiness, metrics and the status page."""

    host: str = attrs.field(metadata=fieldrules.ip_address())
    port: int = attrs.field(metadata=_PORT)


@attrs.frozen(kw_only=True)
class LimitsSettings:
    """What the process may use of its machine; null for what the system says."""

    memory_mb: int | None = attrs.field(metadata=_MEMORY_MB)
    descriptors: int | None = attrs.field(metadata=_DESCRIPTORS)

    def of_process(self) -> ProcessLimits:
        """Return the limits of the process."""
        return process_limits(memory_mb=self.memory_mb, descriptors=self.descriptors)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The platform's log and member list."""

    log_url: str = attrs.field(metadata=_HTTP_URL)
    members_url: str = attrs.field(metadata=_HTTP_URL)
    connect_timeout_s: float = attrs.field(metadata=_SECONDS)
    timeout_s: float = attrs.field(metadata=_SECONDS)
    poll_s: float = attrs.field(metadata=_SECONDS)
    members_poll_s: float = attrs.field(metadata=_SECONDS)


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """The upstream that an agent stands beside."""

    name: str = attrs.field(metadata=fieldrules.name())
    base_url: str = attrs.field(metadata=_HTTP_URL)
    kind: Kind
    connect_timeout_s: float = attrs.field(metadata=_SECONDS)
    read_timeout_s: float = attrs.field(metadata=_SECONDS)
    limit_header: str
    leaving_header: str


@attrs.frozen(kw_only=True)
class PolicySettings:
    """The rules that measurements turn off or exchange; all on in service."""

    dispatching: Dispatching
    tiers: bool
    fair: bool
    size_aware: bool
    affinity: bool
    service_wide_shedding: bool


@attrs.frozen(kw_only=True)
class EntrySettings:
    """The settings of one entry."""

    name: str = attrs.field(metadata=fieldrules.name())
    data_centre: str = attrs.field(metadata=fieldrules.name())
    log_level: LogLevel
    callers: CallersSettings
    peers: PeersSettings
    status: StatusSettings
    limits: LimitsSettings
    platform: PlatformSettings
    policy: PolicySettings
    heartbeat_s: float = attrs.field(metadata=_SECONDS)
    silence_s: float = attrs.field(metadata=_SILENCE)
    grant_answer_s: float = attrs.field(metadata=_SECONDS)
    roster_lease_s: float = attrs.field(metadata=_SECONDS)
    drain_s: float = attrs.field(metadata=_SECONDS)
    carry_every_s: float = attrs.field(metadata=_SECONDS_OR_DAYS)


@attrs.frozen(kw_only=True)
class AgentSettings:
    """The settings of one agent.

    The name stays across restarts: an incarnation with the same name at the
    same listening address is the successor of the one before.
    """

    name: str = attrs.field(metadata=fieldrules.name())
    data_centre: str = attrs.field(metadata=fieldrules.name())
    service: str = attrs.field(metadata=fieldrules.name())
    label: str = attrs.field(metadata=fieldrules.name())
    log_level: LogLevel
    upstream: UpstreamSettings
    peers: PeersSettings
    status: StatusSettings
    limits: LimitsSettings
    platform: PlatformSettings
    heartbeat_s: float = attrs.field(metadata=_SECONDS)
    silence_s: float = attrs.field(metadata=_SILENCE)
    entries_max: int = attrs.field(metadata=fieldrules.between(1, 1000))
    slots_max: int = attrs.field(metadata=fieldrules.between(1, 10_000))
    pull_ttl_s: float = attrs.field(metadata=_SECONDS)
    accepts_pushed: bool
    learns_limit: bool
    answer_bytes_max: int = attrs.field(metadata=_BYTES)
    roster_lease_s: float = attrs.field(metadata=_SECONDS)
    drain_s: float = attrs.field(metadata=_SECONDS)
    carry_every_s: float = attrs.field(metadata=_SECONDS_OR_DAYS)


SECTIONS = {"entry": EntrySettings, "agent": AgentSettings}


def defaults_text() -> str:
    """Return the commented defaults file."""
    return resources.files("lavenderspoke").joinpath(DEFAULTS_FILE).read_text()


def parse_settings(
    text: str, file_name: str, section: str
) -> Result[EntrySettings | AgentSettings, list[Mistake]]:
    """Read one section, `entry` or `agent`, of a settings file."""
    composed = yamlnodes.compose(text, file_name)
    if composed.is_err():
        return composed
    node = composed.ok_value
    mistakes = _section_mistakes(node, file_name)
    found = _sections(node).get(section)
    if found is None and not mistakes:
        mistakes = [_mistake(node, file_name, section, "nothing", "a mapping")]
    if found is None:
        return Err(mistakes)
    defaults = _sections(yamlnodes.compose(defaults_text(), DEFAULTS_FILE).unwrap())
    merged = yamlnodes.overlay(found, defaults[section])
    read = schema.read(merged, SECTIONS[section], section)
    mistakes += read.err() or []
    return Err(mistakes) if mistakes else Ok(read.ok_value)


def sections_of(text: str, file_name: str) -> list[str]:
    """Return the sections that a settings file has, in the file's order."""
    composed = yamlnodes.compose(text, file_name)
    return list(_sections(composed.ok_value)) if composed.is_ok() else []


def _sections(node: yaml.Node) -> dict[str, yaml.Node]:
    if not isinstance(node, yaml.MappingNode):
        return {}
    return {key.value: value for key, value in node.value if key.value in SECTIONS}


def _section_mistakes(node: yaml.Node, file_name: str) -> list[Mistake]:
    allowed = "one of " + ", ".join(SECTIONS)
    if not isinstance(node, yaml.MappingNode):
        return [_mistake(node, file_name, "(file)", yamlnodes.describe(node), allowed)]
    return [
        _mistake(key, file_name, str(key.value), "an unknown section", allowed)
        for key, _ in node.value
        if key.value not in SECTIONS
    ]


def _mistake(
    node: yaml.Node, file_name: str, field: str, found: str, allowed: str
) -> Mistake:
    line = node.start_mark.line + 1
    return Mistake(file=file_name, line=line, field=field, found=found, allowed=allowed)


def read_text(path: str) -> str:
    """Return a file's text; raises UserError when it can't be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f"{path}: can't be read: {error}") from error


def load_entry_settings(path: str) -> EntrySettings:
    """Return an entry's settings; raises UserError with every mistake."""
    return _load(path, "entry")


def load_agent_settings(path: str) -> AgentSettings:
    """Return an agent's settings; raises UserError with every mistake."""
    return _load(path, "agent")


def _load(path: str, section: str):
    parsed = parse_settings(read_text(path), path, section)
    if parsed.is_err():
        raise UserError(*parsed.err_value)
    return parsed.ok_value
