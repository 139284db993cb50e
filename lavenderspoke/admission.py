"""Which arrivals an entry refuses at once, and when they may come back."""

from random import Random

import attrs

from lavenderspoke.documents.service import Customer, Service
from lavenderspoke.drainrate import DrainRate
from lavenderspoke.model import Call, Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.waiting import WaitingQueue

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0
# Refused callers come back spread over this part of the wait beyond it.
RETRY_AFTER_JITTER = 0.5


@attrs.define(kw_only=True)
class TokenBucket:
    """A token bucket that starts full.

    >>> bucket = TokenBucket(per_s=2.0, burst=1, at_s=0.0)
    >>> bucket.take(0.0), bucket.take(0.0)
    (0.0, 0.5)
    """

    per_s: float
    burst: int
    at_s: float
    tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.tokens = float(self.burst)

    def take(self, now_s: float) -> float:
        """Take a token and return 0.0, or return the seconds until there is one."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.tokens = min(float(self.burst), self.tokens + elapsed_s * self.per_s)
        self.at_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.per_s


class Admission:
    """Admission to one service at one entry.

    A customer's limits hold at each entry by itself; with several entries
    behind a balancer, a customer may use the limit at each of them.
    """

    def __init__(self, *, service: Service, random: Random):
        self._service = service
        self._random = random
        self._buckets: dict[str, TokenBucket] = {}
        self._waits_s: dict[int, float] = {}

    def reconfigure(self, service: Service) -> None:
        """Put another document in force; changed limits start afresh."""
        for name in list(self._buckets):
            if service.customer(name) != self._service.customer(name):
                del self._buckets[name]
        self._service = service

    def admit(
        self,
        call: Call,
        deadline_in_s: float,
        now_s: float,
        queue: WaitingQueue,
        drain_rate: DrainRate,
    ) -> Problem | None:
        """Return why a request is refused before it waits, or None.

        A deadline counts as unreachable only when what waits at its tier and
        above can't leave before it at the measured rate. Where there is no
        measurement, the request is admitted.
        """
        wait_s = self._estimate_s(call.tier, queue, drain_rate)
        if wait_s is not None and wait_s > deadline_in_s:
            return _refusal(
                Reason.DEADLINE_UNREACHABLE, self.retry_after_s(call.tier, now_s)
            )
        return self._over_limit(call, now_s, queue)

    def retry_after_s(
        self,
        rank: int,
        now_s: float,
        queue: WaitingQueue | None = None,
        drain_rate: DrainRate | None = None,
    ) -> float:
        """Return when a refused caller of a tier should come back, with jitter.

        It comes from the drain rate: with `queue` and `drain` as they are now,
        else as they were at the tier's latest arrival.
        """
        if queue is not None and drain_rate is not None:
            self._estimate_s(rank, queue, drain_rate)
        return self._spread_s(self._waits_s.get(rank, RETRY_AFTER_MIN_S))

    def _estimate_s(
        self, rank: int, queue: WaitingQueue, drain: DrainRate
    ) -> float | None:
        tokens_per_s = drain.tokens_per_s(rank)
        if tokens_per_s is None:
            self._waits_s.pop(rank, None)
            return None
        self._waits_s[rank] = queue.backlog_tokens(rank) / tokens_per_s
        return self._waits_s[rank]

    def _over_limit(
        self, call: Call, now_s: float, queue: WaitingQueue
    ) -> Problem | None:
        customer = self._service.customer(call.customer)
        if customer is None:
            return None
        if queue.customer_count(customer.name) >= customer.waiting_max:
            return _refusal(Reason.CUSTOMER_LIMIT, self.retry_after_s(call.tier, now_s))
        wait_s = self._bucket_wait_s(customer, now_s)
        if wait_s > 0.0:
            return _refusal(Reason.CUSTOMER_LIMIT, self._spread_s(wait_s))
        return None

    def _bucket_wait_s(self, customer: Customer, now_s: float) -> float:
        if not customer.requests_per_s:
            return 0.0
        if customer.name not in self._buckets:
            self._buckets[customer.name] = TokenBucket(
                per_s=customer.requests_per_s, burst=customer.burst, at_s=now_s
            )
        return self._buckets[customer.name].take(now_s)

    def _spread_s(self, wait_s: float) -> float:
        bounded_s = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        return bounded_s * (1.0 + self._random.random() * RETRY_AFTER_JITTER)


def _refusal(reason: Reason, retry_after_s: float) -> Problem:
    return Problem(reason=reason, ran=Ran.NO, retry_after_s=retry_after_s)
