"""The entry's state machine: admits, queues, grants and answers requests."""

import functools
from collections.abc import Callable
from random import Random

import attrs

from lavenderspoke import entryevents as events, messages
from lavenderspoke.agentevents import DocumentInForce, Exit
from lavenderspoke.arrivalchecks import ArrivalChecks
from lavenderspoke.core import Count, Observe, Received, Send, Tick
from lavenderspoke.dispatching import (
    PUSHED_NONCE_PREFIX,
    Dispatching,
    EntryPolicy,
    choose_agent,
)
from lavenderspoke.documents.service import Kind, Service
from lavenderspoke.dropping import RequestDropper
from lavenderspoke.duequeue import DueQueue
from lavenderspoke.following import GrantFollower, GrantTimeouts
from lavenderspoke.gateway import AnswerBroken, Sending
from lavenderspoke.keyclaims import KeyClaims
from lavenderspoke.membership.roster import Roster
from lavenderspoke.model import InstanceId, Ran
from lavenderspoke.problems import Problem, Reason
from lavenderspoke.servicemessages import ServiceMessages
from lavenderspoke.servicestate import ServiceState
from lavenderspoke.tracked import Phase, TrackedRequest, TrackedRequests
from lavenderspoke.views import AgentView, AgentViews, PeerViews

# Reasons of refusals caused by the request's key, not by the agent's state.
KEY_HELD = "key_held"
KEY_REFUSALS = frozenset({"stale_stamp", KEY_HELD, "claim_lost"})
# Interval between checks of the queues while any request is tracked.
CHECK_INTERVAL_S = 0.02
# Interval between checks of a request that is granted or claiming its key, and of
# one whose answer is streaming. Checking all of them each CHECK_INTERVAL_S would use
# most of a CPU core at 16,000 streams.
WATCH_INTERVAL_S = 0.25
WATCH_FLOWING_INTERVAL_S = 1.0
# Default limit of tracked requests; the daemon passes its number of caller threads.
REQUESTS_MAX = 100_000
# Agents get an announcement on every n-th heartbeat, entries on each.
ANNOUNCE_EVERY = 5
# An entry that handled no event for this long beyond its heartbeat interval was
# paused. Requests read in the PAUSE_DOUBT_S after that may have arrived meanwhile.
PAUSE_THRESHOLD_S = 1.0
PAUSE_DOUBT_S = 10.0
# Problems for which a retry is pointless: they get no retry_after_s.
FINAL_REASONS = frozenset(
    {
        Reason.QUARANTINED,
        Reason.CALLER_GONE,
        Reason.SUPERSEDED,
    }
)


@attrs.frozen(kw_only=True)
class EntryTimes:
    """The entry's intervals and timeouts, in seconds."""

    heartbeat_s: float = 0.5
    agent_lost_s: float = 3.0
    peer_lost_s: float = 3.0
    claim_timeout_s: float = 1.0
    roster_lease_s: float = 900.0
    grant_timeouts: GrantTimeouts = attrs.field(factory=GrantTimeouts)


@attrs.frozen(kw_only=True)
class EntryIdentity:
    """An entry's instance id, address and data centre."""

    me: InstanceId
    address: str
    data_centre: str


