"""What both daemons are made of: platform feeds, messages, a core, its loop."""

import functools
import signal
import threading
import uuid
from random import Random

import attrs
import logbook
from result import Err

from lavenderspoke.agentevents import Exit
from lavenderspoke.callers import StatusServer
from lavenderspoke.clock import Clock
from lavenderspoke.codec import CodecError
from lavenderspoke.config import AgentSettings, EntrySettings
from lavenderspoke.core import Count, Observe, Received, Send
from lavenderspoke.directory import Directory
from lavenderspoke.documentfeed import DocumentFeed
from lavenderspoke.documents.fold import DocumentFold
from lavenderspoke.envelope import Envelope
from lavenderspoke.loop import Core, CoreLoop
from lavenderspoke.membership.memberlist import HttpMemberList
from lavenderspoke.messagecodec import CODEC
from lavenderspoke.messages import (
    Announce,
    DocumentRelay,
    DocumentWanted,
    EntryAnnounce,
)
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.periodic import Periodic
from lavenderspoke.platformlog import HttpLog
from lavenderspoke.stopsignals import STOP_SIGNALS
from lavenderspoke.supervisor import Part, Supervisor
from lavenderspoke.transport import Transport

log = logbook.Logger(__name__)


def new_id() -> str:
    """Return an id that no one else makes."""
    return uuid.uuid4().hex


