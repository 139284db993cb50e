"""The daemon of an entry that uses direct dispatch, composed of its parts."""

import os
import signal
import socket
import threading
import uuid
from collections.abc import Callable
from random import Random
from typing import Protocol

import logbook

from lavenderspoke.clock import Clock
from lavenderspoke.direct.app import DirectApp
from lavenderspoke.direct.catalog import Catalog
from lavenderspoke.direct.dialect import Dialect
from lavenderspoke.direct.inforce import CatalogInForce
from lavenderspoke.direct.messages import RecordsMessage, StreamMessage
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.overduerequests import OverdueRequests
from lavenderspoke.direct.peerlink import PeerLink, PeerLinkLoader
from lavenderspoke.direct.readiness import ReadinessServer
from lavenderspoke.direct.server import DirectServer
from lavenderspoke.direct.settings import KEY_MARGIN_S, Bounds, DirectSettings
from lavenderspoke.direct.sharing import EntryLocation
from lavenderspoke.direct.startuphold import StartupHold
from lavenderspoke.http.callerwatch import CallerWatch
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.stopsignals import STOP_SIGNALS
from lavenderspoke.supervisor import Part, Supervisor

# How long requests are still accepted after the stop signal, in seconds. The load
# balancer checks readiness once a second and redirects callers after two failures. A
# long request that arrived after three seconds could not finish within the grace time.
DRAIN_ACCEPT_S = 2.6
# Margin between the end of the drain and the kill, in seconds, for the messages that
# announce the leaving, and the last log lines.
STOP_MARGIN_S = 0.9
# Interval at which the drain checks for requests in flight, in seconds.
DRAIN_POLL_S = 0.05

log = logbook.Logger(__name__)


class Feeds(Protocol):
    """A platform's feeds: the catalog, the upstreams and the other entries."""

    def parts(self) -> list[tuple[str, Part]]:
        """Return the supervised parts of the feeds, by name."""

    def handle_message(self, sender: InstanceId, message: RecordsMessage) -> None:
        """Handle a message from another entry about the platform's records."""

    def is_following(self) -> bool:
        """Return whether what is read of the upstreams can be applied."""

    def leave(self) -> None:
        """Remove this entry's record from the platform's store."""


