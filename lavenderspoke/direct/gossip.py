"""Exchanges messages with the other entries, and runs the entry's periodic work."""

import threading
from collections.abc import Callable

import logbook
import pynng

from lavenderspoke.codec import Codec, CodecError
from lavenderspoke.direct.dissemination import Dissemination, OutgoingMessage
from lavenderspoke.direct.messages import (
    DirectMessage,
    GroupStates,
    RecordsMessage,
    SharedState,
    StreamMessage,
)
from lavenderspoke.direct.office import DirectDispatcher
from lavenderspoke.direct.settings import Address
from lavenderspoke.envelope import Envelope
from lavenderspoke.model import InstanceId
from lavenderspoke.observing.metrics import Metrics
from lavenderspoke.quarantine.messages import CrashEvidence, Quarantined
from lavenderspoke.transport import Transport

# Interval between ticks, in seconds. A tick also runs the dispatcher's periodic work,
# so it bounds how late a queued request times out, or gets a slot that a peer released.
TICK_S = 0.02
# The longest message, in bytes: the largest is a topic of the store in full, whose
# records are a quarter of this at most.
MESSAGE_BYTES_MAX = 1024 * 1024

log = logbook.Logger(__name__)


class Gossip:
    """Supervised part that sends, receives and ticks; see `Dissemination`."""

    def __init__(
        self,
        *,
        me: InstanceId,
        listen: Address,
        dispatcher: DirectDispatcher,
        dissemination: Dissemination,
        metrics: Metrics,
        on_records: Callable[[InstanceId, RecordsMessage], None],
    ):
        self._me = me
        self._on_records = on_records
        self._dispatcher = dispatcher
        self._dissemination = dissemination
        self._metrics = metrics
        self._transport = Transport(
            codec=Codec(messages=DirectMessage),
            listen_address=f"tcp://{listen.host}:{listen.port}",
            on_message=self._on_message,
            on_bad_message=self._on_bad_message,
            message_bytes_max=MESSAGE_BYTES_MAX,
        )
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start listening and sending."""
        self._stopping.clear()
        self._transport.start()
        thread = threading.Thread(target=self._run, name="gossip", daemon=True)
        try:
            thread.start()
        except RuntimeError:
            # Left open, it would keep the address in use at the next attempt.
            self._transport.close()
            raise
        self._thread = thread

    def stop(self) -> None:
        """Announce that this entry is leaving, and close all connections."""
        self._stopping.set()
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()
        self._send_all(self._dissemination.leave_messages())
        self._transport.close()

    def alive(self) -> bool:
        """Return whether messages are being sent and received."""
        running = self._thread is not None and self._thread.is_alive()
        return running and self._transport.alive()

    def send_to_peer(self, name: str, message: RecordsMessage | StreamMessage) -> None:
        """Send a message to one entry; drop it if that is unknown or unreachable."""
        peer = self._dispatcher.known_peers().get(name)
        if peer is not None:
            self._send(
                OutgoingMessage(name=name, address=peer.address, message=message)
            )

    def _run(self) -> None:
        while not self._stopping.wait(TICK_S):
            try:
                self._send_all(self._dissemination.tick())
                for address in self._dispatcher.forget_gone_peers():
                    self._transport.forget(address)
            except Exception:
                # An error in one tick must not stop the queues from being served.
                log.exception("gossip tick failed")

    def _send_all(self, messages: list[OutgoingMessage]) -> None:
        for message in messages:
            self._send(message)

    def _send(self, outgoing: OutgoingMessage) -> None:
        recipient = InstanceId(name=outgoing.name, incarnation="")
        envelope = Envelope(
            sender=self._me, recipient=recipient, message=outgoing.message
        )
        try:
            sent = self._transport.send(outgoing.address, envelope)
        except pynng.NNGException as error:
            log.warning("sending to peer failed", peer=outgoing.name, error=str(error))
            sent = False
        except (ValueError, TypeError, OverflowError) as error:
            # It can't be encoded, and must not keep those behind it from being sent.
            kind = type(outgoing.message).__name__
            log.error(
                "message can't be encoded",
                peer=outgoing.name,
                kind=kind,
                error=f"{type(error).__name__}: {error}"[:200],
            )
            self._metrics.count("gossip", "unencodable")
            return
        self._metrics.count("gossip", "sent" if sent else "dropped")

    def _on_message(self, envelope: Envelope) -> None:
        if envelope.recipient.name != self._me.name:
            # The address may have been reassigned to this entry.
            self._metrics.count("gossip", "misdirected")
            return
        message = envelope.message
        if isinstance(message, (SharedState, GroupStates)):
            self._send_all(self._dissemination.receive(envelope.sender, message))
        elif isinstance(message, CrashEvidence):
            self._dispatcher.receive_crash_evidence(message)
        elif isinstance(message, Quarantined):
            self._dispatcher.facts.quarantine_told(message)
        elif isinstance(message, RecordsMessage):
            self._on_records(envelope.sender, message)
        elif isinstance(message, StreamMessage):
            self._dispatcher.streams.receive(message, envelope.sender)

    def _on_bad_message(self, error: CodecError) -> None:
        self._metrics.count("gossip", "malformed")
