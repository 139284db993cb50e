"""Where an entry's threads meet its decisions: one lock around all of them.

The decisions themselves (scheduler, limits, crashes, peers) are plain classes;
each call here is short and none blocks.
"""

import threading
from random import Random

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.answers import answer_of
from lavenderspoke.direct.catalog import Catalog, Route
from lavenderspoke.direct.desk import Accepted, Look, Outcome
from lavenderspoke.direct.exchange import ConnectionPool
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import PassedOn, SharedState
from lavenderspoke.direct.quota import SharedQuota
from lavenderspoke.direct.refusals import not_run
from lavenderspoke.direct.rolling import Rollouts, Wish
from lavenderspoke.direct.scheduler import RETRY_AFTER_MIN_S, RETURN_PART, Scheduler
from lavenderspoke.direct.settings import RETRY_PART, Bounds
from lavenderspoke.direct.sharing import Peers, Returns, Whereabouts
from lavenderspoke.direct.surroundings import Surroundings
from lavenderspoke.direct.tickets import Rank, Ticket
from lavenderspoke.direct.usage import Rows
from lavenderspoke.direct.verdicts import Verdicts
from lavenderspoke.model import InstanceId, Ran
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.poison import CrashEvidence
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.retrybudget import RetryAllowance, RetryBudget
from lavenderspoke.rollouts.orders import Order, Stage

# The longest that a customer over its limit is told to wait, in seconds.
LIMIT_WAIT_MAX_S = 3.0
# How often the other entries are told all that customers used, in seconds; between
# that only of what changed, which with 16 customers saves a third of the bytes. A
# peer that missed a message is wrong for so long at most.
ALL_SPENT_EVERY_S = 1.0
# How long an entry keeps to its own part of customers' limits after its start, in
# seconds. Requests that waited while all entries started come to all in the same
# instant, and each would give out what the others give out too, before the messages of
# the first 0.1 s say so. Longer, it refuses customers whose callers come unevenly.
ALONE_S = 0.2
ATTEMPTS = "direct_attempts"
RETRIES = "direct_retries"
LOOKS = "direct_silence_looks"
FIRST_LATER = "direct_first_event_later_s"
FIRST_EARLIER = "direct_first_event_earlier_s"
PEERS_RUNNING = "direct_peers_running"

log = logbook.Logger(__name__)


