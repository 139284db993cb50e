"""Refuses arrivals over a customer limit or expected to miss their deadline."""

from random import Random

import attrs

from lavenderspoke.documents.service import Customer, Service
from lavenderspoke.drainrate import DrainRate
from lavenderspoke.model import Call, Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.waiting import WaitingQueue

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_BASE_MAX_S = 60.0
# Retry-After is lengthened at random by up to this share, so that refused callers
# don't all come back at once.
RETRY_AFTER_JITTER = 0.5


@attrs.define(kw_only=True)
class TokenBucket:
    """A token bucket that starts full; a request takes a token.

    >>> bucket = TokenBucket(per_s=2.0, burst=1, refilled_s=0.0)
    >>> bucket.take(0.0), bucket.take(0.0)
    (0.0, 0.5)
    """

    per_s: float
    burst: int
    refilled_s: float
    tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.tokens = float(self.burst)

    def take(self, now_s: float) -> float:
        """Take a token and return 0.0, or return the seconds until one is available."""
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.tokens = min(float(self.burst), self.tokens + elapsed_s * self.per_s)
        self.refilled_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.per_s


class Admission:
    """Admission control of one service at one entry.

    Customer limits apply to each entry separately: behind a load balancer, a
    customer may use its limits at every entry.
    """

    def __init__(self, *, service: Service, random: Random):
        self._service = service
        self._random = random
        self._buckets: dict[str, TokenBucket] = {}
        self._last_waits_s: dict[int, float] = {}

    def reconfigure(self, service: Service) -> None:
        """Apply a new service document; buckets of changed customers start full."""
        for name in list(self._buckets):
            if service.customer(name) != self._service.customer(name):
                del self._buckets[name]
        self._service = service

    def find_problem(
        self,
        call: Call,
        deadline_in_s: float,
        now_s: float,
        queue: WaitingQueue,
        drain_rate: DrainRate,
    ) -> Problem | None:
        """Return why a request is refused before it is queued, or None to admit it.

        The deadline is unreachable when, at the measured drain rate, the requests
        queued at the call's tier and above would take longer than the time left.
        Without a measured rate the deadline isn't checked.
        """
        wait_s = self._update_wait_s(call.tier, queue, drain_rate)
        if wait_s is not None and wait_s > deadline_in_s:
            return _refusal(
                Reason.DEADLINE_UNREACHABLE, self.retry_after_s(call.tier, now_s)
            )
        return self._check_customer_limits(call, now_s, queue)

    def retry_after_s(
        self,
        rank: int,
        now_s: float,
        queue: WaitingQueue | None = None,
        drain_rate: DrainRate | None = None,
    ) -> float:
        """Return the seconds after which a refused caller should retry, with jitter.

        It is the backlog at the tier and above divided by the drain rate: the
        current ones if `queue` and `drain_rate` are both given, else the latest
        estimate. Without a measured rate it is `RETRY_AFTER_MIN_S`.
        """
        if queue is not None and drain_rate is not None:
            self._update_wait_s(rank, queue, drain_rate)
        return self._with_jitter_s(self._last_waits_s.get(rank, RETRY_AFTER_MIN_S))

    def _update_wait_s(
        self, rank: int, queue: WaitingQueue, drain_rate: DrainRate
    ) -> float | None:
        tokens_per_s = drain_rate.tokens_per_s(rank)
        if tokens_per_s is None:
            self._last_waits_s.pop(rank, None)
            return None
        self._last_waits_s[rank] = queue.backlog_tokens(rank) / tokens_per_s
        return self._last_waits_s[rank]

    def _check_customer_limits(
        self, call: Call, now_s: float, queue: WaitingQueue
    ) -> Problem | None:
        customer = self._service.customer(call.customer)
        if customer is None:
            return None
        if queue.count_of_customer(customer.name) >= customer.waiting_max:
            return _refusal(Reason.CUSTOMER_LIMIT, self.retry_after_s(call.tier, now_s))
        wait_s = self._bucket_wait_s(customer, now_s)
        if wait_s > 0.0:
            return _refusal(Reason.CUSTOMER_LIMIT, self._with_jitter_s(wait_s))
        return None

    def _bucket_wait_s(self, customer: Customer, now_s: float) -> float:
        if not customer.requests_per_s:
            return 0.0
        if customer.name not in self._buckets:
            self._buckets[customer.name] = TokenBucket(
                per_s=customer.requests_per_s, burst=customer.burst, refilled_s=now_s
            )
        return self._buckets[customer.name].take(now_s)

    def _with_jitter_s(self, wait_s: float) -> float:
        bounded_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_BASE_MAX_S)
        return bounded_s * (1.0 + self._random.random() * RETRY_AFTER_JITTER)


def _refusal(reason: Reason, retry_after_s: float) -> Problem:
    return Problem(reason=reason, ran=Ran.NO, retry_after_s=retry_after_s)