class Daemon:
    """The shell around a core: it brings events in and carries actions out.

    A subclass makes the core, adds its own parts and performs its own actions.
    """

    role = ""

    def __init__(self, *, settings: EntrySettings | AgentSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.me = InstanceId(name=settings.name, incarnation=new_id())
        self.metrics = Metrics()
        self.directory = Directory(own_name=settings.name)
        platform = settings.platform
        self.log = HttpLog(base_url=platform.log_url, timeout_s=platform.timeout_s)
        self.member_list = HttpMemberList(
            base_url=platform.members_url, timeout_s=platform.timeout_s
        )
        self.transport = Transport(
            codec=CODEC,
            listen_address=settings.peers.listen_address,
            on_message=self.on_message,
            on_bad_message=self.on_bad_message,
        )
        self.core = self.make_core()
        self.loop = CoreLoop(core=self.core, clock=clock, perform=self.perform)
        self.documents = DocumentFeed(
            log=self.log,
            fold=DocumentFold(random=Random(), carry_every_s=settings.carry_every_s),
            clock=clock,
            post=self.loop.post,
        )
        self.status_server = StatusServer(
            host=settings.status.host,
            port=settings.status.port,
            ready=self.ready,
            status=self.status,
            metrics=self.metrics,
        )
        self.members_failed = 0
        self.supervisor: Supervisor | None = None

    # For subclasses

    def make_core(self) -> Core:
        """Return the core that this daemon drives."""
        raise NotImplementedError

    def parts(self) -> list[tuple[str, Part]]:
        """Return this daemon's own parts, in the order of their start."""
        raise NotImplementedError

    def members_read(self) -> None:
        """The directory has just taken the platform's list."""
        raise NotImplementedError

    def ready(self) -> bool:
        """Return whether the platform may send work here."""
        raise NotImplementedError

    def core_status(self) -> dict:
        """Return what the status page says of the core."""
        raise NotImplementedError

    # Running

    def run(self) -> int:
        """Run until told to stop; return the process's exit status."""
        self.supervisor = self.make_supervisor()
        for stop in STOP_SIGNALS:
            signal.signal(stop, self._on_signal)
        log.info("starting", role=self.role, incarnation=self.me.incarnation)
        status = self.supervisor.run()
        log.info("stopped", role=self.role, status=status)
        return status

    def make_supervisor(self) -> Supervisor:
        """Return the tree of this daemon's parts."""
        platform = self.settings.platform
        feeds = Supervisor(
            name="feeds",
            parts=[
                ("documents", self._periodic("documents", platform.poll_s)),
                ("members", self._periodic("members", platform.members_poll_s)),
            ],
            clock=self.clock,
        )
        parts = [("core", self.loop), ("transport", self.transport), ("feeds", feeds)]
        return Supervisor(name=self.role, parts=parts + self.parts(), clock=self.clock)

    def _periodic(self, name: str, period_s: float) -> Periodic:
        work = {"documents": self.documents.poll, "members": self.read_members}[name]
        return Periodic(name=name, period_s=period_s, work=work)

    def _on_signal(self, number: int, frame: object) -> None:
        self.drain()

    def drain(self) -> None:
        """Begin the graceful stop; the core's Exit ends the daemon."""
        raise NotImplementedError

    def exit_after_drain(self) -> None:
        """End the daemon once draining has taken as long as the settings allow."""
        timer = threading.Timer(self.settings.drain_s, self.exit)
        timer.daemon = True
        timer.start()

    def exit(self) -> None:
        """End the daemon."""
        if self.supervisor is not None:
            self.supervisor.request_stop()

    # The platform's list

    def read_members(self) -> None:
        """Read the platform's list once."""
        read = self.member_list.read()
        if isinstance(read, Err):
            self.members_failed += 1
            self.metrics.count("platform_errors", "members")
            return
        self.directory.listed(read.ok_value)
        self.members_read()

    # Messages

    def on_message(self, envelope: Envelope) -> None:
        """Take a message from another daemon; runs on the transport's thread."""
        recipient = envelope.recipient
        own_life = recipient.incarnation in ("", self.me.incarnation)
        # Meant for an earlier life: its grants and revocations are about a
        # ledger that is gone.
        if recipient.name != self.me.name or not own_life:
            self.metrics.count("messages_dropped", "other_incarnation")
            return
        message = envelope.message
        self.directory.heard(envelope.sender.name, message)
        if isinstance(message, DocumentWanted):
            self._pass_on(message, envelope.sender)
        elif isinstance(message, DocumentRelay):
            self.documents.relay(message)
        else:
            if isinstance(message, (Announce, EntryAnnounce)):
                self._want_newer(message.versions, envelope.sender)
            self.loop.post(Received(sender=envelope.sender, message=message))

    def on_bad_message(self, error: CodecError) -> None:
        """Count bytes that are no message."""
        self.metrics.count("messages_dropped", "malformed")

    def _want_newer(self, versions: dict[str, int], sender: InstanceId) -> None:
        # While the log can be read it brings every document itself.
        if self.documents.reading:
            return
        for service in self.documents.newer(versions):
            wanted = DocumentWanted(
                service=service, offset=self.documents.versions().get(service, 0)
            )
            self.send(Send(recipient=sender, message=wanted))

    def _pass_on(self, wanted: DocumentWanted, sender: InstanceId) -> None:
        relay = self.documents.to_relay(wanted.service)
        if relay is not None and relay.offset > wanted.offset:
            self.send(Send(recipient=sender, message=relay))

    def send(self, action: Send) -> None:
        """Send a message if its recipient's address is known."""
        recipient = action.recipient
        address = self.directory.address(recipient.name)
        if address is None:
            self.metrics.count("messages_dropped", "no_address")
            return
        envelope = Envelope(sender=self.me, recipient=recipient, message=action.message)
        if not self.transport.send(address, envelope):
            self.metrics.count("messages_dropped", "not_queued")

    # Actions

    @functools.singledispatchmethod
    def perform(self, action: object) -> None:
        """Carry out an action of the core."""
        raise TypeError(f"no such action: {action!r}")

    @perform.register
    def _(self, action: Send) -> None:
        self.send(action)

    @perform.register
    def _(self, action: Exit) -> None:
        self.exit()

    @perform.register
    def _(self, action: Count) -> None:
        self.metrics.count(action.name, action.reason, action.amount)

    @perform.register
    def _(self, action: Observe) -> None:
        tier = self._tier_name(action.service, action.tier)
        self.metrics.observe(action.name, action.service, tier, action.value_s)

    def _tier_name(self, service_name: str, rank: int) -> str:
        service = self.documents.service(service_name)
        tiers = service.tiers if service is not None else ()
        return next((tier.name for tier in tiers if tier.rank == rank), str(rank))

    # Status

    def status(self) -> dict:
        """Return the status page's data, without counters."""
        return {
            "name": self.me.name,
            "role": self.role,
            "incarnation": self.me.incarnation,
            "data_centre": self.settings.data_centre,
            "versions": self.documents.versions(),
            "skipped_records": sum(self.documents.skipped().values()),
            "skipped_by_reason": self.documents.skipped(),
            "log_readable": self.documents.reading,
            "core_failures": self.loop.failed,
            "transport": attrs.asdict(self.transport.counters),
            **self.loop.ask(self.core_status),
        }
