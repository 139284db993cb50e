"""HTTP requests whose failures say whether the request can have been read.

Nothing here retries or follows a redirect: an upstream that runs a request
twice, or a log that holds a record twice, is worse than an error.
"""

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

ANSWER_BYTES_MAX = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024


@attrs.frozen(kw_only=True)
class NotSent:
    """No connection was made, so no byte of the request has left."""

    detail: str


@attrs.frozen(kw_only=True)
class AnswerLost:
    """The request may have been read; its answer didn't come whole."""

    detail: str


@attrs.frozen(kw_only=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


def new_pool(*, connections: int = 16) -> urllib3.PoolManager:
    """Return a pool that many threads may use; it keeps so many connections."""
    return urllib3.PoolManager(
        maxsize=connections, block=False, retries=False, num_pools=8
    )


def open_response(
    pool: urllib3.PoolManager,
    *,
    method: str,
    url: str,
    timeout_s: float,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> Result[urllib3.BaseHTTPResponse, NotSent | AnswerLost]:
    """Send a request and return its answer with the body still to be read.

    `timeout_s` bounds each silence of the other side, not the whole answer.
    """
    timeout = urllib3.Timeout(connect=min(timeout_s, CONNECT_TIMEOUT_S), read=timeout_s)
    try:
        return Ok(
            pool.request(
                method,
                url,
                headers=headers or {},
                body=body,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        )
    except (NewConnectionError, ConnectTimeoutError) as error:
        return Err(NotSent(detail=str(error)))
    # ValueError and OSError: urllib3 lets some through, such as a status line
    # that isn't one; by then the request has been sent.
    except (HTTPError, OSError, ValueError) as error:
        return Err(AnswerLost(detail=f"{type(error).__name__}: {error}"))


def fetch(pool: urllib3.PoolManager, **request) -> Result[Reply, NotSent | AnswerLost]:
    """Send a request and return its whole answer.

    Takes the arguments of `open_response`. An answer longer than
    `ANSWER_BYTES_MAX` counts as lost.
    """
    opened = open_response(pool, **request)
    if isinstance(opened, Err):
        return opened
    response = opened.ok_value
    whole = False
    try:
        body = response.read(ANSWER_BYTES_MAX + 1)
        whole = len(body) <= ANSWER_BYTES_MAX
    except (HTTPError, OSError, ValueError) as error:
        return Err(AnswerLost(detail=f"{type(error).__name__}: {error}"))
    finally:
        if whole:
            response.release_conn()
        else:
            response.close()
    if not whole:
        return Err(AnswerLost(detail="answer too long"))
    return Ok(Reply(status=response.status, body=body))
