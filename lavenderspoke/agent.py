"""The agent daemon: beside one upstream, between it and the entries."""

import functools
import threading

from lavenderspoke import agentevents as events
from lavenderspoke.agentcore import AgentCore, AgentIdentity, AgentTimes
from lavenderspoke.capacity.adaptivelimit import AdaptiveLimit
from lavenderspoke.capacity.limits import FixedLimit, Limit
from lavenderspoke.config import AgentSettings
from lavenderspoke.daemon import Daemon, new_id
from lavenderspoke.documents.service import Kind
from lavenderspoke.http.upstreamsignals import SignalHeaders
from lavenderspoke.joining import Joining
from lavenderspoke.membership import subset
from lavenderspoke.membership.memberlist import Role
from lavenderspoke.ordering import Ordering
from lavenderspoke.periodic import Periodic
from lavenderspoke.reports import agent_report
from lavenderspoke.supervisor import Part
from lavenderspoke.upstreamruns import UpstreamRuns
from lavenderspoke.upstreams.httpupstream import ModelUpstream, PlainUpstream
from lavenderspoke.upstreams.upstream import Upstream
from lavenderspoke.upstreamwatch import UpstreamWatch

# Renewals in one lease: several may fail before keyed work has to stop.
RENEWALS = 3


class AgentDaemon(Daemon):
    """One agent."""

    role = "agent"

    def __init__(self, *, settings, clock):
        super().__init__(settings=settings, clock=clock)
        upstream = make_upstream(settings.upstream)
        self.runs = UpstreamRuns(
            upstream=upstream,
            kind=settings.upstream.kind,
            post=self.loop.post,
            read_timeout_s=settings.upstream.read_timeout_s,
            threads=settings.slots_max,
            signal_headers=SignalHeaders(
                limit=settings.upstream.limit_header,
                leaving=settings.upstream.leaving_header,
            ),
            clock=clock,
        )
        self.watch = UpstreamWatch(
            upstream=upstream, post=self.loop.post, is_paused=self._is_paused
        )
        self.joining = Joining(
            identity=self.core.identity,
            log=self.log,
            clock=clock,
            post=self.loop.post,
            renew_s=settings.roster_lease_s / RENEWALS,
            lease_s=settings.roster_lease_s,
            learn_address=self.directory.learn,
        )
        self.ordering = Ordering(
            upstream=upstream,
            documents=self.documents,
            service=settings.service,
            label=settings.label,
            is_newest=self.joining.is_newest,
            metrics=self.metrics,
            is_paused=self._is_paused,
        )

    def _is_paused(self) -> bool:
        return self.core.backpressure.is_paused(self.clock.monotonic_s())

    def make_core(self) -> AgentCore:
        settings = self.settings
        identity = AgentIdentity(
            me=self.me,
            service=settings.service,
            upstream=settings.upstream.name,
            address=settings.peers.address,
            data_centre=settings.data_centre,
        )
        times = AgentTimes(
            heartbeat_s=settings.heartbeat_s,
            entry_lost_s=settings.silence_s,
            pull_ttl_s=settings.pull_ttl_s,
            roster_lease_s=settings.roster_lease_s,
        )
        return AgentCore(
            identity=identity,
            times=times,
            limit=make_limit(settings),
            accepts_pushed=settings.accepts_pushed,
            new_id=new_id,
            now_s=self.clock.monotonic_s(),
        )

    def parts(self) -> list[tuple[str, Part]]:
        poll_s = self.settings.platform.poll_s
        return [
            ("joining", self._part("joining", poll_s, self.joining.poll)),
            ("upstream", self._part("upstream", poll_s, self.watch.poll)),
            ("ordering", self._part("ordering", poll_s, self.ordering.poll)),
            ("status", self.status_server),
        ]

    def _part(self, name: str, period_s: float, work) -> Periodic:
        return Periodic(name=name, period_s=period_s, work=work)

    def members_read(self) -> None:
        names = subset.choose_entries(
            self.me.name,
            self.settings.data_centre,
            self.directory.members(Role.ENTRY),
            self.settings.entries_max,
        )
        count_max = self.settings.entries_max
        self.loop.post(events.EntriesListed(names=names, count_max=count_max))
        is_leaving = self.me.name in self.directory.leaving()
        self.loop.post(events.ListedLeaving(is_leaving=is_leaving))

    def drain(self) -> None:
        self.joining.is_leaving = True
        self.loop.post(events.LeaveWanted())
        self.exit_after_drain()

    def ready(self) -> bool:
        """Return whether the agent pulls work for its upstream."""
        return self.core.leaving.accepts and self.core.upstream_up

    def core_status(self) -> dict:
        return agent_report(self.core)

    @functools.singledispatchmethod
    def perform(self, action: object) -> None:
        super().perform(action)

    @perform.register
    def _(self, action: events.Dispatch) -> None:
        self.runs.dispatch(action.call)

    @perform.register
    def _(self, action: events.ResumeRun) -> None:
        self.runs.resume(action.call.request_id, action.after_event_id, action.delay_s)

    @perform.register
    def _(self, action: events.CancelRun) -> None:
        self.runs.cancel(action.request_id)

    @perform.register
    def _(self, action: events.AppendRoster) -> None:
        self._in_background(self.joining.leave, action.record)

    @perform.register
    def _(self, action: events.FindHeir) -> None:
        self._in_background(self.joining.find_heir)

    def _in_background(self, work, *arguments) -> None:
        thread = threading.Thread(target=work, args=arguments, daemon=True)
        thread.start()


def make_upstream(settings) -> Upstream:
    """Return the adapter for an upstream of that kind."""
    if settings.kind is Kind.MODEL:
        return ModelUpstream(base_url=settings.base_url)
    return PlainUpstream(base_url=settings.base_url)


def make_limit(settings: AgentSettings) -> Limit:
    """Return a limit that learns for engines, and a fixed one for the rest."""
    if settings.upstream.kind is Kind.MODEL and settings.learns_limit:
        return AdaptiveLimit(slots_max=settings.slots_max)
    return FixedLimit(slots=settings.slots_max)
