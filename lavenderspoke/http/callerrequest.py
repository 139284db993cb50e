"""A caller's request as the HTTP server received it, and how WSGI answers it."""

from collections.abc import Callable

import attrs

from lavenderspoke.http.hopbyhop import Headers
from lavenderspoke.http.server import CallerHttpRequest

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as the HTTP server received it, without its body.

    `target` is the request's path and query exactly as sent.
    """

    method: str
    target: str
    headers: Headers


def caller_request(http_request: CallerHttpRequest) -> CallerRequest:
    """Return the request as sent, with its path and query untouched."""
    return CallerRequest(
        method=http_request.method.decode("latin-1"),
        target=http_request.uri.decode("latin-1"),
        headers=tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in http_request.inheaders.items()
        ),
    )
