"""The dispatcher of an entry; a single lock guards all of its state.

The decisions themselves (scheduler, limits, crashes, peers) are plain classes without
locks. Each call here is short and none blocks.
"""

import threading
from collections import Counter
from random import Random

import attrs
import logbook
from result import Err, Ok, Result

from lavenderspoke.clock import Clock
from lavenderspoke.direct.askingrows import are_valid, asking_rows
from lavenderspoke.direct.attemptresults import attempt_result
from lavenderspoke.direct.backpressure import Backpressure
from lavenderspoke.direct.burstcredits import BURST_CREDITS_METRIC, BurstCredits
from lavenderspoke.direct.catalog import Catalog, Route
from lavenderspoke.direct.clusterview import ClusterView
from lavenderspoke.direct.connectionpools import ConnectionPools
from lavenderspoke.direct.connectionpreference import ConnectionView
from lavenderspoke.direct.crashchecks import CrashChecks
from lavenderspoke.direct.crashsync import CrashSync
from lavenderspoke.direct.dispatcher import (
    AcceptedRequest,
    AttemptOutcome,
    RelocationResult,
)
from lavenderspoke.direct.enginetimenews import EngineTimeNews
from lavenderspoke.direct.exchange import ConnectionPool
from lavenderspoke.direct.hedging import HedgePlan, HedgeResult, HedgeTimer
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.messages import DirectMessage, PassedOn, SharedState
from lavenderspoke.direct.pacemonitor import PaceMonitor
from lavenderspoke.direct.policies import ALL_POLICIES, Policies
from lavenderspoke.direct.quota import SharedQuota
from lavenderspoke.direct.refusals import QUARANTINED_DETAIL, not_run
from lavenderspoke.direct.rolling import Rollouts, StatusUpdate
from lavenderspoke.direct.scheduler import Scheduler
from lavenderspoke.direct.settings import RETRY_BUDGET_SHARE, Bounds
from lavenderspoke.direct.sharereports import ShareReports
from lavenderspoke.direct.shareweights import share_weights
from lavenderspoke.direct.sharing import EntryLocation, Peers, Resubmissions
from lavenderspoke.direct.spillovers import Spillovers
from lavenderspoke.direct.storedfacts import StoredFacts
from lavenderspoke.direct.streamexchange import StreamExchange, StreamOrigin
from lavenderspoke.direct.streamversions import StreamVersions
from lavenderspoke.direct.tickets import Rank, Ticket
from lavenderspoke.direct.usage import UsageRows
from lavenderspoke.direct.verdicts import UpstreamMonitor
from lavenderspoke.direct.waitpolicy import RETRY_AFTER_MAX_SHARE, RETRY_AFTER_MIN_S
from lavenderspoke.http.upstreamsignals import UpstreamSignals
from lavenderspoke.model import InstanceId, Ran
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined
from lavenderspoke.retrybudget import RetryAllowance, RetryBudget
from lavenderspoke.rollouts.orders import Order, Stage

# The longest Retry-After, in seconds, for a customer over its limit.
LIMIT_RETRY_AFTER_MAX_S = 3.0
# Interval, in seconds, at which all customers' usage is sent to the other entries. In
# between only changes are sent, which with 16 customers saves a third of the bytes. A
# peer that missed a message has outdated usage for at most this long.
FULL_USAGE_INTERVAL_S = 1.0
# How long an entry keeps to its own share of customers' limits after its start, in
# seconds. Until the messages of the first 0.1 s arrive, entries that start together
# would each grant the same unused share to requests that waited for the start. A longer
# time refuses customers whose callers are unevenly spread.
OWN_SHARE_ONLY_S = 0.2
# Interval, in seconds, at which customers' burst credits are decided on.
BURST_CREDITS_INTERVAL_S = 0.1
ATTEMPTS_METRIC = "direct_attempts"
RETRIES_METRIC = "direct_retries"
RELOCATIONS_METRIC = "direct_silence_looks"
FIRST_EVENT_LATER_METRIC = "direct_first_event_later_s"
FIRST_EVENT_EARLIER_METRIC = "direct_first_event_earlier_s"
PEER_REQUESTS_METRIC = "direct_peers_running"
BOOKINGS_METRIC = "direct_bookings"
BOOKINGS_BEGUN = "slots booked for callers who return"
BOOKINGS_ENDED = "no more slots booked for callers who return"
HEDGES_METRIC = "direct_hedges"

log = logbook.Logger(__name__)


