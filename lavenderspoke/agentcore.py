"""The agent's state machine: pull, accept, dispatch, relay, answer for keys."""

import functools
from collections.abc import Callable

import attrs

from lavenderspoke import agentevents as events, messages
from lavenderspoke.agentbackpressure import AgentBackpressure
from lavenderspoke.agentruns import AgentRuns
from lavenderspoke.capacity.limits import FixedLimit, Limit
from lavenderspoke.capacity.straggler import StragglerPullPolicy
from lavenderspoke.core import Count, Received, Send, Tick
from lavenderspoke.dispatching import PUSHED_NONCE_PREFIX
from lavenderspoke.documents.service import Service
from lavenderspoke.leaving import Leaving
from lavenderspoke.ledger import Ledger, Run, Verdict
from lavenderspoke.model import InstanceId, Standing
from lavenderspoke.observing.signals import SIGNALS_METRIC
from lavenderspoke.outbox import Outbox, split
from lavenderspoke.pulling import Puller

# Timers are looked at no more often than this.
HOUSEKEEPING_S = 1.0


@attrs.frozen(kw_only=True)
class AgentIdentity:
    """Who an agent is and what it stands beside."""

    me: InstanceId
    service: str
    upstream: str
    address: str
    data_centre: str


@attrs.frozen(kw_only=True)
class AgentTimes:
    """The agent's times, in seconds.

    `roster_lease_s` is how long keyed work is accepted after the last renewal
    of the roster record.
    """

    heartbeat_s: float = 0.5
    entry_lost_s: float = 5.0
    pull_ttl_s: float = 0.5
    flush_s: float = 0.004
    roster_lease_s: float = 900.0