class Office:
    """The decisions of one entry, safe for threads."""

    def __init__(
        self,
        *,
        name: str,
        whereabouts: Whereabouts,
        bounds: Bounds,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ):
        self.whereabouts = whereabouts
        self.bounds = bounds
        self._name = name
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._lock = threading.RLock()
        self._peers = Peers(own_name=name)
        self._returns = Returns()
        self._quota = SharedQuota(
            window_s=bounds.quota_window_s, tolerance=bounds.quota_tolerance
        )
        self._told_spent: dict[str, Rows] = {}
        self._all_spent_s = 0.0
        self._allowances: dict[str, RetryAllowance] = {}
        self._known = 1
        self._peers_listed = False
        self._alone_until_s = clock.monotonic_s() + ALONE_S
        self._connections: dict[str, ConnectionPool] = {}
        self._services: frozenset[str] = frozenset()
        self._orders_read_s = float("-inf")
        self._rollouts = Rollouts(random=random, metrics=metrics)
        self._scheduler = Scheduler(
            random=random,
            peers_running=self._peers.running,
            peers_share=self._peers.share,
            access=self._rollouts.access,
            canary=self._rollouts.canary,
        )
        self._verdicts = Verdicts(
            own_name=name, scheduler=self._scheduler, metrics=metrics
        )

    # Arrival

    def choose_service(self, route: Route) -> str:
        """Return the service for one request, by the route's weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def admit(self, accepted: Accepted) -> Result[Accepted, Problem]:
        """Check a request's content and its customer's limit."""
        with self._lock:
            now_s = self._now_s()
            service, fingerprint = accepted.service, accepted.fingerprint
            self._allowance(service).record_first_attempt(now_s)
            if self._verdicts.crashes.quarantined(service, fingerprint, now_s):
                return Err(not_run(Reason.CRASHES_UPSTREAMS))
            first_s = self._returns.take(fingerprint, now_s)
            refused = self._spend(accepted, now_s, returned=first_s is not None)
            if refused is not None:
                # It is told when to come back, so it counts as one that did.
                self._returns.refused(fingerprint, first_s or accepted.first_s)
                return Err(refused)
        if first_s is None:
            return Ok(accepted)
        return Ok(attrs.evolve(accepted, returned=True, first_s=first_s))

    def _spend(
        self, accepted: Accepted, now_s: float, *, returned: bool
    ) -> Problem | None:
        customer = accepted.customer
        if customer is None:
            return None
        cost = customer.cost(accepted.head.tokens)
        rank = accepted.route.rank
        if self._quota.spend(customer, cost, rank=rank, now_s=now_s, returned=returned):
            return None
        wait_s = self._quota.wait_s(customer, cost, rank=rank, now_s=now_s)
        latest_s = max(0.0, (accepted.until_s - now_s) * RETURN_PART)
        after_s = min(max(RETRY_AFTER_MIN_S, wait_s), LIMIT_WAIT_MAX_S, latest_s)
        detail = self._quota.explain(customer, cost, rank=rank, now_s=now_s)
        return not_run(Reason.CUSTOMER_LIMIT, detail, after_s)

    def refused(self, accepted: Accepted, *, ran: Ran) -> None:
        """Note a request that got no answer from an upstream."""
        with self._lock:
            self._returns.refused(accepted.fingerprint, accepted.first_s)
            customer = accepted.customer
            if ran is Ran.NO and customer is not None:
                cost = customer.cost(accepted.head.tokens)
                rank, now_s = accepted.route.rank, self._now_s()
                self._quota.refund(customer, cost, rank=rank, now_s=now_s)

    # Desk

    def submit(self, ticket: Ticket) -> None:
        with self._lock:
            self._scheduler.line(ticket.service).submit(ticket, self._now_s())

    def withdraw(self, ticket: Ticket) -> bool:
        with self._lock:
            return self._scheduler.line(ticket.service).withdraw(ticket)

    def began(self, ticket: Ticket, upstream: Upstream) -> None:
        with self._lock:
            line = self._scheduler.line(ticket.service)
            late_s = line.began(ticket, upstream.upstream_id, self._now_s())
        name = FIRST_LATER if late_s > 0.0 else FIRST_EARLIER
        tier = str(ticket.rank[1])
        self._metrics.observe(name, ticket.service, tier, abs(late_s))

    def ended(
        self, ticket: Ticket, upstream: Upstream, accepted: Accepted, outcome: Outcome
    ) -> None:
        self._metrics.count(ATTEMPTS, outcome.value)
        with self._lock:
            now_s = self._now_s()
            self._verdicts.ended(upstream, accepted, outcome, now_s)
            line = self._scheduler.line(ticket.service)
            line.ended(ticket, upstream.upstream_id, now_s)
            answer = answer_of(ticket, accepted.route, outcome, now_s)
            if answer is not None:
                self._rollouts.answered(upstream, answer)

    def give_back(self, ticket: Ticket, upstream: Upstream) -> None:
        with self._lock:
            line = self._scheduler.line(ticket.service)
            line.give_back(ticket, upstream.upstream_id, self._now_s())

    def connections(self, upstream: Upstream) -> ConnectionPool:
        with self._lock:
            pool = self._connections.get(upstream.upstream_id)
            if pool is None:
                pool = ConnectionPool(
                    host=upstream.host, port=upstream.port, clock=self._clock
                )
                self._connections[upstream.upstream_id] = pool
            return pool

    def may_retry(self, service: str) -> bool:
        with self._lock:
            may = self._allowance(service).try_spend(self._now_s())
        self._metrics.count(RETRIES, "sent" if may else "budget_spent")
        return may

    def retry_unused(self, service: str) -> None:
        with self._lock:
            self._allowance(service).refund()
        self._metrics.count(RETRIES, "unused")

    def looked(self, look: Look) -> None:
        self._metrics.count(LOOKS, look.value)

    def written(self, ticket: Ticket, steps: int) -> None:
        with self._lock:
            ticket.events = steps
            pool = self._scheduler.line(ticket.service).pool
            pool.writing.wrote(tokens=ticket.answer_tokens, steps=steps)

    def stepped(self, upstream: Upstream, step_s: float) -> None:
        with self._lock:
            line = self._scheduler.line(upstream.service)
            seat = line.pool.seat(upstream.upstream_id)
            if seat is not None:
                seat.health.stepped(step_s)

    # Upstreams and catalog

    def upstreams_changed(self, upstreams: tuple[Upstream, ...]) -> None:
        """Take over the platform's list of upstreams.

        One that has started again holds nothing of before, so what still waits for
        an answer of its earlier start is broken off. Where a cut hid the crash, a
        caller would otherwise wait for seconds until the connection counts as dead.
        """
        with self._lock:
            now_s = self._now_s()
            self._rollouts.listed(upstreams, now_s)
            self._scheduler.reconfigure(upstreams, now_s)
            restarted = self._verdicts.listed(upstreams, now_s)
            listed = {each.upstream_id for each in upstreams}
            left = [each for each in self._connections if each not in listed]
            pools = {each: self._connections.pop(each) for each in left}
        for pool in pools.values():
            pool.close()
        for upstream in restarted:
            log.info("upstream started again", upstream=upstream.upstream_id)
            if upstream.upstream_id in pools:
                pools[upstream.upstream_id].abort()

    def catalog_changed(self, catalog: Catalog) -> None:
        """Take over customers' limits and the services that are in use."""
        with self._lock:
            self._services = frozenset(
                share.service for route in catalog.routes for share in route.shares
            )
            self._quota.reconfigure(catalog.customers, now_s=self._now_s())

    def reload(self, bounds: Bounds) -> None:
        """Put changed bounds in force."""
        with self._lock:
            self.bounds = bounds
            self._quota.count_over(bounds.quota_window_s, bounds.quota_tolerance)
            self._share_retries()

    def has_upstreams(self) -> bool:
        """Return whether any upstream is known to which a route leads."""
        with self._lock:
            lines = self._scheduler.lines()
            return any(lines[name].pool.slots() for name in self._services & set(lines))

    # Roll-outs

    def ordered(self, order: Order) -> None:
        """Take over an operator's order to move a service to another version."""
        with self._lock:
            self._rollouts.ordered(order, self._now_s())
            self._scheduler.rolled()

    def order_withdrawn(self, service: str, number: int) -> None:
        """Stop the roll-out that was ordered before record `number`."""
        with self._lock:
            self._rollouts.withdrawn(service, number, self._now_s())
            self._scheduler.rolled()

    def orders_read(self, sent_s: float) -> None:
        """Note that a read sent then has shown all orders."""
        with self._lock:
            self._orders_read_s = max(self._orders_read_s, sent_s)
            if self._rollouts.orders_read(sent_s):
                self._scheduler.rolled()

    def rollout_stored(self, order: Order, stage: Stage, elapsed_s: float) -> None:
        """Take over what the store says of a roll-out that was ordered so long ago."""
        with self._lock:
            self._rollouts.stored(order, stage, elapsed_s, self._now_s())
            self._scheduler.rolled()

    def rollout_wishes(self) -> list[Wish]:
        """Return the roll-outs whose record is for this entry to write."""
        with self._lock:
            if not self._rollouts.is_any_running:
                return []
            now_s = self._now_s()
            return self._rollouts.wishes(self._surroundings(now_s), now_s)

    # Peers

    def peers_listed(self, entries: dict[str, Whereabouts]) -> None:
        """Take over the entries that the platform's store names."""
        with self._lock:
            now_s = self._now_s()
            self._peers_listed = True
            self._peers.listed(entries, now_s)
            self._share(now_s)

    def knows_peers(self) -> bool:
        """Return whether the platform's store has named the other entries."""
        return self._peers_listed

    def heard(self, sender: InstanceId, state: SharedState) -> bool:
        """Take in what another entry told; return whether it is news."""
        with self._lock:
            return self._take_in(sender, state, self._now_s(), age_s=None)

    def heard_passed_on(self, states: tuple[PassedOn, ...]) -> None:
        """Take in what others told, as one of them passes it on."""
        with self._lock:
            now_s = self._now_s()
            for each in states:
                age_s = max(0.0, each.age_s)
                self._take_in(each.sender, each.state, now_s, age_s=age_s)

    def heard_of_crash(self, evidence: CrashEvidence) -> None:
        """Take in a crash that another entry saw."""
        with self._lock:
            self._verdicts.crashes.heard(evidence, self._now_s())

    def tick(self) -> None:
        """Serve the lines again and follow what the peers said."""
        with self._lock:
            now_s = self._now_s()
            self._share(now_s)
            self._verdicts.tick(now_s)
            self._peers.drop_silent(now_s)
            self._scheduler.tick(now_s)
            self._roll(now_s)
            lines = self._scheduler.lines().values()
            running = sum(line.pool.peers_running() for line in lines)
        self._metrics.gauge(PEERS_RUNNING, running)

    def known_peers(self) -> dict[str, Whereabouts]:
        """Return the other entries that may be alive, by name."""
        with self._lock:
            return self._peers.known(self._now_s())

    def heard_names(self) -> list[str]:
        """Return the names of the other entries that were heard just now."""
        with self._lock:
            return self._peers.heard_names(self._now_s())

    def speaking_names(self) -> list[str]:
        """Return the names of those that told this entry something just now."""
        with self._lock:
            return self._peers.speaking_names(self._now_s())

    def gone_peers(self) -> list[str]:
        """Forget the entries that are gone and return their addresses."""
        with self._lock:
            return self._peers.gone(self._now_s())

    def news(self, *, leaving: bool) -> list[SharedState | CrashEvidence]:
        """Return what the other entries are to be told now."""
        with self._lock:
            running, waiting, held = {}, {}, {}
            for service, line in self._scheduler.lines().items():
                for upstream_id, each in line.pool.running().items():
                    running[upstream_id] = (each.requests, each.prefill_tokens)
                if rows := line.waiting():
                    waiting[service] = _rows(rows)
                if rows := line.held():
                    held[service] = _rows(rows)
            found = self._verdicts.news()
            state = SharedState(
                address=self.whereabouts.address,
                data_centre=self.whereabouts.data_centre,
                running=running,
                waiting=waiting,
                held=held,
                spent=self._spent_news(),
                rollouts=self._rollouts.news(self._now_s()),
                refused=self._returns.news(),
                gone=found.gone,
                unreached=found.unreached,
                failing=found.failing,
                leaving=leaving,
            )
            evidence = self._verdicts.evidence()
        return [state, *evidence]

    # Inside

    def _take_in(
        self, sender: InstanceId, state: SharedState, now_s: float, age_s: float | None
    ) -> bool:
        if not self._peers.heard(sender, state, now_s, age_s=age_s):
            return False
        self._returns.heard(state.refused, now_s)
        self._rollouts.heard(sender, state.rollouts, now_s)
        self._verdicts.heard(sender.name, state, now_s)
        self._quota.peer_spent(
            sender.name, sender.incarnation, state.spent, now_s=now_s
        )
        return True

    def _roll(self, now_s: float) -> None:
        """Go on with roll-outs where it is time."""
        if not self._rollouts.is_any_running:
            return
        places = {
            service: line.pool.places()
            for service, line in self._scheduler.lines().items()
            if self._rollouts.canary(service) is not None
        }
        if self._rollouts.tick(places, self._surroundings(now_s), now_s):
            self._scheduler.rolled()

    def _surroundings(self, now_s: float) -> Surroundings:
        return Surroundings(
            name=self._name,
            heard=tuple(self._peers.heard_names(now_s)),
            known=1 + len(self._peers.known(now_s)),
            orders_age_s=now_s - self._orders_read_s,
            bounds=self.bounds.rollout,
        )

    def _share(self, now_s: float) -> None:
        """Keep to the part of limits and budgets that is this entry's now."""
        heard, known = self._peers.heard_and_known(now_s)
        alone = now_s < self._alone_until_s
        self._quota.share(heard=1 if alone else heard, known=known)
        if known != self._known:
            self._known = known
            self._share_retries()

    def _spent_news(self) -> dict[str, Rows]:
        """Return what customers used in all, of those for which it changed."""
        now_s, before = self._now_s(), self._told_spent
        spent = self._told_spent = self._quota.spent()
        if now_s >= self._all_spent_s + ALL_SPENT_EVERY_S:
            self._all_spent_s = now_s
            return spent
        return {name: used for name, used in spent.items() if used != before.get(name)}

    def _allowance(self, service: str) -> RetryAllowance:
        if service not in self._allowances:
            self._allowances[service] = RetryAllowance(
                budget=self._retry_budget(), now_s=self._now_s()
            )
        return self._allowances[service]

    def _share_retries(self) -> None:
        """Give each service's allowance the part that this entry has now.

        An entry that has just started knows no other one yet; kept for good, its
        part would then be all of the slack.
        """
        budget = self._retry_budget()
        for allowance in self._allowances.values():
            allowance.reconfigure(budget)

    def _retry_budget(self) -> RetryBudget:
        bounds = self.bounds
        slack = bounds.retry_slack * RETRY_PART / self._known
        return RetryBudget(
            ratio=bounds.retry_ratio * RETRY_PART,
            per_s_min=slack / bounds.retry_window_s,
        )

    def _now_s(self) -> float:
        return self._clock.monotonic_s()


def _rows(counts: dict[Rank, int]) -> tuple[tuple[int, int, int], ...]:
    return tuple((*rank, count) for rank, count in counts.items())
