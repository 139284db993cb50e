"""HTTP requests whose failures say whether the request can have been read.

Nothing here retries or follows a redirect: an upstream that runs a request
twice, or a log that holds a record twice, is worse than an error.
"""

from collections.abc import Mapping

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from lavenderspoke.http.boundedconnection import BoundedConnection, bound_silences_only
from lavenderspoke.http.framing import INVALID_DETAIL, Framing, framing_of

ANSWER_BYTES_MAX = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024


@attrs.frozen(kw_only=True)
class NotSent:
    """No connection was made, so no byte of the request has left.

    If it was refused (`is_refused`), no process listens at the address.
    """

    detail: str
    is_refused: bool = False


@attrs.frozen(kw_only=True)
class AnswerLost:
    """The request may have been read; its answer didn't come whole."""

    detail: str


@attrs.frozen(kw_only=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


class _Http10Connection(BoundedConnection):
    """Asks for HTTP/1.0, so that the answer comes without chunks."""

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class HttpClient:
    """Speaks to one server, by pooled connections, from many threads.

    Paths are sent as they are given: a path such as `/a/../b` isn't rewritten, and
    one that doesn't begin with a slash can't lead to another server. With
    `http10` no answer is chunked, and each request has a connection of its own.
    """

    def __init__(self, *, base_url: str, connections: int = 16, http10: bool = False):
        self._pool = urllib3.connection_from_url(
            base_url, maxsize=connections, block=False
        )
        if self._pool.scheme == "http":
            self._pool.ConnectionCls = (
                _Http10Connection if http10 else BoundedConnection
            )
        self._prefix = (urllib3.util.parse_url(base_url).path or "").rstrip("/")

    def open(
        self,
        *,
        method: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[urllib3.BaseHTTPResponse, NotSent | AnswerLost]:
        """Send a request and return its answer with the body still to be read.

        `timeout_s` bounds each silence of the other side, but not the whole body.
        """
        opened = self._open(method, path, timeout_s, headers, body)
        if isinstance(opened, Ok):
            bound_silences_only(opened.ok_value)
        return opened

    def fetch(
        self,
        *,
        method: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[Reply, NotSent | AnswerLost]:
        """Send a request and return its whole answer.

        It must come soon after `timeout_s`, as `BoundedConnection` says. An answer
        longer than `ANSWER_BYTES_MAX` counts as lost.
        """
        return self._open(method, path, timeout_s, headers, body).and_then(
            lambda response: _read_whole(response, method)
        )

    def _open(
        self,
        method: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None,
        body: bytes | None,
    ) -> Result[urllib3.BaseHTTPResponse, NotSent | AnswerLost]:
        timeout = urllib3.Timeout(
            connect=min(timeout_s, CONNECT_TIMEOUT_S), read=timeout_s
        )
        try:
            response = self._pool.urlopen(
                method,
                self._prefix + path,
                headers=headers or {},
                body=body,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Err(NotSent(detail=str(error), is_refused=is_refused))
        # ValueError and OSError: urllib3 lets some through, such as a status line
        # that isn't one; by then the request has been sent.
        except (HTTPError, OSError, ValueError) as error:
            return Err(_lost(error))
        return Ok(response)


def _read_whole(
    response: urllib3.BaseHTTPResponse, method: str
) -> Result[Reply, AnswerLost]:
    if framing_of(response, method=method) is Framing.INVALID:
        release(response, whole=False)
        return Err(AnswerLost(detail=INVALID_DETAIL))
    whole = False
    try:
        body = response.read(ANSWER_BYTES_MAX + 1)
        whole = len(body) <= ANSWER_BYTES_MAX
    except (HTTPError, OSError, ValueError) as error:
        return Err(_lost(error))
    finally:
        release(response, whole=whole)
    if not whole:
        return Err(AnswerLost(detail="answer too long"))
    return Ok(Reply(status=response.status, body=body))


def release(response: urllib3.BaseHTTPResponse, *, whole: bool) -> None:
    """Keep the connection for another request if its answer was read whole."""
    if whole:
        response.release_conn()
    else:
        response.close()


def _lost(error: Exception) -> AnswerLost:
    return AnswerLost(detail=f"{type(error).__name__}: {error}")