class AgentCore:
    """The agent decides what its upstream runs, and remembers that it did.

    `new_id` makes nonces and crash ids. `accepts_pushed` is only for measuring
    pushed grants, which have no nonce of this agent's to be refused by. Feed it
    an event and the time; carry out the actions it returns; call it again no
    later than `next_due_s()`.
    """

    def __init__(
        self,
        *,
        identity: AgentIdentity,
        times: AgentTimes,
        limit: Limit | None = None,
        new_id: Callable[[], str],
        accepts_pushed: bool = False,
        now_s: float = 0.0,
    ):
        self.identity = identity
        self.times = times
        self.limit = limit or FixedLimit(slots=1)
        self.ledger = Ledger(key_lifetime_s=600.0, bytes_max=16 * 1024 * 1024)
        self.puller = Puller(
            service=identity.service,
            new_id=new_id,
            pull_ttl_s=times.pull_ttl_s,
            entry_lost_s=times.entry_lost_s,
        )
        self.leaving = Leaving(me=identity.me, ledger=self.ledger)
        self.versions: dict[str, int] = {}
        self.upstream_up = True
        self.backpressure = AgentBackpressure(upstream=identity.upstream)
        # Whether no process listened at the upstream's address since it last answered.
        self._has_ended = False
        self._now_s = now_s
        self.join_offset = -1
        self.listed_leaving = False
        self._lease_until_s = 0.0
        self._accepts_pushed = accepts_pushed
        self._caution = StragglerPullPolicy()
        self._highest_rank = 0
        self._outbox = Outbox(flush_s=times.flush_s)
        self.runs = AgentRuns(
            service=identity.service,
            upstream=identity.upstream,
            ledger=self.ledger,
            puller=self.puller,
            limit=self.limit,
            outbox=self._outbox,
            new_id=new_id,
        )
        self._heartbeat_due_s = now_s
        self._housekeeping_due_s = now_s

    # Driving

    def handle(self, event: object, now_s: float) -> list:
        """Take one event; return what is to be done, in order."""
        self._now_s = now_s
        actions = [self._paced(action, now_s) for action in self._on(event, now_s)]
        actions += self.leaving.advance(now_s)
        actions += self._timers(now_s)
        return actions + self._pulls(now_s)

    def next_due_s(self) -> float:
        """Return when a tick is due at the latest."""
        due_s = min(self._heartbeat_due_s, self._housekeeping_due_s)
        if (wait_s := self.backpressure.wait_s(self._now_s)) > 0.0:
            due_s = min(due_s, self._now_s + wait_s)
        return due_s if self._outbox.due_s is None else min(due_s, self._outbox.due_s)

    def _paced(self, action: object, now_s: float) -> object:
        """Count a request to the upstream, and delay one that may come later."""
        if isinstance(action, events.ResumeRun):
            delay_s = max(action.delay_s, self.backpressure.wait_s(now_s))
            action = attrs.evolve(action, delay_s=delay_s)
        if isinstance(action, events.Dispatch | events.ResumeRun):
            self.backpressure.record_sent(now_s)
        return action

    def _timers(self, now_s: float) -> list:
        actions = []
        if self._outbox.due_s is not None and self._outbox.due_s <= now_s:
            actions += self._outbox.flush()
        if self._housekeeping_due_s <= now_s:
            self._housekeeping_due_s = now_s + HOUSEKEEPING_S
            self.ledger.expire(now_s)
        if self._heartbeat_due_s <= now_s:
            self._heartbeat_due_s = now_s + self.times.heartbeat_s
            actions += self._announce(self.puller.entries())
        return actions

    @property
    def accepts(self) -> bool:
        """Whether the upstream may be given new work."""
        is_upstream_leaving = self.listed_leaving or self.backpressure.is_leaving
        return self.leaving.accepts and not is_upstream_leaving

    @property
    def room(self) -> int:
        """How many more requests the upstream may be given now."""
        if not self.accepts or not self.upstream_up:
            return 0
        reserved = self.puller.reserved()
        free_slots = self.limit.slots - self.ledger.running_count()
        free = min(free_slots, self.backpressure.free_requests(self._now_s))
        return max(0, free - reserved)

    @property
    def held_back(self) -> str | None:
        """Why the upstream takes no request now by its own word; None if it does."""
        return self.backpressure.reason(self._now_s)

    def _pulls(self, now_s: float) -> list:
        self.puller.expire(now_s)
        waiting = self.puller.waiting()
        self.limit.tick(now_s)
        if not self._caution.allows_pull(
            straggling=self.limit.straggling,
            waiting=waiting,
            highest_rank=self._highest_rank,
            now_s=now_s,
        ):
            return []
        return [
            Send(recipient=entry, message=pull)
            for entry, pull in self.puller.pulls(self.room, now_s)
        ]

    def _announce(self, entries: list[InstanceId]) -> list:
        identity = self.identity
        message = messages.Announce(
            service=identity.service,
            upstream=identity.upstream,
            address=identity.address,
            data_centre=identity.data_centre,
            join_offset=self.join_offset,
            leaving=not self.accepts,
            room=self.room,
            running=self.ledger.running_count(),
            step_s=self.limit.step_s,
            straggling=self.limit.straggling,
            versions=dict(self.versions),
        )
        return [Send(recipient=entry, message=message) for entry in entries]

    # Events from the daemon

    @functools.singledispatchmethod
    def _on(self, event: object, now_s: float) -> list:
        raise TypeError(f"no such event: {event!r}")

    @_on.register
    def _(self, event: Tick, now_s: float) -> list:
        return []

    @_on.register
    def _(self, event: Received, now_s: float) -> list:
        return self._from(event.message, event.sender, now_s)

    @_on.register
    def _(self, event: events.EntriesListed, now_s: float) -> list:
        self.puller.trim(event.names, event.count_max)
        known = {entry.name for entry in self.puller.entries()}
        unknown = [name for name in event.names if name not in known]
        return self._announce(
            [InstanceId(name=name, incarnation="") for name in unknown]
        )

    @_on.register
    def _(self, event: events.DocumentInForce, now_s: float) -> list:
        self.versions[event.service.name] = event.version
        if event.service.name == self.identity.service:
            self._configure(event.service)
        return []

    def _configure(self, service: Service) -> None:
        self.ledger.key_lifetime_s = service.keys.lifetime_s
        self.ledger.bytes_max = service.keys.bytes_max
        self._highest_rank = max(tier.rank for tier in service.tiers)

    @_on.register
    def _(self, event: events.Joined, now_s: float) -> list:
        self.join_offset = event.join_offset
        self._lease_until_s = event.since_s + self.times.roster_lease_s
        return self._announce(self.puller.entries())

    @_on.register
    def _(self, event: events.UpstreamHealth, now_s: float) -> list:
        if event.is_up and self._has_ended:
            self._has_ended = False
            self.backpressure.reset()
        self._has_ended |= event.is_refused
        changed = self.upstream_up != event.is_up
        self.upstream_up = event.is_up
        return self._announce(self.puller.entries()) if changed else []

    @_on.register
    def _(self, event: events.UpstreamReplaced, now_s: float) -> list:
        self.backpressure.reset()
        return self._announce(self.puller.entries())

    @_on.register
    def _(self, event: events.UpstreamSignalled, now_s: float) -> list:
        accepted = self.accepts
        reasons = self.backpressure.record(
            event.signals, sent_s=event.sent_s, now_s=now_s
        )
        actions = [Count(name=SIGNALS_METRIC, reason=reason) for reason in reasons]
        if self.accepts != accepted:
            actions += self._announce(self.puller.entries())
        return actions

    @_on.register
    def _(self, event: events.LeaveWanted, now_s: float) -> list:
        self.leaving.begin(now_s)
        return self._announce(self.puller.entries())

    @_on.register
    def _(self, event: events.ListedLeaving, now_s: float) -> list:
        changed = self.listed_leaving != event.is_leaving
        self.listed_leaving = event.is_leaving
        return self._announce(self.puller.entries()) if changed else []

    @_on.register
    def _(self, event: events.HeirFound, now_s: float) -> list:
        return self.leaving.heir_found(event.heir, now_s)

    @_on.register
    def _(self, event: events.LeaveAppended, now_s: float) -> list:
        return self.leaving.appended(now_s)

    @_on.register(events.CacheChanged)
    @_on.register(events.RunHead)
    @_on.register(events.RunBody)
    @_on.register(events.RunEnded)
    @_on.register(events.RunNotStarted)
    @_on.register(events.RunBroken)
    @_on.register(events.RunUnknown)
    def _(self, event, now_s: float) -> list:
        actions = self.runs.take(event, now_s)
        # A refused connection or a crash: nothing is pulled until the upstream
        # answers again, or each pulled request would come straight back.
        if isinstance(event, events.RunNotStarted) or getattr(event, "crashed", False):
            self.upstream_up = False
        self._has_ended |= getattr(event, "is_refused", False)
        return actions

    # Messages from entries and other agents

    @functools.singledispatchmethod
    def _from(self, message: object, sender: InstanceId, now_s: float) -> list:
        return [Count(name="messages_ignored", reason=type(message).__name__)]

    @_from.register
    def _(self, message: messages.EntryAnnounce, sender, now_s) -> list:
        if not self.puller.heard(sender, now_s, message.address):
            return []
        return self._welcome(sender, now_s)

    def _welcome(self, entry: InstanceId, now_s: float) -> list:
        facts = [self.runs.prefixes_held(), *self.runs.crashes(now_s)]
        sends = [Send(recipient=entry, message=each) for each in facts]
        return self._announce([entry]) + sends

    @_from.register
    def _(self, message: messages.Demand, sender, now_s) -> list:
        is_new = self.puller.demand(sender, message.waiting, now_s)
        return self._welcome(sender, now_s) if is_new else []

    @_from.register
    def _(self, message: messages.PullDone, sender, now_s) -> list:
        self.puller.answered(sender, message, now_s)
        return []

    @_from.register
    def _(self, message: messages.Grant, sender, now_s) -> list:
        request_id = message.call.request_id
        verdict = self.ledger.judge(message, now_s)
        if verdict is Verdict.REPEATED:
            granted = messages.Granted(request_id=request_id, nonce=message.nonce)
            return [Send(recipient=sender, message=granted)]
        reason = self._refusal(message, sender, verdict, now_s)
        if reason is not None:
            return self._refuse(message, sender, reason)
        return self._accept(message, sender, now_s)

    def _refusal(self, grant, sender, verdict: Verdict, now_s) -> str | None:
        is_pushed = self._accepts_pushed and grant.nonce.startswith(PUSHED_NONCE_PREFIX)
        if not is_pushed and not self.puller.use(
            grant.nonce, sender, grant.call.request_id, now_s
        ):
            return "nonce"
        if not self.accepts:
            return "leaving"
        if self.backpressure.is_paused(now_s):
            return "upstream_paused"
        if is_pushed and not self.backpressure.free_requests(now_s):
            return "request_limit"
        if grant.call.key is not None and not self._may_run_keyed(now_s):
            return "not_joined"
        # The entry had not read our join record when the request came: a
        # re-send elsewhere may have asked every agent but this one for the key.
        if grant.call.key is not None and grant.stamp < self.join_offset:
            return "stale_stamp"
        return None if verdict is Verdict.ACCEPTED else verdict.value

    def _may_run_keyed(self, now_s: float) -> bool:
        # Past its lease the roster may have forgotten this agent, so that a
        # re-send would not ask it for the key.
        return self.join_offset >= 0 and now_s < self._lease_until_s

    def _refuse(self, grant, sender, reason: str) -> list:
        # Refused means "will never run on this nonce", also for a late copy.
        self.puller.burn(grant.nonce, grant.call.request_id)
        refused = messages.Refused(
            request_id=grant.call.request_id, nonce=grant.nonce, reason=reason
        )
        return [
            Count(name="grants_refused", reason=reason),
            Send(recipient=sender, message=refused),
        ]

    def _accept(self, grant, sender, now_s) -> list:
        self.ledger.accept(grant, sender, now_s)
        self.limit.started(grant.call.request_id, now_s)
        granted = messages.Granted(request_id=grant.call.request_id, nonce=grant.nonce)
        return [
            events.Dispatch(call=grant.call, deadline_in_s=grant.deadline_in_s),
            Send(recipient=sender, message=granted),
        ]

    @_from.register
    def _(self, message: messages.Revoke, sender, now_s) -> list:
        run = self.ledger.run(message.request_id)
        if run is None:
            self.puller.burn(message.nonce, message.request_id)
        standing = Standing.NEVER if run is None else run.standing
        return [self._revoked(sender, message.request_id, message.nonce, standing)]

    def _revoked(self, entry, request_id, nonce, standing: Standing) -> Send:
        revoked = messages.Revoked(
            request_id=request_id, nonce=nonce, standing=standing
        )
        return Send(recipient=entry, message=revoked)

    @_from.register
    def _(self, message: messages.Attach, sender, now_s) -> list:
        run = self.ledger.run(message.request_id)
        if run is None:
            return [self._revoked(sender, message.request_id, "", Standing.UNKNOWN)]
        run.watchers.add(sender)
        missing = run.pieces[message.number :]
        if not missing:
            return [self._revoked(sender, run.request_id, "", run.standing)]
        return split(sender, missing)

    @_from.register
    def _(self, message: messages.AnswerTaken, sender, now_s) -> list:
        self.ledger.taken(message.request_id)
        return []

    @_from.register
    def _(self, message: messages.Cancel, sender, now_s) -> list:
        run = self.ledger.run(message.request_id)
        if run is None or run.standing is not Standing.DISPATCHED:
            return []
        # A keyed answer may be asked for again, and a plain service's work
        # can't be undone half way.
        run.taken = True
        if run.call.key is not None or not run.call.idempotent:
            return []
        return [events.CancelRun(request_id=run.request_id)]

    @_from.register
    def _(self, message: messages.Resume, sender, now_s) -> list:
        request_id = message.call.request_id
        run = self.ledger.run(request_id)
        if run is not None:
            run.watchers.add(sender)
            return split(sender, run.pieces)
        run = Run(call=message.call, changed_s=now_s, watchers={sender})
        self.ledger.restore(run, now_s)
        return [events.ResumeRun(call=message.call, after_event_id=None)]

    @_from.register
    def _(self, message: messages.Claim, sender, now_s) -> list:
        if not self.leaving.claims:
            return [Count(name="claims_ignored", reason="leaving")]
        hold = self.ledger.claim(message, now_s)
        claimed = messages.Claimed(
            key=message.key,
            request_id=message.request_id,
            round=message.round,
            holder=hold.request_id,
            standing=hold.standing,
        )
        return [Send(recipient=sender, message=claimed)]

    @_from.register
    def _(self, message: messages.Unclaim, sender, now_s) -> list:
        self.ledger.unclaim(message)
        return []

    @_from.register
    def _(self, message: messages.LedgerHandover, sender, now_s) -> list:
        if not self.leaving.accepts:
            return []
        for record in message.keys:
            self.ledger.take_over(record, now_s)
        taken = messages.LedgerTaken(part=message.part)
        return [Send(recipient=sender, message=taken)]

    @_from.register
    def _(self, message: messages.LedgerTaken, sender, now_s) -> list:
        return self.leaving.part_taken(sender, message.part, now_s)
