"""The entry daemon: serves callers and talks to agents and other entries."""

import functools
from random import Random

from lavenderspoke import entryevents as events
from lavenderspoke.callers import CallerServer
from lavenderspoke.config import PolicySettings, TlsSettings
from lavenderspoke.daemon import Daemon, new_id
from lavenderspoke.dispatching import EntryPolicy
from lavenderspoke.entrycore import EntryCore, EntryIdentity, EntryTimes
from lavenderspoke.entrygateway import EntryGateway
from lavenderspoke.following import GrantTimeouts
from lavenderspoke.http.server import Tls
from lavenderspoke.membership.memberlist import Role
from lavenderspoke.periodic import Periodic
from lavenderspoke.reports import entry_report
from lavenderspoke.resources.clientmemory import CLIENT_MEMORY, client_bytes
from lavenderspoke.resources.processlimits import (
    CALLERS_SHARE_BEFORE_AGENTS,
    client_connections,
)
from lavenderspoke.rosterfeed import RosterFeed
from lavenderspoke.supervisor import Part
from lavenderspoke.waiting import QueuePolicy


class EntryDaemon(Daemon):
    """Connects the entry's state machine to its servers and feeds."""

    role = "entry"

    def __init__(self, *, settings, clock):
        super().__init__(settings=settings, clock=clock)
        self.gateway = EntryGateway(
            post=self.loop.post,
            service=self.documents.service,
            ready=self.ready,
            status=self.status,
        )
        self.roster = RosterFeed(log=self.log, post=self.loop.post)
        self.roster_part = Periodic(
            name="roster",
            period_s=settings.platform.poll_s,
            work=self.roster.poll,
        )
        callers, limits = settings.callers, settings.limits.of_process()
        CLIENT_MEMORY.bytes_max = client_bytes(
            memory_bytes=limits.memory_bytes, threads=callers.threads
        )
        self.callers = CallerServer(
            host=callers.host,
            port=callers.port,
            gateway=self.gateway,
            metrics=self.metrics,
            clock=clock,
            threads=callers.threads,
            tls=tls_files(callers.tls),
            request_read_s=callers.body_timeout_s,
            header_bytes_max=callers.header_bytes_max,
            body_bytes_max=callers.body_bytes_max,
            drain_s=settings.drain_s,
            connections_max=client_connections(
                limits.descriptors, CALLERS_SHARE_BEFORE_AGENTS
            ),
        )

    def make_core(self) -> EntryCore:
        settings = self.settings
        identity = EntryIdentity(
            me=self.me,
            address=settings.peers.address,
            data_centre=settings.data_centre,
        )
        times = EntryTimes(
            heartbeat_s=settings.heartbeat_s,
            agent_lost_s=settings.silence_s,
            peer_lost_s=settings.silence_s,
            roster_lease_s=settings.roster_lease_s,
            grant_timeouts=GrantTimeouts(grant_timeout_s=settings.grant_answer_s),
        )
        return EntryCore(
            identity=identity,
            times=times,
            random=Random(),
            new_id=new_id,
            policy=entry_policy(settings.policy),
            requests_max=settings.callers.threads,
            now_s=self.clock.monotonic_s(),
        )

    def parts(self) -> list[tuple[str, Part]]:
        return [
            ("roster", self.roster_part),
            ("status", self.status_server),
            ("callers", self.callers),
        ]

    def members_read(self) -> None:
        self.loop.post(
            events.PeersListed(
                entry_names=tuple(
                    member.name for member in self.directory.members(Role.ENTRY)
                ),
                leaving_agents=self.directory.leaving(),
            )
        )

    def drain(self) -> None:
        # Signal handlers must not block; the core finishes the open requests.
        self.loop.post(events.DrainRequested())
        self.exit_after_drain()

    def ready(self) -> bool:
        """Return whether the entry has documents and is not draining."""
        return bool(self.core.services) and not self.core.draining

    def status(self) -> dict:
        return super().status() | {"client_bytes": CLIENT_MEMORY.held_bytes}

    def core_status(self) -> dict:
        return entry_report(self.core)

    @functools.singledispatchmethod
    def perform(self, action: object) -> None:
        super().perform(action)

    @perform.register
    def _(self, action: events.Reply) -> None:
        self.gateway.reply(action.request_id, action.part)

    @perform.register
    def _(self, action: events.ReadRoster) -> None:
        self.roster.request_read(action.read_id)
        self.roster_part.wake()


def entry_policy(settings: PolicySettings) -> EntryPolicy:
    """Return the scheduling policy that the settings select."""
    queue = QueuePolicy(
        tiers=settings.tiers,
        fair=settings.fair,
        size_aware=settings.size_aware,
        affinity=settings.affinity,
    )
    return EntryPolicy(
        queue=queue,
        dispatching=settings.dispatching,
        service_wide_shedding=settings.service_wide_shedding,
    )


def tls_files(settings: TlsSettings | None) -> Tls | None:
    """Return the server's TLS files, or None for plain HTTP."""
    if settings is None:
        return None
    return Tls(certificate_file=settings.certificate_path, key_file=settings.key_path)
