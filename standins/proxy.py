"""A TCP proxy that injects faults, with many links in one process.

`POST /control/links` adds a link: `{"name", "listen", "target": "host:port"}`.
`POST /control` changes one: `{"link", "refuse", "cut", "heal", "to_target",
"to_client"}`, where the last two set the faults of one direction:

- `delay_ms` holds all bytes that long, in order;
- `freeze` stops reading, so that the sender's buffers fill and nothing is lost;
- `half_open` swallows bytes and the end of the stream, as when a machine on the
  way has forgotten the connection. A connection that lost bytes is cut on heal,
  since TCP never gives a reader a stream with a hole.

`refuse` closes the listening socket; `cut` ends the connections there are now.
"""

import asyncio
import contextlib
import socket
import struct
import threading

import attrs

from standins import server
from standins.server import Reply, Request, json_reply

READ_BYTES = 64 * 1024
QUEUED_MAX = 4096
CONTROL_TIMEOUT_S = 10
# Has a socket reset its connection when it is closed.
RESET_LINGER = struct.pack("ii", 1, 0)


@attrs.define(kw_only=True)
class Faults:
    """The faults of one direction of a link."""

    delay_ms: float = 0.0
    freeze: bool = False
    half_open: bool = False


@attrs.define(kw_only=True, eq=False)
class Connection:
    """One proxied connection; `lossy` once bytes of it were swallowed."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    lossy: bool = False

    def cut(self) -> None:
        """End both sides with a reset, so that neither takes it for an end."""
        for writer in self.writers:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        self.close()

    def close(self) -> None:
        """Close both sides, whose bytes have all been passed on."""
        for writer in self.writers:
            writer.transport.abort()


class Link:
    """A listening port, its target and the connections between."""

    def __init__(self, *, name: str, host: str, listen: int, target: str):
        self.name = name
        self._host = host
        self._listen = listen
        target_host, _, target_port = target.rpartition(":")
        self._target = (target_host, int(target_port))
        self._faults = {"to_target": Faults(), "to_client": Faults()}
        self._bytes = {"to_target": 0, "to_client": 0}
        self._swallowed = 0
        self._changed = asyncio.Event()
        self._connections: set[Connection] = set()
        self._accepted = 0
        self._server: asyncio.Server | None = None

    def report(self) -> dict:
        """Return the link's state as plain data."""
        return {
            "connections": len(self._connections),
            "accepted": self._accepted,
            "bytes": self._bytes,
            "bytes_swallowed": self._swallowed,
            "refuses": self._server is None,
            "faults": {name: attrs.asdict(each) for name, each in self._faults.items()},
        }

    async def listen(self) -> None:
        """Accept connections from now on."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, self._host, self._listen, backlog=1024
            )

    async def refuse(self) -> None:
        """Refuse new connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def change(self, wanted: dict) -> None:
        """Apply one control request."""
        if wanted.get("heal"):
            self._heal()
            await self.listen()
        for name, faults in self._faults.items():
            for field, value in wanted.get(name, {}).items():
                setattr(faults, field, value)
        if wanted.get("refuse"):
            await self.refuse()
        if wanted.get("cut"):
            self._cut(list(self._connections))
        self._changed.set()
        self._changed = asyncio.Event()

    def _heal(self) -> None:
        self._faults.update(to_target=Faults(), to_client=Faults())
        self._cut([each for each in self._connections if each.lossy])

    def _cut(self, connections: list[Connection]) -> None:
        for connection in connections:
            connection.cut()

    async def _serve(self, reader, writer) -> None:
        self._accepted += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(writers=(writer, target_writer))
        self._connections.add(connection)
        pumps = [
            asyncio.ensure_future(pump)
            for pump in (
                self._pump("to_target", connection, reader, target_writer),
                self._pump("to_client", connection, target_reader, writer),
            )
        ]
        await asyncio.gather(*pumps, return_exceptions=True)
        self._connections.discard(connection)
        connection.close()

    async def _pump(self, name, connection, reader, writer) -> None:
        """Move one direction's bytes until its end, or cut both on an error."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUED_MAX)
        sending = asyncio.ensure_future(self._send(queue, writer))
        try:
            await self._receive(name, connection, reader, queue)
            await sending
        except OSError:
            connection.cut()
        finally:
            sending.cancel()

    async def _receive(self, name, connection, reader, queue) -> None:
        now_s = asyncio.get_running_loop().time
        data = b"-"
        while data:
            await self._while_set(name, "freeze")
            data = await reader.read(READ_BYTES)
            await self._while_set(name, "freeze")
            if self._faults[name].half_open:
                connection.lossy = True
                self._swallowed += len(data)
                if not data:
                    await self._while_set(name, "half_open")
                continue
            self._bytes[name] += len(data)
            await queue.put((now_s() + self._faults[name].delay_ms / 1000, data))

    async def _while_set(self, name: str, fault: str) -> None:
        while getattr(self._faults[name], fault):
            await self._changed.wait()

    async def _send(self, queue, writer) -> None:
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            due_s, data = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class Proxy:
    """All links, on an event loop in a thread of its own."""

    def __init__(self, *, host: str):
        self._host = host
        self._links: dict[str, Link] = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def handle(self, request: Request) -> Reply:
        """Answer a control request."""
        if request.method == "GET":
            return json_reply(
                {name: link.report() for name, link in self._links.items()}
            )
        if request.path == "/control/links":
            work = self._add(**request.json())
        else:
            work = self._change(request.json())
        done = asyncio.run_coroutine_threadsafe(work, self._loop)
        return json_reply(done.result(CONTROL_TIMEOUT_S))

    async def _add(self, name: str, listen: int, target: str) -> dict:
        link = Link(name=name, host=self._host, listen=listen, target=target)
        await link.listen()
        self._links[name] = link
        return link.report()

    async def _change(self, wanted: dict) -> dict:
        link = self._links[wanted["link"]]
        await link.change(wanted)
        return link.report()


if __name__ == "__main__":
    options = server.parser(__doc__).parse_args()
    server.serve(options, Proxy(host=options.host).handle)