class DirectEntry:
    """Builds the parts of one entry, runs them, and drains them at the stop signal.

    `listener` is a socket on which callers may already be waiting. `flush` is called
    before the process exits through `os._exit`, to write the last log lines.
    """

    def __init__(
        self,
        *,
        settings: DirectSettings,
        dialect: Dialect,
        clock: Clock,
        listener: socket.socket | None = None,
        flush: Callable[[], None] = lambda: None,
    ):
        self.settings = settings
        self._flush = flush
        self.clock = clock
        self.metrics = Metrics()
        self.me = InstanceId(name=settings.name, incarnation=uuid.uuid4().hex)
        self.location = EntryLocation(
            address=f"tcp://{settings.peers.host}:{settings.peers.port}",
            data_centre=settings.data_centre,
        )
        bounds = settings.bounds
        self.in_force = CatalogInForce(
            clock=clock, key_age_max_s=bounds.revoke_s - KEY_MARGIN_S
        )
        self.dispatcher = DirectDispatcher(
            name=settings.name,
            location=self.location,
            bounds=bounds,
            clock=clock,
            random=Random(),
            metrics=self.metrics,
            policies=settings.policies,
        )
        self.dispatcher.streams.send = self.send_to_peer
        self.dispatcher.connection_pools.name_of = dialect.named_request
        self._caller_watch = CallerWatch()
        self.overdue = OverdueRequests(clock=clock, metrics=self.metrics)
        self._startup_hold = StartupHold(is_ready=self._has_initial_state, clock=clock)
        self._app = DirectApp(
            startup_hold=self._startup_hold,
            in_force=self.in_force,
            dispatcher=self.dispatcher,
            dialect=dialect,
            watch=self._caller_watch,
            overdue=self.overdue,
            metrics=self.metrics,
            clock=clock,
        )
        self._caller_server = DirectServer(
            settings=settings, app=self._app, listener=listener
        )
        self._readiness_server = ReadinessServer(
            address=settings.readiness, ready=self.ready, metrics=self.metrics
        )
        self._peer_link = PeerLinkLoader(load=self._load_gossip)
        self._feeds: Feeds | None = None
        self._stop_requested = threading.Event()
        self._supervisor: Supervisor | None = None

    def ready(self) -> bool:
        """Return whether callers may be sent to this entry.

        The startup hold ends once the list of entries was read, which follows the write
        of this entry's own record. Before that no peer can relay records to it, and if
        the store rejected it, it would refuse all API keys as soon as its only read is
        too old. The list takes about 10 ms more; if it doesn't arrive within the hold,
        the entry serves without it.

        An entry that reads the upstreams but can't apply them knows that its list is
        wrong, where one that can't read knows no more than the others.
        """
        return (
            not self._app.draining
            and (self._feeds is None or self._feeds.is_following())
            and self._startup_hold.is_over()
            and self.in_force.catalog is not None
            and self.in_force.is_fresh()
            and self.dispatcher.has_upstreams()
        )

    def _has_initial_state(self) -> bool:
        """Return whether requests can be dispatched, and limits shared with peers."""
        return (
            self.in_force.catalog is not None
            and self.dispatcher.has_upstreams()
            and self.dispatcher.knows_peers()
        )

    def catalog_changed(self, catalog: Catalog) -> None:
        """Apply a catalog that came into force."""
        self.dispatcher.catalog_changed(catalog)
        self._caller_server.set_limits(catalog.limits)

    def reload(self, bounds: Bounds) -> None:
        """Apply changed bounds, except those that the feeds take at their start."""
        self.in_force.key_age_max_s = bounds.revoke_s - KEY_MARGIN_S
        self.dispatcher.reload(bounds)

    def send_to_peer(self, name: str, message: RecordsMessage | StreamMessage) -> None:
        """Send a message to one entry; drop it if that is unknown or unreachable."""
        self._peer_link.send_to_peer(name, message)

    def _load_gossip(self) -> PeerLink:
        # Imported only here: see `PeerLinkLoader`.
        from lavenderspoke.direct.dissemination import Dissemination
        from lavenderspoke.direct.gossip import Gossip

        dissemination = Dissemination(
            me=self.me, dispatcher=self.dispatcher, clock=self.clock
        )
        return Gossip(
            me=self.me,
            listen=self.settings.peers,
            dispatcher=self.dispatcher,
            dissemination=dissemination,
            metrics=self.metrics,
            on_records=self._on_records,
        )

    def _on_records(self, sender: InstanceId, message: RecordsMessage) -> None:
        if self._feeds is not None:
            self._feeds.handle_message(sender, message)

    def run(self, feeds: Feeds) -> int:
        """Run until the supervisor ends; return the process's exit status.

        After a stop signal this doesn't return: `_drain` exits the process.
        """
        self._feeds = feeds
        self._supervisor = Supervisor(
            name="entry",
            parts=[
                ("readiness", self._readiness_server),
                ("watch", self._caller_watch),
                *feeds.parts(),
                ("callers", self._caller_server),
                ("peers", self._peer_link),
            ],
            clock=self.clock,
            # Without its link an entry can serve, within its own share of the limits.
            # Giving up because of the link would cut off all its streams.
            dispensable=frozenset({"peers"}),
        )
        log.info("starting", entry=self.me.name, incarnation=self.me.incarnation)
        # Started early: at the time of the stop signal the system may refuse a new
        # thread, and the entry would not stop.
        threading.Thread(target=self._drain, name="drain", daemon=True).start()
        for stop_signal in STOP_SIGNALS:
            signal.signal(stop_signal, self._on_stop)
            # A signal that arrived while the process was loading is delivered now.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {stop_signal})
        status = self._supervise()
        log.info("stopped", entry=self.me.name, status=status)
        return status

    def _supervise(self) -> int:
        try:
            return self._supervisor.run()
        except Exception:
            # Returning would wait for server threads, which wait for callers. The
            # process would stay and hold its port without serving it.
            log.exception("supervisor failed, exiting")
            self._flush()
            os._exit(1)

    def _on_stop(self, number: int, frame: object) -> None:
        # A signal handler must return at once.
        if not self._app.draining:
            self._app.draining = True
            self._stop_requested.set()

    def _drain(self) -> None:
        """At the stop signal, finish requests within the grace time, then exit."""
        self._stop_requested.wait()
        started_s = self.clock.monotonic_s()
        refuse_from_s = started_s + DRAIN_ACCEPT_S
        latest_s = started_s + self.dispatcher.bounds.grace_s - STOP_MARGIN_S
        log.info("stopping", in_flight=self._caller_server.in_flight())
        self._feeds.leave()
        pause = threading.Event()
        while (now_s := self.clock.monotonic_s()) < latest_s:
            self._app.refusing = now_s >= refuse_from_s
            if self._app.refusing and not self._caller_server.in_flight():
                break
            pause.wait(DRAIN_POLL_S)
        if self._supervisor is not None:
            self._supervisor.stop_restarting()
        self._peer_link.stop()
        log.info("stopped", cut_off=self._caller_server.in_flight())
        # The remaining threads wait on sockets. Joining them takes up to a second for
        # each server, and the process would be killed meanwhile.
        self._flush()
        os._exit(0)
