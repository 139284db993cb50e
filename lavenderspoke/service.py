"""The service document: what operators say of one service."""

import enum

import attrs


class Kind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen(kw_only=True)
class Tier:
    """A tier of requests; a larger rank is a higher tier.

    `worth` is what one answer within its deadline is worth against others.
    """

    name: str
    rank: int
    worth: float = 1.0
    deadline_s: float = 30.0


@attrs.frozen(kw_only=True)
class Customer:
    """A customer, what it may use, and its share among others in a tier.

    `credential_sha256` is the hex SHA-256 of the bearer token, so that the
    document holds no secret. `tiers` names the tiers it may use.
    """

    name: str
    credential_sha256: str
    tiers: tuple[str, ...]
    weight: float = 1.0
    requests_per_s: float | None = None
    burst: int = 100
    waiting_max: int = 1000


@attrs.frozen(kw_only=True)
class Upstreams:
    """The upstreams of a service, chosen by label.

    `checks_fencing` names the labels whose upstreams refuse an order with an
    old fencing number; the others ignore the number.
    """

    kind: Kind
    labels: tuple[str, ...]
    checks_fencing: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Keys:
    """How long, and in how many bytes, an agent holds keys and answers."""

    lifetime_s: float = 600.0
    bytes_max: int = 16 * 1024 * 1024


@attrs.frozen(kw_only=True)
class RetryBudget:
    """Retries allowed as a ratio of first tries, and a floor a second."""

    ratio: float = 0.1
    per_s_min: float = 1.0


@attrs.frozen(kw_only=True)
class Poison:
    """After how many distinct crashed upstreams a request is refused."""

    upstreams_threshold: int = 2
    quarantine_s: float = 600.0


@attrs.frozen(kw_only=True)
class Waiting:
    """How much may wait in one entry for the service."""

    requests_max: int = 1000
    bytes_max: int = 32 * 1024 * 1024
    body_bytes_max: int = 1024 * 1024


@attrs.frozen(kw_only=True)
class Prefixes:
    """How prompt prefixes are matched and how long a request waits for one.

    A block is `block_tokens` words; `prefill_tokens_per_s` bounds the wait for
    a warm upstream by the time that the saved prefill would take.
    """

    block_tokens: int = 16
    prefill_tokens_per_s: float = 4000.0
    wait_max_s: float = 0.5


@attrs.frozen(kw_only=True)
class Service:
    """One service, as its document says."""

    name: str
    upstreams: Upstreams
    tiers: tuple[Tier, ...]
    customers: tuple[Customer, ...]
    deadline_max_s: float = 300.0
    keys: Keys = attrs.field(factory=Keys)
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    poison: Poison = attrs.field(factory=Poison)
    waiting: Waiting = attrs.field(factory=Waiting)
    prefixes: Prefixes = attrs.field(factory=Prefixes)

    def tier(self, name: str) -> Tier | None:
        """Return the tier of that name."""
        return next((tier for tier in self.tiers if tier.name == name), None)

    def customer(self, name: str) -> Customer | None:
        """Return the customer of that name."""
        return next((each for each in self.customers if each.name == name), None)
