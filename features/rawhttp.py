"""Raw HTTP for tests, byte by byte where a library would tidy up."""

import json
import socket

import attrs

from standins.processes import wait_until

WAIT_S = 20.0


def wait_for(condition, what: str) -> object:
    """Return the condition's first true value, or fail after a long while."""
    return wait_until(condition, WAIT_S, what)


@attrs.frozen(kw_only=True)
class RawResponse:
    """A response as its bytes came, up to the end of the connection."""

    data: bytes

    @property
    def head(self) -> str:
        return self.data.partition(b"\r\n\r\n")[0].decode("latin-1")

    @property
    def body(self) -> bytes:
        return self.data.partition(b"\r\n\r\n")[2]

    @property
    def status(self) -> int:
        return int(self.head.split(" ")[1])

    def header(self, name: str) -> str | None:
        for line in self.head.split("\r\n")[1:]:
            each, _, value = line.partition(": ")
            if each.lower() == name.lower():
                return value
        return None

    def problem(self) -> dict:
        assert self.header("Content-Type") == "application/problem+json", self.data
        return json.loads(self.body)


def unescaped(text: str) -> bytes:
    r"""Return the bytes of a step's text, in which escapes such as `\r\n` stand."""
    return text.encode().decode("unicode_escape").encode("latin-1")


def request_bytes(
    *, method="POST", path="/", headers=(), body=b"", length=None, version="1.1"
) -> bytes:
    """Return a request; `length` may differ from the body's."""
    lines = [f"{method} {path} HTTP/{version}", "Host: test"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or length is not None:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


def read_all(connection: socket.socket) -> RawResponse:
    """Read until the other end closes."""
    data = b""
    while chunk := connection.recv(65536):
        data += chunk
    return RawResponse(data=data)


def connect(port: int) -> socket.socket:
    """Connect to a server under test."""
    return socket.create_connection(("127.0.0.1", port), timeout=WAIT_S)


def exchange(port: int, data: bytes) -> RawResponse:
    """Send bytes and return all that comes back."""
    with connect(port) as connection:
        connection.sendall(data)
        return read_all(connection)
