"""One version of an entry's routes, services, customers and limits.

A catalog is immutable. A request uses the catalog in force at its arrival throughout,
so all its decisions follow one version.
"""

import enum

import attrs


class Repeatability(enum.Enum):
    """Whether requests are idempotent; see also `Route.retryable`."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen(kw_only=True)
class TrafficShare:
    """The weight of one service among those that share a route's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """How requests for one host and path prefix are routed, and their time limits.

    `rank` is the priority, 0 highest. A response has its full value if its first byte
    takes at most `target_s`. `timeout_s` is the longest that a caller is kept waiting,
    and `patience_s` how long callers wait for the first byte before they disconnect. A
    `stream` that is `resumable` counts as idempotent. `attempts_max` bounds the number
    of upstreams on which one request may run.
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

    def allows(self, service: str) -> bool:
        """Return whether the route leads to a service."""
        return any(each.service == service for each in self.traffic_split)

    @property
    def retryable(self) -> bool:
        """Whether a request may safely run a second time."""
        return self.repeatability is Repeatability.IDEMPOTENT or (
            self.stream and self.resumable
        )


@attrs.frozen(kw_only=True)
class Service:
    """Upstreams that serve the same requests; `connections_max` is per upstream."""

    name: str
    connections_max: int
    is_model: bool


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on the size and timing of callers' requests.

    `read_timeout_s` bounds the arrival of the headers, `idle_timeout_s` is how long an
    idle connection is kept.
    """

    header_bytes_max: int = 16 * 1024
    body_bytes_max: int = 4 * 1024 * 1024
    read_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Customer:
    """A customer with its rank (0 is the highest) and its rate limit.

    `per_s` and `burst` are in tokens, or in requests if `counts_tokens` is false; a
    `per_s` of 0 means no limit. A request without a token count costs `default_tokens`.
    """

    name: str
    keys: tuple[str, ...]
    rank: int
    per_s: float
    burst: float
    counts_tokens: bool
    default_tokens: int

    def cost(self, tokens: int | None) -> float:
        """Return the cost of one request against the limit."""
        if not self.counts_tokens:
            return 1.0
        return float(self.default_tokens if tokens is None else tokens)


@attrs.frozen(kw_only=True, eq=False)
class Catalog:
    """The routes, services, customers and limits of one configuration version."""

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
        """Whether requests need an API key, except on anonymous routes."""
        return bool(self.customers)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any.

        Prefixes end in a slash, so only the slashes in the path are tried and the cost
        doesn't grow with the number of routes.
        """
        routes_by_prefix = self._by_host.get(host.lower())
        if routes_by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def rank_of(self, customer: Customer | None) -> int:
        """Return a customer's rank, or the rank of a request without a customer.

        Unauthenticated requests get the lowest customer rank. With the highest, a few
        of them would delay the customers' own most urgent requests.
        """
        if customer is not None:
            return customer.rank
        return max((each.rank for each in self.customers), default=0)

    def customer_for(self, key: str) -> Customer | None:
        """Return the customer that holds the key."""
        return self._by_key.get(key)