class DirectDispatcher:
    """The decisions of one entry; thread-safe."""

    def __init__(
        self,
        *,
        name: str,
        location: EntryLocation,
        bounds: Bounds,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        policies: Policies = ALL_POLICIES,
    ):
        self.location = location
        self.bounds = bounds
        self._name = name
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._lock = threading.RLock()
        self._peers = Peers(own_name=name)
        self._resubmissions = Resubmissions()
        self._burst_credits = None
        if policies.burst_credits:
            self._burst_credits = BurstCredits(
                name=name, now_s=clock.monotonic_s(), window_s=bounds.quota_window_s
            )
        self._burst_credits_updated_s = 0.0
        self._quota = SharedQuota(
            window_s=bounds.quota_window_s,
            tolerance=bounds.quota_tolerance,
            credits=self._burst_credits,
        )
        self._sent_usage: dict[str, UsageRows] = {}
        self._full_usage_sent_s = 0.0
        self._engine_time_news = EngineTimeNews()
        self._share_reports = ShareReports(service="", metrics=metrics)
        self._retry_allowances: dict[str, RetryAllowance] = {}
        self._known_entries = 1
        self._malformed_bookings: set[str] = set()
        self._booked_services: set[str] = set()
        self._peers_listed = False
        self._own_share_only_until_s = clock.monotonic_s() + OWN_SHARE_ONLY_S
        self.connection_pools = ConnectionPools(clock=clock, metrics=metrics)
        self._services: frozenset[str] = frozenset()
        self._orders_read_s = float("-inf")
        self._rollouts = Rollouts(random=random, metrics=metrics)
        self._backpressure = Backpressure(metrics=metrics)
        self._spillovers = Spillovers(
            data_centre=location.data_centre,
            is_on=policies.spillover,
            metrics=metrics,
        )
        # None if the policy is off.
        self._pace = (
            PaceMonitor(metrics=metrics, reading_s=self._reading_s)
            if policies.stall_avoidance
            else None
        )
        self._hedge_timer = HedgeTimer()
        self.stream_versions = StreamVersions(clock=clock)
        self.streams = StreamExchange(
            versions=self.stream_versions,
            data_centre=location.data_centre,
            live=self._live_peers,
            known=self.known_peers,
            clock=clock,
            metrics=metrics,
        )
        self._crash_sync = CrashSync()
        self._scheduler = Scheduler(
            random=random,
            backpressure=self._backpressure,
            peer_loads=self._peers.loads,
            peer_counts=self._peers.counts,
            access=self._rollouts.access,
            canary=self._rollouts.canary_splitter,
            policies=policies,
            data_centre=location.data_centre,
            connection_view=ConnectionView(
                entry_name=name,
                live_entries=lambda: self._peers.live_names(self._now_s()),
                has_idle=self.connection_pools.has_idle,
                metrics=metrics,
            ),
            metrics=metrics,
            spillovers=self._spillovers,
            slowdowns=self._pace.slowdowns if self._pace is not None else dict,
        )
        self._upstream_monitor = UpstreamMonitor(
            name=name, scheduler=self._scheduler, metrics=metrics
        )
        self.crash_checks = CrashChecks(
            monitor=self._upstream_monitor,
            connection_pool=self.connection_pool,
            clock=clock,
            lock=self._lock,
        )
        self.facts = StoredFacts(
            name=name,
            monitor=self._upstream_monitor,
            stream_versions=self.stream_versions,
            live_peer_names=self.live_peer_names,
            clock=clock,
            lock=self._lock,
        )

    # Arrival

    def choose_service(self, route: Route) -> str:
        """Return the service for a request, drawn by the route's weights."""
        if len(route.traffic_split) == 1:
            return route.traffic_split[0].service
        weights = [share.weight for share in route.traffic_split]
        return self._random.choices(route.traffic_split, weights)[0].service

    def admit(self, accepted: AcceptedRequest) -> Result[AcceptedRequest, Problem]:
        """Check a request and charge its customer's limit; mark it if resubmitted."""
        with self._lock:
            now_s = self._now_s()
            service, fingerprint = accepted.service, accepted.fingerprint
            self._retry_allowance(service).record_first_attempt(now_s)
            self._upstream_monitor.record_arrival(accepted)
            if self._upstream_monitor.is_quarantined(accepted, now_s):
                return Err(not_run(Reason.CRASHES_UPSTREAMS, QUARANTINED_DETAIL))
            first_arrived_s = self._resubmissions.take(fingerprint, now_s)
            refusal = self._charge_quota(
                accepted, now_s, resubmitted=first_arrived_s is not None
            )
            if refusal is not None:
                # Its caller is told when to retry; that request is a resubmission.
                self._resubmissions.record_refusal(
                    fingerprint, first_arrived_s or accepted.first_arrived_s
                )
                return Err(refusal)
        if first_arrived_s is None:
            return Ok(accepted)
        return Ok(
            attrs.evolve(accepted, resubmitted=True, first_arrived_s=first_arrived_s)
        )

    def _charge_quota(
        self, accepted: AcceptedRequest, now_s: float, *, resubmitted: bool
    ) -> Problem | None:
        customer = accepted.customer
        if customer is None:
            return None
        cost = customer.cost(accepted.head.total_tokens)
        route_rank = accepted.route.rank
        if self._quota.spend(
            customer, cost, rank=route_rank, now_s=now_s, resubmitted=resubmitted
        ):
            return None
        wait_s = self._quota.wait_s(customer, cost, rank=route_rank, now_s=now_s)
        retry_after_max_s = max(
            0.0, (accepted.deadline_s - now_s) * RETRY_AFTER_MAX_SHARE
        )
        retry_after_s = min(
            max(RETRY_AFTER_MIN_S, wait_s), LIMIT_RETRY_AFTER_MAX_S, retry_after_max_s
        )
        detail = self._quota.explain(customer, cost, rank=route_rank, now_s=now_s)
        return not_run(Reason.CUSTOMER_LIMIT, detail, retry_after_s)

    def record_refusal(self, accepted: AcceptedRequest, *, ran: Ran) -> None:
        """Record a refused request, and refund its cost if it did not run."""
        with self._lock:
            self._resubmissions.record_refusal(
                accepted.fingerprint, accepted.first_arrived_s
            )
            customer = accepted.customer
            if ran is Ran.NO and customer is not None:
                cost = customer.cost(accepted.head.total_tokens)
                route_rank, now_s = accepted.route.rank, self._now_s()
                self._quota.refund(customer, cost, rank=route_rank, now_s=now_s)

    # Dispatcher

    def submit(self, ticket: Ticket) -> None:
        with self._lock:
            self._scheduler.queue(ticket.service).submit(ticket, self._now_s())

    def withdraw(self, ticket: Ticket) -> bool:
        with self._lock:
            return self._scheduler.queue(ticket.service).withdraw(ticket)

    def first_event_received(self, ticket: Ticket, upstream: Upstream) -> None:
        with self._lock:
            queue = self._scheduler.queue(ticket.service)
            late_s = queue.record_first_event(
                ticket, upstream.upstream_id, self._now_s()
            )
            self._record_event(ticket, upstream)
        name = FIRST_EVENT_LATER_METRIC if late_s > 0.0 else FIRST_EVENT_EARLIER_METRIC
        tier = str(ticket.rank[1])
        self._metrics.observe(name, ticket.service, tier, abs(late_s))

    def response_received(
        self, upstream: Upstream, signals: UpstreamSignals, *, sent_s: float
    ) -> None:
        with self._lock:
            now_s = self._now_s()
            self._backpressure.record_response(
                upstream, signals, sent_s=sent_s, now_s=now_s
            )
            crashes = self._upstream_monitor.crashes
            crashes.record_alive(upstream.upstream_id, now_s)
            if signals.is_leaving:
                crashes.record_leaving(upstream.upstream_id, now_s)

    def takes_requests(self, upstream: Upstream) -> bool:
        with self._lock:
            return self._backpressure.takes_requests(
                upstream.upstream_id, self._now_s()
            )

    def reserved_slot_used(self, upstream: Upstream) -> None:
        with self._lock:
            self._backpressure.record_sent(upstream.upstream_id, self._now_s())

    def blocked_s(self, service: str) -> float:
        with self._lock:
            return self._scheduler.queue(service).pool.blocked_s(self._now_s())

    def attempt_ended(
        self,
        ticket: Ticket,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
    ) -> None:
        self._metrics.count(ATTEMPTS_METRIC, outcome.value)
        with self._lock:
            now_s = self._now_s()
            self._upstream_monitor.record_attempt(
                upstream,
                accepted,
                outcome,
                now_s,
                sent_s=ticket.sent_s,
                heard_s=max(ticket.sent_s, ticket.heard_s),
            )
            queue = self._scheduler.queue(ticket.service)
            queue.release(ticket, upstream.upstream_id, now_s)
            self._record_end(ticket, upstream, accepted, outcome, now_s)
            result = attempt_result(ticket, accepted.route, outcome, now_s)
            if result is not None:
                self._rollouts.record_attempt(upstream, result)

    def is_quarantined(self, accepted: AcceptedRequest) -> bool:
        with self._lock:
            return self._upstream_monitor.is_quarantined(accepted, self._now_s())

    def connection_refused(self, upstream: Upstream) -> None:
        self.crash_checks.connection_refused(upstream)

    def check_ended(self, upstream: Upstream) -> None:
        self.crash_checks.check_broken(upstream)

    def has_ended(self, upstream: Upstream) -> bool:
        return self.crash_checks.has_ended(upstream)

    def release_slot(self, ticket: Ticket, upstream: Upstream) -> None:
        with self._lock:
            queue = self._scheduler.queue(ticket.service)
            queue.release_unused(ticket, upstream.upstream_id, self._now_s())

    def connection_pool(self, upstream: Upstream) -> ConnectionPool:
        return self.connection_pools.of(upstream)

    def take_retry(self, service: str) -> bool:
        with self._lock:
            is_taken = self._retry_allowance(service).try_spend(self._now_s())
        self._metrics.count(RETRIES_METRIC, "sent" if is_taken else "budget_spent")
        return is_taken

    def return_retry(self, service: str) -> None:
        with self._lock:
            self._retry_allowance(service).refund()
        self._metrics.count(RETRIES_METRIC, "unused")

    def relocation_checked(self, result: RelocationResult) -> None:
        self._metrics.count(RELOCATIONS_METRIC, result.value)

    def hedge_plan(self, accepted: AcceptedRequest) -> HedgePlan | None:
        if self._pace is None:
            return None
        with self._lock:
            return self._hedge_timer.plan((accepted.service, accepted.route.name))

    def request_overdue(self, upstream: Upstream, elapsed_s: float) -> None:
        with self._lock:
            if self._pace is not None:
                self._pace.request_overdue(
                    upstream.upstream_id, elapsed_s, self._now_s()
                )

    def hedge_ended(
        self, accepted: AcceptedRequest, result: HedgeResult, *, after_s: float
    ) -> None:
        self._metrics.count(HEDGES_METRIC, result.value)
        if result is HedgeResult.WON:
            # The first attempt was given up after so long. If only answers counted,
            # each second attempt would make the next ones come sooner.
            with self._lock:
                kind = (accepted.service, accepted.route.name)
                self._hedge_timer.record(kind, after_s)

    def stream_completed(self, ticket: Ticket, steps: int) -> None:
        with self._lock:
            ticket.events = steps
            pool = self._scheduler.queue(ticket.service).pool
            pool.decode_rate.record(tokens=ticket.answer_tokens, steps=steps)

    def event_interval_measured(
        self, ticket: Ticket, upstream: Upstream, step_s: float
    ) -> None:
        with self._lock:
            self._record_event(ticket, upstream)
            queue = self._scheduler.queue(upstream.service)
            state = queue.pool.state_of(upstream.upstream_id)
            if state is not None:
                state.health.record_step(step_s)

    # Upstreams and catalog

    def upstreams_changed(self, upstreams: tuple[Upstream, ...]) -> None:
        """Apply the platform's list of upstreams.

        A restarted upstream has lost its requests, so those that await a response of
        its earlier incarnation are aborted. If a network partition hid the crash, a
        caller would otherwise wait seconds until the connection times out.
        """
        with self._lock:
            now_s = self._now_s()
            self.stream_versions.update_listed(upstreams)
            self._rollouts.update_upstreams(upstreams, now_s)
            self._backpressure.update_listed(upstreams, now_s)
            self._scheduler.reconfigure(upstreams, now_s)
            if self._pace is not None:
                self._pace.retain(each.upstream_id for each in upstreams)
            restarted = self._upstream_monitor.update_listed(upstreams, now_s)
            listed = {each.upstream_id for each in upstreams}
            pools = self.connection_pools.remove_unlisted(listed)
        for pool in pools.values():
            pool.close_idle()
        for upstream in restarted:
            log.info("upstream started again", upstream=upstream.upstream_id)
            if upstream.upstream_id in pools:
                pools[upstream.upstream_id].abort()

    def upstreams_read(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` has returned all upstreams."""
        self.stream_versions.record_read(sent_s)

    def catalog_changed(self, catalog: Catalog) -> None:
        """Apply customers' limits and the services in use."""
        with self._lock:
            self._services = frozenset(
                share.service
                for route in catalog.routes
                for share in route.traffic_split
            )
            self._quota.reconfigure(catalog.customers, now_s=self._now_s())
            self._scheduler.set_share_weights(share_weights(catalog.customers))
            # A single customer has nobody to share with.
            self._engine_time_news.is_needed = len(catalog.customers) > 1

    def reload(self, bounds: Bounds) -> None:
        """Apply changed bounds."""
        with self._lock:
            self.bounds = bounds
            self._quota.set_window(bounds.quota_window_s, bounds.quota_tolerance)
            self._update_retry_budgets()

    def has_upstreams(self) -> bool:
        """Return whether any service in use has an upstream that takes requests."""
        with self._lock:
            queues = self._scheduler.queues()
            return any(
                queues[name].pool.slots() for name in self._services & set(queues)
            )

    # Roll-outs

    def rollout_ordered(self, order: Order) -> None:
        """Apply an operator's order to move a service to another version."""
        with self._lock:
            self._rollouts.add_order(order, self._now_s())
            self._scheduler.rollouts_changed()

    def order_withdrawn(self, service: str, number: int) -> None:
        """Stop a roll-out ordered before its withdrawal, which is record `number`."""
        with self._lock:
            self._rollouts.withdraw_order(service, number, self._now_s())
            self._scheduler.rollouts_changed()

    def rollout_records_lost(self) -> None:
        """Write the records of roll-outs again: the store has come back from a copy."""
        with self._lock:
            self._rollouts.records_lost()

    def orders_read(self, sent_s: float) -> None:
        """Record that a read sent at `sent_s` has returned all orders."""
        with self._lock:
            self._orders_read_s = max(self._orders_read_s, sent_s)
            if self._rollouts.release_held_versions(sent_s):
                self._scheduler.rollouts_changed()

    def rollout_stored(self, order: Order, stage: Stage, elapsed_s: float) -> None:
        """Apply the stored stage of a roll-out ordered `elapsed_s` ago."""
        with self._lock:
            self._rollouts.apply_stored_stage(order, stage, elapsed_s, self._now_s())
            self._scheduler.rollouts_changed()

    def rollout_records_due(self) -> list[StatusUpdate]:
        """Return the roll-outs whose record this entry should write."""
        with self._lock:
            if not self._rollouts.may_need_record:
                return []
            now_s = self._now_s()
            return self._rollouts.status_updates(self._cluster_view(now_s), now_s)

    # Burst credits

    def burst_credits_read(self, records: dict[str, float]) -> None:
        """Apply the burst credits that the store holds when this entry starts."""
        if self._burst_credits is not None:
            with self._lock:
                self._burst_credits.read_records(records, self._now_s())

    def burst_credits_lost(self, records: dict[str, float]) -> None:
        """Apply the credits in a copy of the store that may lack later records."""
        if self._burst_credits is not None:
            with self._lock:
                self._burst_credits.records_lost(records, self._now_s())

    def burst_credits_due(self) -> tuple[dict[str, float], list[str]]:
        """Return the credits to record and the customers whose record to delete."""
        if self._burst_credits is None:
            return {}, []
        with self._lock:
            credits = self._burst_credits
            return credits.writes_due(), credits.deletions_due()

    def burst_credit_written(self, customer: str, tokens: float) -> None:
        """Put a credit in force that the store has acknowledged."""
        with self._lock:
            self._burst_credits.record_written(customer, tokens)

    def burst_credit_deleted(self, customer: str) -> None:
        """Forget a credit whose record is deleted."""
        with self._lock:
            self._burst_credits.record_deleted(customer)

    # Peers

    def peers_listed(self, entries: dict[str, EntryLocation]) -> None:
        """Apply the list of entries from the platform's store."""
        with self._lock:
            now_s = self._now_s()
            self._peers_listed = True
            if self._burst_credits is not None:
                # A list without records means that there are none.
                self._burst_credits.read_records({}, now_s)
            self._peers.update_listed(entries, now_s)
            self._update_shares(now_s)

    def knows_peers(self) -> bool:
        """Return whether the platform's store has listed the other entries."""
        return self._peers_listed

    def receive_state(self, sender: InstanceId, state: SharedState) -> bool:
        """Merge the state that another entry sent; return whether it is new."""
        with self._lock:
            return self._merge_state(sender, state, self._now_s(), age_s=None)

    def receive_forwarded_states(self, states: tuple[PassedOn, ...]) -> None:
        """Merge states of other entries that one of them passed on."""
        with self._lock:
            now_s = self._now_s()
            for each in states:
                age_s = max(0.0, each.age_s)
                self._merge_state(each.sender, each.state, now_s, age_s=age_s)

    def receive_crash_evidence(self, evidence: CrashEvidence) -> None:
        """Merge evidence of a crash that another entry observed."""
        with self._lock:
            self._upstream_monitor.merge_evidence(evidence, self._now_s())

    def tick(self) -> None:
        """Refresh the peers' states, dispatch waiting requests, advance roll-outs."""
        with self._lock:
            now_s = self._now_s()
            self._update_shares(now_s)
            self._upstream_monitor.tick(now_s)
            self._refuse_quarantined()
            self._peers.drop_stale(now_s)
            if self._pace is not None:
                self._pace.tick(now_s)
            self._scheduler.tick(now_s)
            self._advance_rollouts(now_s)
            self._update_burst_credits(now_s)
            queues = self._scheduler.queues().values()
            running = sum(queue.pool.peer_requests() for queue in queues)
            booked = self._booking_counts()
        self._metrics.set_gauge(PEER_REQUESTS_METRIC, running)
        for reason, count in booked.items():
            self._metrics.count(BOOKINGS_METRIC, reason, count)

    def _refuse_quarantined(self) -> None:
        """Refuse waiting requests whose content has crashed upstreams meanwhile."""
        if causes := self._upstream_monitor.take_new_quarantines():
            now_s, crashes = self._now_s(), self._upstream_monitor.crashes
            for each in causes & crashes.history.proved(now_s):
                is_own = crashes.ran_here(each)
                self.facts.note_proved(each, is_own=is_own, now_s=now_s)
            for queue in self._scheduler.queues().values():
                queue.refuse_quarantined(crashes.is_quarantined, now_s)

    def known_peers(self) -> dict[str, EntryLocation]:
        """Return the other entries that may be alive, by name."""
        with self._lock:
            return self._peers.known(self._now_s())

    def _live_peers(self) -> dict[str, EntryLocation]:
        with self._lock:
            now_s = self._now_s()
            known, live = self._peers.known(now_s), self._peers.live_names(now_s)
        return {name: known[name] for name in live if name in known}

    def stream_began(self, attempt_id: str, upstream: Upstream) -> None:
        self.streams.stream_began(attempt_id, upstream.service, upstream.version)

    def stream_goes_on(
        self, attempt_id: str, upstream: Upstream, *, told_s: float
    ) -> float:
        return self.streams.stream_goes_on(
            attempt_id, upstream.service, upstream.version, told_s=told_s
        )

    def find_stream_origin(
        self, attempt_id: str | None, service: str, *, until_s: float
    ) -> StreamOrigin | None:
        """Return where a stream that a caller takes up began, None if nobody knows.

        This may wait for other entries, until then at the latest.
        """
        return self.streams.find_origin(attempt_id, service, until_s=until_s)

    def live_peer_names(self) -> list[str]:
        """Return the names of the other entries heard recently by any path."""
        with self._lock:
            return self._peers.live_names(self._now_s())

    def direct_peer_names(self) -> list[str]:
        """Return the names of the entries that recently sent a state themselves."""
        with self._lock:
            return self._peers.directly_heard_names(self._now_s())

    def forget_gone_peers(self) -> list[str]:
        """Remove the entries that are gone and return their addresses."""
        with self._lock:
            return self._peers.remove_expired(self._now_s())

    def outgoing_updates(self, *, leaving: bool) -> list[DirectMessage]:
        """Return what is to be sent to the other entries now."""
        with self._lock:
            running, waiting, held, bookings, asking = {}, {}, {}, {}, {}
            for service, queue in self._scheduler.queues().items():
                for upstream_id, each in queue.pool.own_loads().items():
                    running[upstream_id] = (each.requests, each.prefill_tokens)
                if rows := queue.waiting():
                    waiting[service] = _count_rows(rows)
                if rows := queue.held():
                    held[service] = _count_rows(rows)
                if queue.bookings is not None and (
                    rows := queue.bookings.rows(self._now_s())
                ):
                    bookings[service] = rows
                if self._engine_time_news.is_needed and (rows := queue.asking()):
                    asking[service] = asking_rows(rows)
            findings = self._upstream_monitor.take_findings()
            state = SharedState(
                address=self.location.address,
                data_centre=self.location.data_centre,
                running=running,
                waiting=waiting,
                held=held,
                bookings=bookings,
                demand=self._spillovers.rows(),
                spent=self._usage_to_send(),
                engine_time=self._engine_time_news.take(
                    self._scheduler.engine_time(), self._now_s()
                ),
                asking=asking,
                rollouts=self._rollouts.outgoing_news(self._now_s()),
                limits=self._backpressure.limits.reports(self._now_s()),
                burst_credits=(
                    self._burst_credits.rows() if self._burst_credits else ()
                ),
                upstreams_leaving=self._backpressure.leaving_here(),
                crashes=self._upstream_monitor.digest(self._now_s()),
                slow=self._pace.own_rows(self._now_s()) if self._pace else (),
                begun=self.stream_versions.take_unsent(),
                refused=self._resubmissions.take_unsent(),
                cleared=self._upstream_monitor.take_cleared(self._now_s()),
                gone=findings.gone,
                unreached=findings.unreached,
                failing=findings.failing,
                leaving=leaving,
            )
            evidence = self._upstream_monitor.take_evidence()
        return [state, *evidence]

    def missing_evidence(self) -> dict[str, list[CrashEvidence | Quarantined]]:
        """Return the crashes that other entries should be told again, by entry."""
        with self._lock:
            names = self._crash_sync.take_due(self._now_s())
            if not names:
                return {}
            evidence = self._upstream_monitor.all_evidence(self._now_s())
        return {name: evidence for name in names}

    # Internals

    def _merge_state(
        self, sender: InstanceId, state: SharedState, now_s: float, age_s: float | None
    ) -> bool:
        if not are_valid(state.asking):
            self._share_reports.record_invalid(
                sender.name, sender.incarnation, "asking"
            )
            state = attrs.evolve(state, asking={})
        if not self._peers.receive(sender, state, now_s, age_s=age_s):
            return False
        if age_s is None and state.crashes != self._upstream_monitor.digest(now_s):
            self._crash_sync.note_difference(sender.name, now_s)
        self._spillovers.merge_peer(sender.name, state, now_s, age_s=age_s or 0.0)
        self._resubmissions.record_peer_refusals(state.refused, now_s)
        self.stream_versions.merge(state.begun)
        self._merge_bookings(sender, state, now_s, age_s or 0.0)
        self._rollouts.receive_news(sender, state.rollouts, now_s)
        self._upstream_monitor.merge_peer_state(sender.name, state, now_s, age_s or 0.0)
        self._backpressure.merge_peer_state(sender, state, now_s)
        if self._pace is not None:
            self._pace.merge_peer(sender.name, state.slow, now_s, age_s=age_s or 0.0)
        self._quota.merge_peer_spent(
            sender.name, sender.incarnation, state.spent, now_s=now_s
        )
        self._merge_burst_credits(sender, state, now_s - (age_s or 0.0))
        self._scheduler.merge_engine_time(
            sender.name, sender.incarnation, state.engine_time, now_s
        )
        return True

    def _merge_bookings(
        self, sender: InstanceId, state: SharedState, now_s: float, age_s: float
    ) -> None:
        """Apply a peer's bookings; malformed ones are logged once for each peer."""
        is_valid = True
        for service, queue in self._scheduler.queues().items():
            if queue.bookings is not None:
                is_valid &= queue.bookings.merge_peer(
                    sender.name,
                    sender.incarnation,
                    state.bookings.get(service, ()),
                    now_s,
                    age_s=age_s,
                )
        if not is_valid and sender.name not in self._malformed_bookings:
            self._malformed_bookings.add(sender.name)
            log.warning("malformed bookings of an entry ignored", entry=sender.name)

    def _booking_counts(self) -> Counter[str]:
        """Return what became of bookings since the last call.

        A line is logged where a service begins or ceases to have any.
        """
        counts: Counter[str] = Counter()
        for service, queue in self._scheduler.queues().items():
            if queue.bookings is None:
                continue
            queue.bookings.expire(self._now_s())
            counts.update(queue.bookings.take_counts())
            if bool(queue.bookings) != (service in self._booked_services):
                self._booked_services ^= {service}
                is_begun = service in self._booked_services
                message = BOOKINGS_BEGUN if is_begun else BOOKINGS_ENDED
                log.info(message, service=service)
        return counts

    def _record_event(self, ticket: Ticket, upstream: Upstream) -> None:
        ticket.heard_s = self._now_s()
        crashes = self._upstream_monitor.crashes
        crashes.record_alive(upstream.upstream_id, ticket.heard_s)
        if self._pace is not None:
            self._pace.event_received(
                upstream.upstream_id, ticket.request_id, self._now_s()
            )

    def _record_end(
        self,
        ticket: Ticket,
        upstream: Upstream,
        accepted: AcceptedRequest,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        if self._pace is None:
            return
        is_plain_answer = outcome.is_answer and not accepted.route.stream
        took_s = now_s - ticket.sent_s if is_plain_answer else None
        self._pace.request_ended(
            upstream.upstream_id, ticket.request_id, now_s, took_s=took_s
        )
        if took_s is not None:
            kind = (accepted.service, accepted.route.name)
            self._hedge_timer.record(kind, took_s)

    def _reading_s(self, upstream_id: str) -> float:
        """Return the expected time to read the prompts that wait at an upstream."""
        for queue in self._scheduler.queues().values():
            state = queue.pool.state_of(upstream_id)
            if state is not None:
                rate = queue.pool.prefill_rate.tokens_per_step
                return state.prefill_tokens() / rate * state.step_s()
        return 0.0

    def _advance_rollouts(self, now_s: float) -> None:
        if not self._rollouts.is_any_running:
            return
        loads = {
            service: queue.pool.version_load()
            for service, queue in self._scheduler.queues().items()
            if self._rollouts.canary_splitter(service) is not None
        }
        if self._rollouts.tick(loads, self._cluster_view(now_s), now_s):
            self._scheduler.rollouts_changed()

    def _merge_burst_credits(
        self, sender: InstanceId, state: SharedState, heard_s: float
    ) -> None:
        if self._burst_credits is None:
            return
        malformed = self._burst_credits.merge_peer(
            sender.name, state.burst_credits, heard_s
        )
        if malformed:
            self._metrics.count(BURST_CREDITS_METRIC, "malformed", malformed)

    def _update_burst_credits(self, now_s: float) -> None:
        credits = self._burst_credits
        due_s = self._burst_credits_updated_s + BURST_CREDITS_INTERVAL_S
        if credits is None or now_s < due_s:
            return
        self._burst_credits_updated_s = now_s
        live_peers = self._peers.live_names(now_s)
        credits.update(
            self._quota.bucket_states(now_s),
            live_peers=live_peers,
            all_live=len(live_peers) == len(self._peers.known(now_s)),
            now_s=now_s,
        )

    def _cluster_view(self, now_s: float) -> ClusterView:
        return ClusterView(
            name=self._name,
            live_peers=tuple(self._peers.live_names(now_s)),
            known_entries=1 + len(self._peers.known(now_s)),
            orders_age_s=now_s - self._orders_read_s,
            bounds=self.bounds.rollout,
        )

    def _update_shares(self, now_s: float) -> None:
        """Apply this entry's current share of limits and budgets."""
        live, known = self._peers.live_and_known_counts(now_s)
        is_own_share_only = now_s < self._own_share_only_until_s
        live = 1 if is_own_share_only else live
        self._quota.set_entry_counts(live=live, known=known)
        self._backpressure.limits.set_entry_counts(live=live, known=known, now_s=now_s)
        if known != self._known_entries:
            self._known_entries = known
            self._update_retry_budgets()

    def _usage_to_send(self) -> dict[str, UsageRows]:
        """Return customers' usage: all at each full interval, else what changed."""
        now_s, sent = self._now_s(), self._sent_usage
        spent = self._sent_usage = self._quota.spent()
        if now_s >= self._full_usage_sent_s + FULL_USAGE_INTERVAL_S:
            self._full_usage_sent_s = now_s
            return spent
        return {name: used for name, used in spent.items() if used != sent.get(name)}

    def _retry_allowance(self, service: str) -> RetryAllowance:
        if service not in self._retry_allowances:
            self._retry_allowances[service] = RetryAllowance(
                budget=self._retry_budget(), now_s=self._now_s()
            )
        return self._retry_allowances[service]

    def _update_retry_budgets(self) -> None:
        """Give each service's allowance this entry's current share of the budget.

        An entry that has just started counts only itself, so its first share includes
        all of the retry slack; each newly known entry reduces it.
        """
        budget = self._retry_budget()
        for allowance in self._retry_allowances.values():
            allowance.reconfigure(budget)

    def _retry_budget(self) -> RetryBudget:
        bounds = self.bounds
        slack = bounds.retry_slack * RETRY_BUDGET_SHARE / self._known_entries
        return RetryBudget(
            ratio=bounds.retry_ratio * RETRY_BUDGET_SHARE,
            per_s_min=slack / bounds.retry_window_s,
        )

    def _now_s(self) -> float:
        return self._clock.monotonic_s()


def _count_rows(counts: dict[Rank, int]) -> tuple[tuple[int, int, int], ...]:
    return tuple((*rank, count) for rank, count in counts.items())
