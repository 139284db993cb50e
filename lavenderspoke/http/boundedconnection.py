"""Connections of urllib3's pools whose responses end in time."""

import functools
import math

import urllib3

from lavenderspoke.http.boundedresponse import BoundedResponse, ProcessClock, ReadBounds

# Time for a whole response beyond the read timeout, in seconds: long ones come slowly
# over narrow links.
WHOLE_EXTRA_S = 2.0


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection whose responses end soon after the read timeout.

    That bounds each silence, and with `WHOLE_EXTRA_S` the time from the moment at which
    the request has been sent.
    """

    def getresponse(self):
        bounds = ReadBounds(clock=ProcessClock(), ends_s=math.inf)
        # The pool has set the request's read timeout; it is None without one.
        if self.timeout is not None:
            bounds.silence_s = self.timeout
            bounds.expect_within(self.timeout + WHOLE_EXTRA_S)
        self.response_class = functools.partial(BoundedResponse, bounds=bounds)
        return super().getresponse()


def bound_silences_only(response: urllib3.BaseHTTPResponse) -> None:
    """Don't bound a response's whole time from here on.

    For answers that may last for minutes, whose reader has an end of its own.
    """
    original = response._original_response
    if isinstance(original, BoundedResponse):
        original.bounds.expect_within(math.inf)
