"""Tells the other entries several times a second what they share."""

import threading
from collections.abc import Callable

import logbook
import pynng

from lavenderspoke.codec import Codec, CodecError
from lavenderspoke.direct.messages import DirectMessage, RecordsMessage, SharedState
from lavenderspoke.direct.office import Office
from lavenderspoke.direct.settings import Address
from lavenderspoke.envelope import Envelope
from lavenderspoke.metrics import Metrics
from lavenderspoke.model import InstanceId
from lavenderspoke.poison import CrashEvidence
from lavenderspoke.transport import Transport

# Time between two looks at the lines, in seconds: how late a request learns that
# its time in line is up, or that a peer's place came free.
TICK_S = 0.02
# So many peers more make it one tick longer between two messages: each message
# goes to all of them, so what an entry sends would grow with their square.
PEERS_PER_TICK = 6
# Ticks between two messages while nothing changes.
QUIET_TICKS = 15

log = logbook.Logger(__name__)


class Gossip:
    """The part of an entry that keeps it in step with the others."""

    def __init__(
        self,
        *,
        me: InstanceId,
        listen: Address,
        office: Office,
        metrics: Metrics,
        on_records: Callable[[InstanceId, RecordsMessage], None],
    ):
        self._me = me
        self._on_records = on_records
        self._office = office
        self._metrics = metrics
        self._transport = Transport(
            codec=Codec(messages=DirectMessage),
            listen_address=f"tcp://{listen.host}:{listen.port}",
            on_message=self._on_message,
            on_bad_message=self._on_bad_message,
        )
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._told: SharedState | None = None
        self._quiet_ticks = 0

    def start(self) -> None:
        """Listen, and begin to tell."""
        self._stopping.clear()
        self._transport.start()
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Tell the others that this entry leaves, and hang up."""
        self._stopping.set()
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()
        self._tell(leaving=True)
        self._transport.close()

    def alive(self) -> bool:
        """Return whether the others are being heard and told."""
        running = self._thread is not None and self._thread.is_alive()
        return running and self._transport.alive()

    def tell(self, name: str, message: RecordsMessage) -> None:
        """Send one entry a message; it is dropped if that can't be reached."""
        address = self._office.peer_addresses().get(name)
        if address is not None:
            self._send(name, address, message)

    def _run(self) -> None:
        ticks = 0
        while not self._stopping.wait(TICK_S):
            ticks += 1
            try:
                self._office.tick()
                every = 1 + len(self._office.peer_addresses()) // PEERS_PER_TICK
                if ticks % every == 0:
                    self._tell(leaving=False, ticks=every)
            except Exception:
                # The lines must go on being served, whatever one tick met.
                log.exception("tick failed")

    def _tell(self, *, leaving: bool, ticks: int = 0) -> None:
        state, *evidence = self._office.news(leaving=leaving)
        self._quiet_ticks += ticks
        if state == self._told and not evidence and self._quiet_ticks < QUIET_TICKS:
            return
        self._told = state
        self._quiet_ticks = 0
        for address in self._office.gone_peers():
            self._transport.forget(address)
        for name, address in self._office.peer_addresses().items():
            for message in (state, *evidence):
                self._send(name, address, message)

    def _send(self, name: str, address: str, message) -> None:
        recipient = InstanceId(name=name, incarnation="")
        envelope = Envelope(sender=self._me, recipient=recipient, message=message)
        try:
            sent = self._transport.send(address, envelope)
        except pynng.NNGException as error:
            log.warning("peer can't be told", peer=name, error=str(error))
            sent = False
        self._metrics.count("gossip", "sent" if sent else "dropped")

    def _on_message(self, envelope: Envelope) -> None:
        if envelope.recipient.name != self._me.name:
            # An address may have been given to another entry.
            self._metrics.count("gossip", "misdirected")
            return
        if isinstance(envelope.message, (SharedState, CrashEvidence)):
            self._office.heard(envelope.sender, envelope.message)
        elif isinstance(envelope.message, RecordsMessage):
            self._on_records(envelope.sender, envelope.message)

    def _on_bad_message(self, error: CodecError) -> None:
        self._metrics.count("gossip", "malformed")
