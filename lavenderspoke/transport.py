"""Messages between daemons over pynng.

Each daemon has one listening pull socket and one push socket for each peer
address. Sending never blocks and nothing is acknowledged: a message that can't
be queued is dropped and counted, and the state machines at both ends live with
that. What was queued for a peer may reach the peer's next life; its envelope
names the incarnation it was for, and the receiver drops it.
"""

import threading
from collections.abc import Callable

import attrs
import logbook
import pynng

from lavenderspoke.codec import MESSAGE_BYTES_MAX, Codec, CodecError
from lavenderspoke.envelope import Envelope

SEND_BUFFER_MESSAGES = 128
RECEIVE_BUFFER_MESSAGES = 16
# Connections from one address: the other daemons have one each, and a new one before
# the old one is closed. Each holds a message of up to the largest size as it arrives.
CONNECTIONS_PER_ADDRESS_MAX = 32
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000

log = logbook.Logger(__name__)


@attrs.define(kw_only=True)
class TransportCounters:
    """What a transport has done since it started."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped_full: int = 0
    dropped_away: int = 0
    dropped_large: int = 0
    dropped_closed: int = 0
    refused_connections: int = 0
    bad: int = 0
    failed: int = 0


@attrs.define(kw_only=True)
class _Peer:
    socket: pynng.Push0
    connected_once: bool = False

    def on_connect(self, pipe: pynng.Pipe) -> None:
        self.connected_once = True


class Transport:
    """A transport sends to any address and receives on its own.

    `on_message(envelope)` and `on_bad_message(error)` are called on the
    receiving thread, one at a time.
    """

    def __init__(
        self,
        *,
        listen_address: str,
        codec: Codec,
        on_message: Callable[[Envelope], None],
        on_bad_message: Callable[[CodecError], None] = lambda error: None,
        send_buffer_messages: int = SEND_BUFFER_MESSAGES,
        message_bytes_max: int = MESSAGE_BYTES_MAX,
    ):
        self._message_bytes_max = message_bytes_max
        self.counters = TransportCounters()
        self._listen_address = listen_address
        self._codec = codec
        self._on_message = on_message
        self._on_bad_message = on_bad_message
        self._send_buffer_messages = send_buffer_messages
        self._peers: dict[str, _Peer] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._pull: pynng.Pull0 | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen, and receive on a thread.

        Raises pynng.NNGException, and RuntimeError when the system refuses the thread.
        """
        self._pull = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._pull.recv_max_size = self._message_bytes_max
        self._pull.add_pre_pipe_connect_cb(self._on_connect)
        try:
            self._pull.listen(self._listen_address)
            thread = threading.Thread(
                target=self._receive, name="transport", daemon=True
            )
            thread.start()
        except (pynng.NNGException, RuntimeError):
            self._pull.close()
            raise
        self._thread = thread

    @property
    def address(self) -> str:
        """The address listened on, with the port that the system chose for 0."""
        return f"tcp://{self._pull.listeners[0].local_address}"

    def alive(self) -> bool:
        """Return whether messages are being received."""
        return self._thread is not None and self._thread.is_alive()

    def send(self, address: str, envelope: Envelope) -> bool:
        """Queue an envelope for an address; return False when it was dropped.

        The first send to an address dials it; what is queued until the
        connection stands is kept. Later, with the peer away, messages are
        dropped at once: by the time it is back they would be stale.
        """
        data = self._codec.encode(envelope)
        if len(data) > self._message_bytes_max:
            self.counters.dropped_large += 1
            return False
        with self._lock:
            if self._closed:
                self.counters.dropped_closed += 1
                return False
            peer = self._peers.get(address) or self._dial(address)
            return self._push(peer, data)

    def forget(self, address: str) -> None:
        """Hang up on a peer that is gone for good."""
        with self._lock:
            peer = self._peers.pop(address, None)
        if peer is not None:
            peer.socket.close()

    def close(self) -> None:
        """Stop receiving and hang up on every peer."""
        with self._lock:
            self._closed = True
            peers, self._peers = self._peers, {}
        if self._pull is not None:
            self._pull.close()
        for peer in peers.values():
            peer.socket.close()
        if self._thread not in (None, threading.current_thread()):
            self._thread.join()

    stop = close

    def _on_connect(self, pipe: pynng.Pipe) -> None:
        """Refuse a connection if its address has as many as it may have."""
        address = _host(pipe)
        others = [each for each in self._pull.pipes if each is not pipe]
        if sum(_host(each) == address for each in others) < CONNECTIONS_PER_ADDRESS_MAX:
            return
        self.counters.refused_connections += 1
        pipe.close()

    def _dial(self, address: str) -> _Peer:
        socket = pynng.Push0(
            send_buffer_size=self._send_buffer_messages,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        peer = self._peers[address] = _Peer(socket=socket)
        socket.add_post_pipe_connect_cb(peer.on_connect)
        # Without `block=False` a dead peer's address would hold up the sender.
        socket.dial(address, block=False)
        return peer

    def _push(self, peer: _Peer, data: bytes) -> bool:
        if peer.connected_once and not peer.socket.pipes:
            self.counters.dropped_away += 1
            return False
        try:
            peer.socket.send(data, block=False)
        except pynng.TryAgain:
            self.counters.dropped_full += 1
            return False
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)
        return True

    def _receive(self) -> None:
        while True:
            try:
                data = self._pull.recv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                log.warning("receiving failed", error=str(error))
                continue
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        decoded = self._codec.decode(data)
        try:
            if decoded.is_err():
                self.counters.bad += 1
                self._on_bad_message(decoded.unwrap_err())
                return
            self.counters.received += 1
            self.counters.received_bytes += len(data)
            self._on_message(decoded.unwrap())
        except Exception:
            # A fault in handling one message would end this thread and leave a
            # daemon that lives but hears nothing; it costs that message only.
            self.counters.failed += 1
            log.exception("handling a message failed")


def _host(pipe: pynng.Pipe) -> str:
    """Return the address of a connection's other end, empty if it is just closed."""
    try:
        return str(pipe.remote_address).rpartition(":")[0]
    except pynng.NNGException:
        return ""
