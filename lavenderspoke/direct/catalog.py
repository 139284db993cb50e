"""What an entry serves: routes, services, customers and limits, as one version.

A catalog is immutable. A request is handled under the one catalog that was in
force when it arrived, so a change never splits a request's decisions.
"""

import enum

import attrs


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen(kw_only=True)
class TrafficShare:
    """The part of a route's requests that one service gets, by weight."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of one host and path prefix go, and what they are promised.

    `rank` orders routes, 0 first. `target_s` is the time to the first byte for
    full value, `timeout_s` the longest a caller is kept, `patience_s` how long it
    waits for the first byte before it leaves. A `stream` may be
    `resumable`, and then counts as idempotent. `attempts_max` bounds the
    upstreams on which one request may run.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    stream: bool
    resumable: bool
    timeout_s: float
    target_s: float
    patience_s: float
    rank: int
    traffic_split: tuple[TrafficShare, ...]
    attempts_max: int
    anonymous: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a second run does no harm."""
        return self.repeatability is Repeatability.IDEMPOTENT or (
            self.stream and self.resumable
        )


@attrs.frozen(kw_only=True)
class Service:
    """A pool of like upstreams; `connections_max` is each one's, for all callers."""

    name: str
    connections_max: int
    is_model: bool


@attrs.frozen(kw_only=True)
class Limits:
    """What callers may send and how long they may take."""

    header_bytes_max: int = 16 * 1024
    body_bytes_max: int = 4 * 1024 * 1024
    read_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Customer:
    """A customer with its rank (0 first) and its limit.

    `per_s` and `burst` are in tokens, or in requests when `counts_tokens` is
    false; a `per_s` of 0 means no limit. A request that states no tokens counts
    as `default_tokens`.
    """

    name: str
    keys: tuple[str, ...]
    rank: int
    per_s: float
    burst: float
    counts_tokens: bool
    default_tokens: int

    def cost(self, tokens: int | None) -> float:
        """Return what one request counts against the limit."""
        if not self.counts_tokens:
            return 1.0
        return float(self.default_tokens if tokens is None else tokens)


@attrs.frozen(kw_only=True, eq=False)
class Catalog:
    """Everything in force at one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[Customer, ...]
    limits: Limits = Limits()
    _by_host: dict[str, dict[str, Route]] = attrs.field(init=False)
    _by_key: dict[str, Customer] = attrs.field(init=False)

    @_by_host.default
    def _index_routes(self) -> dict[str, dict[str, Route]]:
        index: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            index.setdefault(route.host.lower(), {})[route.path_prefix] = route
        return index

    @_by_key.default
    def _index_keys(self) -> dict[str, Customer]:
        return {key: each for each in self.customers for key in each.keys}

    @property
    def needs_key(self) -> bool:
        """Whether there are customers, so that requests must name one."""
        return bool(self.customers)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any.

        Prefixes end in a slash, so only the path's own slashes are tried: the
        cost doesn't grow with the number of routes.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def rank_of(self, customer: Customer | None) -> int:
        """Return a customer's rank, or that of a request without a customer.

        Nobody vouches for what comes without a key, so it ranks with the last
        customers. Before all of them, a trickle of such requests would make the
        customers' own most urgent ones wait as if they were second.
        """
        if customer is not None:
            return customer.rank
        return max((each.rank for each in self.customers), default=0)

    def customer_for(self, key: str) -> Customer | None:
        """Return the customer that holds the key."""
        return self._by_key.get(key)
