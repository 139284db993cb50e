"""What ends the body of a response, and so can prove that it is whole.

The rules are those of RFC 9112, section 6.3.
"""

import enum
import http.client
import string

import urllib3

CHUNK_LINE_BYTES_MAX = 4 * 1024
# Bytes of chunks' framing that a body may have at most: so many, and so many for each
# byte of its content. Reading a chunk costs much more than reading its bytes.
CHUNK_FRAMING_BYTES_MAX = 64 * 1024
CHUNK_FRAMING_RATIO_MAX = 4
CHUNK_END_BYTES = 2
NO_BODY_STATUSES = frozenset((204, 304))
# What is logged of a response with `Framing.INVALID`.
INVALID_DETAIL = "its headers don't tell where it ends"


class Framing(enum.StrEnum):
    """How the end of a body is told from its truncation.

    - `NO_BODY`: it has none, by its status or the request's method.
    - `LENGTH`: Content-Length counts its bytes.
    - `LAST_CHUNK`: it is chunked, and ends with a chunk of no bytes.
    - `CONNECTION_END`: it ends where its sender closes the connection.
    - `INVALID`: the headers contradict each other or can't be understood.
    """

    NO_BODY = "no_body"
    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CONNECTION_END = "connection_end"
    INVALID = "invalid"


def framing_of(response: urllib3.BaseHTTPResponse, *, method: str) -> Framing:
    """Return what ends the body of the response to a request with that method.

    >>> headers = {"Transfer-Encoding": "chunked", "Content-Length": "5"}
    >>> framing_of(urllib3.HTTPResponse(headers=headers), method="GET").value
    'last_chunk'
    """
    if method == "HEAD" or response.status in NO_BODY_STATUSES:
        return Framing.NO_BODY
    header_values = response.headers.getlist
    codings = [value.strip().lower() for value in header_values("Transfer-Encoding")]
    if codings:
        return Framing.LAST_CHUNK if codings == ["chunked"] else Framing.INVALID
    lengths = {value.strip() for value in header_values("Content-Length")}
    if not lengths:
        return Framing.CONNECTION_END
    if len(lengths) == 1 and all(each.isascii() and each.isdigit() for each in lengths):
        return Framing.LENGTH
    return Framing.INVALID


class StrictResponse(http.client.HTTPResponse):
    """A response whose chunks count only if their sizes came whole.

    The base class takes the "0" of a size "0a0" that was cut off for the last chunk.
    A body of which nearly all is framing is malformed.
    After the last chunk nothing is missing, so trailers may break off (`trailer_lost`).
    """

    trailer_lost = False
    _framing_bytes = 0
    _content_bytes = 0

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(CHUNK_LINE_BYTES_MAX)
        size = line.partition(b";")[0].strip().decode("latin-1")
        if not line.endswith(b"\n") or not size or size.strip(string.hexdigits):
            self._close_conn()
            # The caller turns it into IncompleteRead.
            raise ValueError("truncated or malformed chunk size")
        self.check_framing(len(line) + CHUNK_END_BYTES, int(size, 16))
        return int(size, 16)

    def check_framing(self, line_bytes: int, content_bytes: int) -> None:
        """Count chunks' framing and content; raise ValueError on too much framing."""
        self._framing_bytes += line_bytes
        allowed_bytes = (
            CHUNK_FRAMING_BYTES_MAX + CHUNK_FRAMING_RATIO_MAX * self._content_bytes
        )
        self._content_bytes += content_bytes
        if self._framing_bytes > allowed_bytes:
            raise ValueError("much more framing than content")

    def _read_and_discard_trailer(self) -> None:
        try:
            super()._read_and_discard_trailer()
        except (OSError, http.client.HTTPException):
            self.trailer_lost = True