class EntryCore:
    """Queues requests, grants them to agents and passes on their answers.

    `random` adds jitter to retry times and picks agents to push to; `new_id` names
    roster reads and pushed grants; `requests_max` limits the tracked requests. Call
    `handle` with an event and the time, perform the returned actions in order, and
    call it again no later than `next_due_s()`.
    """

    def __init__(
        self,
        *,
        identity: EntryIdentity,
        times: EntryTimes,
        random: Random,
        new_id: Callable[[], str],
        policy: EntryPolicy = EntryPolicy(),
        requests_max: int = REQUESTS_MAX,
        now_s: float = 0.0,
    ):
        self.identity = identity
        self.times = times
        self.services: dict[str, ServiceState] = {}
        self.requests = TrackedRequests()
        self.agents = AgentViews(silence_timeout_s=times.agent_lost_s)
        self.peers = PeerViews(silence_timeout_s=times.peer_lost_s)
        self.roster = Roster(lease_s=times.roster_lease_s)
        self.draining = False
        self.arrival_checks = ArrivalChecks(services=self.services)
        self.dropper = RequestDropper(
            requests=self.requests, peers=self.peers, requests_max=requests_max
        )
        self.service_messages = ServiceMessages(
            services=self.services,
            agents=self.agents,
            peers=self.peers,
            dropper=self.dropper,
        )
        self.grant_follower = GrantFollower(
            requests=self.requests, times=times.grant_timeouts
        )
        self.claims = KeyClaims(
            roster=self.roster, claim_timeout_s=times.claim_timeout_s, new_id=new_id
        )
        self._random = random
        self._new_id = new_id
        self._policy = policy
        self._listed_entries: tuple[str, ...] = ()
        self._due_queue = DueQueue()
        self._check_due_s = now_s
        self._handled_s = now_s
        self._doubt_until_s = now_s
        self._heartbeats = 0
        self._heartbeat_due_s = now_s

    # Event loop

    def handle(self, event: object, now_s: float) -> list:
        """Handle one event; return the actions to perform, in order."""
        self._notice_pause(now_s)
        actions = self._apply_internal(self._on_event(event, now_s), now_s)
        actions += self._apply_internal(self._timers(now_s), now_s)
        if self.draining and not len(self.requests):
            actions.append(Exit())
        return actions

    def _notice_pause(self, now_s: float) -> None:
        if now_s - self._handled_s > self.times.heartbeat_s + PAUSE_THRESHOLD_S:
            self._doubt_until_s = now_s + PAUSE_DOUBT_S
        self._handled_s = now_s

    def next_due_s(self) -> float:
        """Return the latest time for the next tick."""
        if len(self.requests):
            return min(self._check_due_s, self._heartbeat_due_s)
        return self._heartbeat_due_s

    def _apply_internal(self, actions: list, now_s: float) -> list:
        """Apply the core's internal actions; return those for the daemon."""
        done = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, events.Finish):
                pending[:0] = self._finish(action, now_s)
            elif isinstance(action, events.DidNotRun):
                pending[:0] = self._on_did_not_run(action, now_s)
            elif isinstance(action, events.Answered):
                state = self.services[action.call.service]
                state.crashes.record_answered(action.call.fingerprint, now_s)
            else:
                done.append(action)
        return done

    def _timers(self, now_s: float) -> list:
        actions = []
        if self._check_due_s <= now_s:
            self._check_due_s = now_s + CHECK_INTERVAL_S
            actions += self._check(now_s)
        if self._heartbeat_due_s <= now_s:
            self._heartbeat_due_s = now_s + self.times.heartbeat_s
            actions += self._heartbeat(now_s)
        return actions

    def _check(self, now_s: float) -> list:
        actions = []
        for state in self.services.values():
            actions += self.dropper.drop_expired(state, now_s)
            actions += self.dropper.shed_excess(state, now_s)
            actions += self._notify_or_push(state, now_s)
        for request_id in self._due_queue.pop_due(now_s):
            tracked = self.requests.get(request_id)
            if tracked is not None and tracked.phase is not Phase.WAITING:
                actions += self._check_one(tracked, now_s)
                self._schedule_check(tracked, now_s)
        return actions

    def _check_one(self, tracked: TrackedRequest, now_s: float) -> list:
        if tracked.phase is Phase.CLAIMING:
            return self._check_claims(tracked, now_s)
        return self.grant_follower.check(tracked, now_s)

    def _schedule_check(self, tracked: TrackedRequest, now_s: float) -> None:
        """Schedule the next check of a request, no later than its deadline."""
        is_flowing = tracked.phase is Phase.RUNNING and not tracked.reassembly.has_gap
        watch_s = WATCH_FLOWING_INTERVAL_S if is_flowing else WATCH_INTERVAL_S
        until_deadline_s = max(CHECK_INTERVAL_S, tracked.deadline_s - now_s)
        self._due_queue.add(tracked.request_id, now_s + min(watch_s, until_deadline_s))

    def _claim(self, tracked: TrackedRequest, now_s: float) -> list:
        self._schedule_check(tracked, now_s)
        return self.claims.begin(tracked, self._service(tracked), now_s)

    def _notify_or_push(self, state: ServiceState, now_s: float) -> list:
        agents = self.agents.for_service(state.service.name)
        if self._policy.dispatching is Dispatching.PULL:
            return state.demand.broadcast_if_due(state.queue, agents, now_s)
        return self._push(state, agents, now_s)

    def _push(self, state: ServiceState, agents: list[AgentView], now_s) -> list:
        sends = []
        while len(state.queue):
            view = choose_agent(self._policy.dispatching, agents, self._random)
            grant = view and state.push(
                PUSHED_NONCE_PREFIX + self._new_id(), view, now_s
            )
            if not grant:
                break
            sends.append(self._record_grant(grant, view.agent, now_s))
        return sends

    def _record_grant(self, grant: messages.Grant, agent: InstanceId, now_s) -> Send:
        tracked = self.requests.get(grant.call.request_id)
        self.requests.grant(tracked, agent, grant.nonce, now_s)
        self._schedule_check(tracked, now_s)
        claimed = attrs.evolve(grant, claimed=tracked.claimed)
        return Send(recipient=agent, message=claimed)

    # Heartbeats and views

    def _heartbeat(self, now_s: float) -> list:
        actions = []
        for view in self.agents.remove_silent(now_s):
            state = self.services.get(view.announce.service)
            if state is not None:
                state.prefix_index.remove_upstream(view.announce.upstream)
        for peer in self.peers.remove_silent(now_s):
            for state in self.services.values():
                state.floors.on_peer_lost(peer.name)
        # Demand messages also show that this entry is alive, so agents need the
        # longer announcement less often.
        self._heartbeats += 1
        to_agents = self._heartbeats % ANNOUNCE_EVERY == 0
        actions += self._announce(
            self._all_recipients() if to_agents else self._entry_recipients()
        )
        for state in self.services.values():
            agents = self.agents.for_service(state.service.name)
            actions += state.demand.notify_all(state.queue, agents)
        return actions

    def _all_recipients(self) -> list[InstanceId]:
        return [view.agent for view in self.agents.all()] + self._entry_recipients()

    def _entry_recipients(self) -> list[InstanceId]:
        known = self.peers.ids()
        names = {peer.name for peer in known}
        listed = [name for name in self._listed_entries if name not in names]
        unknown = [InstanceId(name=name, incarnation="") for name in listed]
        return list(known) + unknown

    def _announce(self, recipients: list[InstanceId]) -> list[Send]:
        message = messages.EntryAnnounce(
            address=self.identity.address,
            data_centre=self.identity.data_centre,
            waiting={n: state.queue.counts() for n, state in self.services.items()},
            versions={n: state.version for n, state in self.services.items()},
            draining=self.draining,
        )
        return [Send(recipient=each, message=message) for each in recipients]

    # Events from the daemon

    @functools.singledispatchmethod
    def _on_event(self, event: object, now_s: float) -> list:
        raise TypeError(f"unknown event {event!r}")

    @_on_event.register
    def _(self, event: Tick, now_s: float) -> list:
        return []

    @_on_event.register
    def _(self, event: Received, now_s: float) -> list:
        return self._on_message(event.message, event.sender, now_s)

    @_on_event.register
    def _(self, event: DocumentInForce, now_s: float) -> list:
        name = event.service.name
        state = self.services.get(name)
        if state is not None:
            state.configure(event.service, event.version, now_s)
        else:
            self.services[name] = ServiceState(
                service=event.service,
                version=event.version,
                me=self.identity.me,
                random=self._random,
                policy=self._policy,
            )
        return []

    @_on_event.register
    def _(self, event: events.PeersListed, now_s: float) -> list:
        self._listed_entries = event.entry_names
        self.agents.set_listed_leaving(event.leaving_agents)
        return []

    @_on_event.register
    def _(self, event: events.DrainRequested, now_s: float) -> list:
        self.draining = True
        return self._announce(self._all_recipients())

    @_on_event.register
    def _(self, event: events.RosterRecord, now_s: float) -> list:
        self.roster.apply(offset=event.offset, payload=event.payload, now_s=now_s)
        return []

    @_on_event.register
    def _(self, event: events.RosterReached, now_s: float) -> list:
        self.roster.advance_to(event.offset)
        actions = []
        for tracked in self._awaiting_read(event.read_ids):
            actions += self.claims.roster_read(tracked, self._service(tracked), now_s)
            actions += self._check_claims(tracked, now_s)
        return actions

    @_on_event.register
    def _(self, event: events.RosterReadFailed, now_s: float) -> list:
        actions = []
        for tracked in self._awaiting_read(event.read_ids):
            tracked.claim_round.roster_failed()
            actions += self._check_claims(tracked, now_s)
        return actions

    def _awaiting_read(self, read_ids: tuple[str, ...]) -> list[TrackedRequest]:
        # A read may end after its round has timed out, when the request may be
        # waiting or granted. Treated as still claiming, it would be queued again,
        # and a second agent would run it.
        return [
            tracked
            for tracked in self.requests
            if tracked.phase is Phase.CLAIMING
            and tracked.requeue_at_s is None
            and tracked.claim_round.read_id in read_ids
        ]

    def _service(self, tracked: TrackedRequest) -> Service:
        return self.services[tracked.call.service].service

    # Arrival

    @_on_event.register
    def _(self, event: events.Arrived, now_s: float) -> list:
        arrival = event.arrival
        problem = self.arrival_checks.find_problem(arrival, self.draining, now_s)
        if problem is not None:
            return [
                Count(name="refusals", reason=problem.reason.value),
                events.Reply(request_id=arrival.call.request_id, part=problem),
            ]
        if now_s < self._doubt_until_s and arrival.call.key is not None:
            # It may have been unread while this entry was paused, and its re-send
            # answered elsewhere. With the current stamp it could reach an agent
            # which that re-send didn't have to ask, and run a second time. A round
            # of claims detects that.
            arrival = attrs.evolve(arrival, sending=Sending.RESEND)
        tracked = TrackedRequest(
            arrival=arrival,
            arrived_s=now_s,
            deadline_s=now_s + arrival.deadline_in_s,
            first_stamp=self.roster.offset,
            stamp=self.roster.offset,
        )
        self.requests.add(tracked)
        if arrival.call.key is not None and arrival.sending is Sending.RESEND:
            return self._claim(tracked, now_s)
        return self._enqueue(tracked, now_s)

    def _enqueue(self, tracked: TrackedRequest, now_s: float) -> list:
        state = self.services[tracked.call.service]
        tracked.phase = Phase.WAITING
        cached_tokens = state.enqueue(tracked, now_s)
        return self._offer(state, tracked, cached_tokens, now_s)

    def _offer(
        self, state, tracked, cached_tokens: dict[str, int], now_s: float
    ) -> list:
        agents = self.agents.for_service(state.service.name)
        is_short = state.is_full() or self.dropper.is_near_limit()
        actions = self.dropper.shed_excess(state, now_s) if is_short else []
        if self._policy.dispatching is not Dispatching.PULL:
            return actions + self._push(state, agents, now_s)
        return actions + state.demand.on_arrival(
            tracked.call, cached_tokens, state.queue, agents, now_s
        )

    @_on_event.register
    def _(self, event: events.CallerGone, now_s: float) -> list:
        tracked = self.requests.get(event.request_id)
        if tracked is None:
            return []
        actions = []
        if tracked.is_with_agent:
            cancel = messages.Cancel(request_id=tracked.run_id)
            actions.append(Send(recipient=tracked.agent, message=cancel))
        return [
            *actions,
            self.dropper.finish_with(event.request_id, Reason.CALLER_GONE),
        ]

    # Claims

    def _check_claims(self, tracked: TrackedRequest, now_s: float) -> list:
        if now_s >= tracked.deadline_s:
            return [
                self.dropper.finish_with(tracked.request_id, Reason.DEADLINE_EXPIRED)
            ]
        step = self.claims.check(tracked, self._service(tracked), now_s)
        if step.found is not None:
            found = self.grant_follower.attach(
                tracked, step.found.agent, step.found.holder, now_s
            )
            return step.actions + found
        if step.may_wait:
            return step.actions + self._enqueue(tracked, now_s)
        return step.actions

    # Final answers

    def _finish(self, finish: events.Finish, now_s: float) -> list:
        tracked = self.requests.remove(finish.request_id)
        if tracked is None:
            return []
        state = self.services[tracked.call.service]
        state.queue.remove(finish.request_id)
        problem = finish.problem
        if problem.retry_after_s is None and problem.reason not in FINAL_REASONS:
            retry_after_s = state.retry_after_s(tracked.call.tier, now_s)
            problem = attrs.evolve(problem, retry_after_s=retry_after_s)
        part = AnswerBroken(problem=problem) if tracked.head_sent else problem
        return [
            *([] if tracked.is_with_agent else self.claims.release(tracked)),
            Count(name="refusals", reason=problem.reason.value),
            Observe(
                name="given_up_s",
                service=tracked.call.service,
                tier=tracked.call.tier,
                value_s=max(0.0, now_s - max(tracked.arrived_s, tracked.deadline_s)),
            ),
            events.Reply(request_id=tracked.request_id, part=part),
        ]

    def _on_did_not_run(self, event: events.DidNotRun, now_s: float) -> list:
        """Requeue, re-claim or drop a request that provably did not run."""
        tracked = self.requests.get(event.request_id)
        if tracked is None:
            return []
        self.requests.release(tracked)
        counted = Count(name="retries", reason=event.reason)
        state = self.services[tracked.call.service]
        # Requeued below a floor, it would be kept while a higher tier is shed. So
        # would one that claims its key again, since it waits after its round.
        is_below = state.is_below_floor(tracked.call.tier, now_s)
        if event.reason == KEY_HELD:
            tracked.is_contested = True
        if event.reason in KEY_REFUSALS:
            if is_below:
                # Another attempt with this key may run.
                problem = Problem(reason=Reason.SHED, ran=Ran.UNKNOWN)
                return [
                    counted,
                    events.Finish(request_id=tracked.request_id, problem=problem),
                ]
            return [counted, *self._claim(tracked, now_s)]
        if now_s >= tracked.deadline_s:
            return [
                counted,
                self.dropper.finish_with(tracked.request_id, Reason.DEADLINE_EXPIRED),
            ]
        if is_below:
            return [counted, self.dropper.finish_with(tracked.request_id, Reason.SHED)]
        cached_tokens = state.requeue(tracked, now_s)
        return [counted, *self._offer(state, tracked, cached_tokens, now_s)]

    # Messages from agents and other entries

    @functools.singledispatchmethod
    def _on_message(self, message: object, sender: InstanceId, now_s: float) -> list:
        return [Count(name="messages_ignored", reason=type(message).__name__)]

    @_on_message.register(messages.Granted)
    @_on_message.register(messages.Refused)
    @_on_message.register(messages.Revoked)
    @_on_message.register(messages.Pieces)
    def _(self, message, sender, now_s) -> list:
        return self.grant_follower.receive(message, sender, now_s)

    @_on_message.register(messages.CrashEvidence)
    @_on_message.register(messages.Quarantined)
    @_on_message.register(messages.PrefixHeld)
    @_on_message.register(messages.Floor)
    @_on_message.register(messages.FloorHeld)
    def _(self, message, sender, now_s) -> list:
        return self.service_messages.receive(message, sender, now_s)

    @_on_message.register
    def _(self, message: messages.Announce, sender, now_s) -> list:
        known = self.agents.get(sender) is not None
        is_new = self.agents.record_announcement(sender, message, now_s)
        actions = [] if known else self._announce_to_agent(sender, message)
        return (
            actions + self._on_successor(sender, message, now_s) if is_new else actions
        )

    def _announce_to_agent(
        self, agent: InstanceId, announce: messages.Announce
    ) -> list:
        actions = self._announce([agent])
        state = self.services.get(announce.service)
        if state is not None and self.agents.get(agent) is not None:
            actions += state.demand.notify_all(state.queue, [self.agents.get(agent)])
        return actions

    def _on_successor(self, new: InstanceId, announce, now_s: float) -> list:
        state = self.services.get(announce.service)
        if state is None:
            return []
        state.prefix_index.remove_upstream(announce.upstream)
        can_resume = state.service.upstreams.kind is Kind.MODEL
        return self.grant_follower.on_successor(new, can_resume, now_s)

    @_on_message.register
    def _(self, message: messages.EntryAnnounce, sender, now_s) -> list:
        is_new = self.peers.record_announcement(sender, message, now_s)
        return self._announce([sender]) if is_new else []

    @_on_message.register
    def _(self, message: messages.Pull, sender, now_s) -> list:
        state = self.services.get(message.service)
        view = self.agents.get(sender)
        # The platform may list an upstream as leaving before its agent knows.
        if state is None or view is None or not view.accepts_work:
            return []
        grants, done = state.answer_pull(message, view, now_s)
        sends = [self._record_grant(grant, sender, now_s) for grant in grants]
        return [*sends, Send(recipient=sender, message=done)]

    @_on_message.register
    def _(self, message: messages.Claimed, sender, now_s) -> list:
        tracked = self.requests.get(message.request_id)
        if tracked is None or tracked.phase is not Phase.CLAIMING:
            return []
        tracked.claim_round.record_answer(sender, message)
        return self._check_claims(tracked, now_s)
