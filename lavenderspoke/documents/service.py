"""The service document: what operators say of one service."""

import enum

import attrs
from result import Result

from lavenderspoke.checking import fieldrules, schema, yamlnodes
from lavenderspoke.quarantine.history import QuarantinePolicy
from lavenderspoke.retrybudget import RetryBudget
from lavenderspoke.upstreams.upstream import OrderAction
from lavenderspoke.util import Mistake

GIB = 1024**3


class Kind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen(kw_only=True)
class Tier:
    """A tier of requests; a larger rank is a higher tier.

    `worth` is what one answer within its deadline is worth against others.
    """

    name: str = attrs.field(metadata=fieldrules.name() | fieldrules.UNIQUE)
    rank: int = attrs.field(metadata=fieldrules.between(0, 1000) | fieldrules.UNIQUE)
    worth: float = attrs.field(default=1.0, metadata=fieldrules.between(0, 1_000_000))
    deadline_s: float = attrs.field(
        default=30.0,
        metadata=fieldrules.above(0, fieldrules.DAY_S)
        | fieldrules.not_above("deadline_max_s"),
    )


@attrs.frozen(kw_only=True)
class Customer:
    """A customer, what it may use, and its share among others in a tier.

    `credential_sha256` is the hex SHA-256 of the bearer token, so that the
    document holds no secret. `tiers` names the tiers it may use.
    """

    name: str = attrs.field(metadata=fieldrules.name() | fieldrules.UNIQUE)
    credential_sha256: str = attrs.field(
        metadata=fieldrules.matching(
            "[0-9a-f]{64}", "64 hex digits, lower case, in quotes"
        )
        | fieldrules.UNIQUE
    )
    tiers: tuple[str, ...] = attrs.field(
        metadata=fieldrules.refers_to("tiers[].name")
        | fieldrules.UNIQUE
        | fieldrules.NOT_EMPTY
    )
    weight: float = attrs.field(default=1.0, metadata=fieldrules.above(0, 1_000_000))
    requests_per_s: float | None = attrs.field(
        default=None, metadata=fieldrules.above(0, 1_000_000)
    )
    burst: int = attrs.field(default=100, metadata=fieldrules.between(1, 1_000_000))
    waiting_max: int = attrs.field(
        default=1000, metadata=fieldrules.between(1, 1_000_000)
    )


@attrs.frozen(kw_only=True)
class Upstreams:
    """The upstreams of a service, chosen by label.

    `checks_fencing` names the labels whose upstreams refuse an order with an
    old fencing number; the others ignore the number.
    """

    kind: Kind
    labels: tuple[str, ...] = attrs.field(
        metadata=fieldrules.name() | fieldrules.UNIQUE | fieldrules.NOT_EMPTY
    )
    checks_fencing: tuple[str, ...] = attrs.field(
        default=(),
        metadata=fieldrules.refers_to("upstreams.labels[]") | fieldrules.UNIQUE,
    )


@attrs.frozen(kw_only=True)
class LabelOrder:
    """What the upstreams of a label are to have loaded, or to be.

    The agent beside each upstream gives the order, with the document's version
    as its fencing number, until the upstream says that it is in force.
    """

    label: str = attrs.field(metadata=fieldrules.refers_to("upstreams.labels[]"))
    action: OrderAction
    name: str
    version: str = ""


@attrs.frozen(kw_only=True)
class Keys:
    """How long, and in how many bytes, an agent holds keys and answers."""

    # A re-send's claims must outlast an earlier attempt that still waits.
    lifetime_s: float = attrs.field(
        default=600.0,
        metadata=fieldrules.above(0, fieldrules.DAY_S)
        | fieldrules.not_below("deadline_max_s"),
    )
    bytes_max: int = attrs.field(
        default=16 * 1024 * 1024, metadata=fieldrules.between(0, GIB)
    )


@attrs.frozen(kw_only=True)
class Waiting:
    """How much may wait in one entry for the service."""

    requests_max: int = attrs.field(
        default=1000, metadata=fieldrules.between(1, 1_000_000)
    )
    bytes_max: int = attrs.field(
        default=32 * 1024 * 1024, metadata=fieldrules.between(1, GIB)
    )
    body_bytes_max: int = attrs.field(
        default=1024 * 1024, metadata=fieldrules.between(1, GIB)
    )


@attrs.frozen(kw_only=True)
class Prefixes:
    """How prompt prefixes are matched and how long a request waits for one.

    A block is `block_tokens` words; `prefill_tokens_per_s` bounds the wait for
    a warm upstream by the time that the saved prefill would take.
    """

    block_tokens: int = attrs.field(default=16, metadata=fieldrules.between(1, 4096))
    prefill_tokens_per_s: float = attrs.field(
        default=4000.0, metadata=fieldrules.above(0, 10_000_000)
    )
    wait_max_s: float = attrs.field(default=0.5, metadata=fieldrules.between(0, 60))


@attrs.frozen(kw_only=True)
class Service:
    """One service, as its document says."""

    name: str = attrs.field(metadata=fieldrules.name())
    upstreams: Upstreams
    tiers: tuple[Tier, ...] = attrs.field(metadata=fieldrules.NOT_EMPTY)
    customers: tuple[Customer, ...] = attrs.field(metadata=fieldrules.NOT_EMPTY)
    deadline_max_s: float = attrs.field(
        default=300.0, metadata=fieldrules.above(0, fieldrules.DAY_S)
    )
    keys: Keys = attrs.field(factory=Keys)
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    poison: QuarantinePolicy = attrs.field(factory=QuarantinePolicy)
    waiting: Waiting = attrs.field(factory=Waiting)
    prefixes: Prefixes = attrs.field(factory=Prefixes)
    orders: tuple[LabelOrder, ...] = ()

    def tier(self, name: str) -> Tier | None:
        """Return the tier of that name."""
        return next((tier for tier in self.tiers if tier.name == name), None)

    def customer(self, name: str) -> Customer | None:
        """Return the customer of that name."""
        return next((each for each in self.customers if each.name == name), None)


def parse_service(text: str, file_name: str) -> Result[Service, list[Mistake]]:
    """Read a service document; `file_name` is for the mistakes only.

    >>> parse_service("name: alerts", "alerts.yaml").unwrap_err()[0].field
    'upstreams'
    """
    return yamlnodes.compose(text, file_name).and_then(
        lambda node: schema.read(node, Service)
    )
