"""Reading a request's body, whole or not at all."""

import io

from cheroot import errors

from lavenderspoke.http.server import CallerHttpRequest

# The longest line before a chunk, with the chunk's extensions, in bytes.
CHUNK_LINE_BYTES_MAX = 4 * 1024


class BodyTooLarge(Exception):
    """A body exceeds its limit."""


class BodyBroken(Exception):
    """A body ended early or is malformed."""


def read_body(request: CallerHttpRequest, bytes_max: int) -> bytes:
    """Return a request's whole body, once the request has been read to its last byte.

    Raises BodyTooLarge, BodyBroken, and TimeoutError when it came too slowly. The rest
    of such a request would be taken for the next one, so its connection closes.
    """
    try:
        if request.chunked_read:
            return _read_chunked(request, bytes_max)
        return _read_sized(request, bytes_max)
    except (BodyTooLarge, BodyBroken, TimeoutError):
        request.close_connection = True
        raise


def _read_sized(request: CallerHttpRequest, bytes_max: int) -> bytes:
    length = int(request.inheaders.get(b"Content-Length", 0))
    if length > bytes_max:
        raise BodyTooLarge
    try:
        body = request.rfile.read(length)
    except TimeoutError:
        raise
    except OSError as error:
        raise BodyBroken("the connection broke") from error
    if len(body) != length:
        raise BodyBroken(f"{len(body)} of {length} bytes came")
    return body


def _read_chunked(request: CallerHttpRequest, bytes_max: int) -> bytes:
    request.rfile.rfile = _BoundedLines(request.rfile.rfile)
    # Cheroot counts the chunks' framing too, hence the allowance; small chunks
    # can't make it larger than the body.
    request.rfile.maxlen = 2 * bytes_max + io.DEFAULT_BUFFER_SIZE
    try:
        body = request.rfile.read()
        # If the system closes a socket with a byte unread, as it does when a process
        # is killed, it resets the connection, which tells the caller that nobody has
        # read the request.
        for _ in request.rfile.read_trailer_lines():
            pass
    except TimeoutError:
        raise
    except errors.MaxSizeExceeded as error:
        raise BodyTooLarge from error
    except ValueError as error:
        raise BodyBroken("malformed or incomplete chunks") from error
    except OSError as error:
        if "Too Large" in str(error):
            raise BodyTooLarge from error
        raise BodyBroken("the connection broke") from error
    if len(body) > bytes_max:
        raise BodyTooLarge
    return body


class _BoundedLines:
    """Reads lines up to a limit; cheroot counts a line once all of it has come."""

    def __init__(self, rfile):
        self.read = rfile.read
        self._rfile = rfile

    def readline(self) -> bytes:
        line = self._rfile.readline(CHUNK_LINE_BYTES_MAX)
        if len(line) == CHUNK_LINE_BYTES_MAX and not line.endswith(b"\n"):
            raise errors.MaxSizeExceeded
        return line
