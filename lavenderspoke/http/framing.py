"""What ends the body of a response, and so can prove that it is whole.

The rules are those of RFC 9112, section 6.3.
"""

import enum
from collections.abc import Callable, Sequence

HeaderValues = Callable[[str], Sequence[str]]
"""Returns the values of all headers with that name."""

NO_BODY_STATUSES = frozenset((204, 304))


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


def framing_of(*, method: str, status: int, header_values: HeaderValues) -> Framing:
    """Return what ends the body of a response.

    >>> headers = {"Transfer-Encoding": ["chunked"], "Content-Length": ["5"]}
    >>> framing_of(method="GET", status=200, header_values=headers.__getitem__).value
    'last_chunk'
    """
    if method == "HEAD" or status in NO_BODY_STATUSES:
        return Framing.NO_BODY
    codings = [value.strip().lower() for value in header_values("Transfer-Encoding")]
    if codings:
        return Framing.LAST_CHUNK if codings == ["chunked"] else Framing.INVALID
    lengths = {value.strip() for value in header_values("Content-Length")}
    if not lengths:
        return Framing.CONNECTION_END
    if len(lengths) == 1 and all(each.isascii() and each.isdigit() for each in lengths):
        return Framing.LENGTH
    return Framing.INVALID
