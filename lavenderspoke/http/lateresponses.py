"""Skips late responses to earlier requests on the same connection.

A faulty server may send a response again, where the next one is expected. The response
to the request itself follows, unless the late one is malformed or ends the connection.
"""

import functools
import http.client
from collections import OrderedDict
from collections.abc import Callable, Mapping

import urllib3

from lavenderspoke.http.boundedresponse import BoundedResponse, ReadBounds
from lavenderspoke.http.framing import Framing, StrictResponse, framing_of
from lavenderspoke.http.hopbyhop import Headers

# The most late responses before the expected one, and their bytes at most, each.
LATE_RESPONSES_MAX = 4
LATE_BYTES_MAX = 256 * 1024
# How many requests of a connection are remembered.
NAMES_MAX = 32
READ_BYTES_MAX = 64 * 1024
HEAD = "HEAD"
# A body whose end is told by the closed connection isn't followed by anything.
SKIPPED_FRAMING = (Framing.NO_BODY, Framing.LENGTH, Framing.LAST_CHUNK)

NameOf = Callable[[Headers], str]
"""Returns the name of the request that headers belong to, empty if they tell none."""


OnLate = Callable[[str], None]
"""Called with the status of each late response that was skipped, such as "503"."""


def ignored(status: str) -> None:
    """Do nothing about a late response."""


def unnamed(headers: Headers) -> str:
    """Return no name: these requests have none."""
    return ""


class SentRequests:
    """The newest requests that were sent on one connection, by their names."""

    def __init__(self):
        self._methods: OrderedDict[str, str] = OrderedDict()

    def expect(
        self,
        *,
        method: str,
        headers: Mapping[str, str],
        name_of: NameOf,
        on_late: OnLate = ignored,
    ) -> Callable[..., "ExpectedResponse"]:
        """Note a request that is about to be sent; return the class of its response."""
        name = name_of(tuple(headers.items()))
        # A request with the same name can't be told from this one.
        self._methods.pop(name, None)
        earlier = dict(self._methods)
        if name:
            self._methods[name] = method
        if len(self._methods) > NAMES_MAX:
            self._methods.popitem(last=False)
        return functools.partial(
            ExpectedResponse, earlier=earlier, name_of=name_of, on_late=on_late
        )


class ExpectedResponse(BoundedResponse):
    """The response to a request, before which late ones are read and discarded.

    `earlier` are the methods of the requests before it by their names. Late responses
    are read within the same bounds as the expected one.
    """

    def __init__(
        self,
        *args,
        bounds: ReadBounds,
        earlier: Mapping[str, str],
        name_of: NameOf,
        on_late: OnLate,
        **kwargs,
    ):
        super().__init__(*args, bounds=bounds, **kwargs)
        self._earlier = earlier
        self._name_of = name_of
        self._on_late = on_late
        self._is_skipping = False

    def begin(self) -> None:
        super().begin()
        for _ in range(LATE_RESPONSES_MAX):
            if not self._is_late():
                return
            status = str(self.status)
            self._skip()
            self._on_late(status)
            super().begin()

    def _is_late(self) -> bool:
        headers = tuple(self.headers.items())
        method = self._earlier.get(self._name_of(headers))
        # The method tells whether the late response has a body.
        if method is None or (method == HEAD) != (self._method == HEAD):
            return False
        response = urllib3.HTTPResponse(headers=headers, status=self.status)
        framing = framing_of(response, method=method)
        return not self.will_close and framing in SKIPPED_FRAMING

    def _skip(self) -> None:
        self.bounds.limit_bytes(LATE_BYTES_MAX)
        self._is_skipping = True
        while self.read1(READ_BYTES_MAX):
            pass
        self._is_skipping = False
        if self.length or self.trailer_lost:
            raise http.client.HTTPException("a late response broke off")
        # The base class reads a head only while there is none.
        self.headers = self.msg = None
        self._framing_bytes = self._content_bytes = 0

    def _read_and_discard_trailer(self) -> None:
        if self._is_skipping:
            # The shorter bounds of trailers would remain for the expected response.
            StrictResponse._read_and_discard_trailer(self)
        else:
            super()._read_and_discard_trailer()

    def _close_conn(self):
        if not self._is_skipping:
            super()._close_conn()
