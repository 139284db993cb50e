"""Sending a request as a caller, and sending it again only where that is safe.

A request with a key is sent again under the same key, declared as a re-send, so
that the system finds the first attempt in place of running a second one. What
has been given out of a broken answer is not given out twice.
"""

import hashlib
import json
import uuid
from collections.abc import Callable, Iterator
from functools import singledispatch

import attrs
import urllib3

from lavenderspoke.callerheaders import (
    AUTHORIZATION,
    DEADLINE,
    IDEMPOTENT,
    KEY,
    REQUEST_ID,
    SENDING,
    TIER,
)
from lavenderspoke.gateway import Sending
from lavenderspoke.http.problempage import CONTENT_TYPE, ERROR_EVENT_START, TYPE_PREFIX
from lavenderspoke.model import Ran

CONNECT_TIMEOUT_S = 5.0
READ_MARGIN_S = 10.0
READ_BYTES = 64 * 1024
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 10.0


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request to send; `credential` stays out of its printed form.

    `first_send` is True where the key was made for this request, and None
    where an earlier send may have used it.
    """

    url: str
    method: str = "POST"
    body: bytes = b""
    content_type: str = "application/json"
    credential: str = attrs.field(repr=False)
    tier: str | None = None
    deadline_s: float = 300.0
    key: str | None = None
    first_send: bool | None = None
    idempotent: bool = True


@attrs.frozen(kw_only=True)
class Answered:
    """The whole answer came; its status is the upstream's."""

    status: int
    request_id: str


@attrs.frozen(kw_only=True)
class Refused:
    """The system refused the request; `ran` says whether it ran all the same."""

    status: int
    reason: str
    ran: Ran
    detail: str
    retry_after_s: float | None


@attrs.frozen(kw_only=True)
class Unreached:
    """No connection was made, so the request did not run."""

    detail: str


@attrs.frozen(kw_only=True)
class Broken:
    """The connection ended before the answer did; the request may have run.

    `differs` says that a re-sent answer didn't begin as the first one did.
    """

    detail: str
    differs: bool = False


Outcome = Answered | Refused | Unreached | Broken


def new_key() -> str:
    """Return a key that nobody has used."""
    return uuid.uuid4().hex


@singledispatch
def retry_delay_s(
    outcome: Outcome, request: OutgoingRequest, *, tries: int, given_bytes: int
) -> float | None:
    """Return how long to wait before sending again; None when that's not safe.

    `tries` is how often the request has been sent, `given_bytes` how much of an
    answer has been given out.
    """
    raise TypeError(f"{outcome!r} is no outcome")


@retry_delay_s.register
def _(outcome: Answered, request, *, tries, given_bytes) -> None:
    return None


@retry_delay_s.register
def _(outcome: Refused, request, *, tries, given_bytes) -> float | None:
    # Without Retry-After coming back makes no sense, and coming back earlier
    # than told makes an overload worse.
    if outcome.retry_after_s is None or outcome.ran is Ran.YES:
        return None
    if outcome.ran is Ran.UNKNOWN and not _may_repeat(request):
        return None
    return outcome.retry_after_s


@retry_delay_s.register
def _(outcome: Unreached, request, *, tries, given_bytes) -> float:
    return _backoff_s(tries)


@retry_delay_s.register
def _(outcome: Broken, request, *, tries, given_bytes) -> float | None:
    # Without a key the second run is another answer, which can't be joined to
    # the half that has been given out.
    if outcome.differs or not _may_repeat(request):
        return None
    if given_bytes and request.key is None:
        return None
    return _backoff_s(tries)


def _may_repeat(request: OutgoingRequest) -> bool:
    return request.idempotent or request.key is not None


def _backoff_s(tries: int) -> float:
    return min(BACKOFF_MIN_S * 2 ** (tries - 1), BACKOFF_MAX_S)


class _Given:
    """What has been given out of the answer, over all tries."""

    def __init__(self, output: Callable[[bytes], None]):
        self.size_bytes = 0
        self._output = output
        self._digest = hashlib.sha256()
        self._again = hashlib.sha256()
        self._again_bytes = 0

    def begin(self) -> None:
        """Begin the answer again from its first byte."""
        self._again = hashlib.sha256()
        self._again_bytes = 0

    def take(self, data: bytes) -> bool:
        """Give out what is new; return False when the known part differs."""
        known = data[: self.size_bytes - self._again_bytes]
        self._again.update(known)
        self._again_bytes += len(known)
        new = data[len(known) :]
        if not new:
            return True
        if self._again.digest() != self._digest.digest():
            return False
        for digest in (self._digest, self._again):
            digest.update(new)
        self.size_bytes += len(new)
        self._again_bytes += len(new)
        self._output(new)
        return True

    def complete(self) -> bool:
        """Return whether all that was given out has come again, and alike."""
        return self._again.digest() == self._digest.digest()


class Sender:
    """A sender of requests; `wait` and `http` are passed in for tests.

    `output` gets the answer's body as it comes, `on_retry` each outcome that
    leads to another try and the seconds until then.
    """

    def __init__(
        self,
        *,
        output: Callable[[bytes], None],
        wait: Callable[[float], None],
        on_retry: Callable[[Outcome, float], None] = lambda outcome, delay_s: None,
        http: urllib3.PoolManager | None = None,
    ):
        self._output = output
        self._wait = wait
        self._on_retry = on_retry
        self._http = http or urllib3.PoolManager(retries=False)

    def send(self, request: OutgoingRequest, *, retries: int = 0) -> Outcome:
        """Send a request, again up to `retries` times where that is safe."""
        given = _Given(self._output)
        tries = 0
        while True:
            outcome = self._try(request, tries > 0, given)
            tries += 1
            delay_s = retry_delay_s(
                outcome, request, tries=tries, given_bytes=given.size_bytes
            )
            if delay_s is None or tries > retries:
                return outcome
            self._on_retry(outcome, delay_s)
            self._wait(delay_s)

    def _try(self, request: OutgoingRequest, again: bool, given: _Given) -> Outcome:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=request.deadline_s + READ_MARGIN_S
        )
        try:
            response = self._http.request(
                request.method,
                request.url,
                body=request.body,
                headers=_headers(request, again),
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Unreached(detail=str(error))
        except urllib3.exceptions.HTTPError as error:
            return Broken(detail=str(error))
        try:
            return self._read(response, given)
        except urllib3.exceptions.HTTPError as error:
            return Broken(detail=str(error))
        finally:
            response.close()

    def _read(self, response: urllib3.BaseHTTPResponse, given: _Given) -> Outcome:
        if response.headers.get("Content-Type") == CONTENT_TYPE:
            body = response.read()
            refused = _refusal(response, body)
            if refused is not None:
                return refused
            chunks = iter((body,))
        else:
            chunks = _until_error_event(response)
        given.begin()
        for chunk in chunks:
            if not given.take(chunk):
                return Broken(detail="the answer came otherwise again", differs=True)
        if not given.complete():
            return Broken(detail="the answer came shorter again", differs=True)
        request_id = response.headers.get(REQUEST_ID, "")
        return Answered(status=response.status, request_id=request_id)


def _until_error_event(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the answer's parts; raise at the event that says that it broke.

    That event is no part of the answer, and a re-sent one won't have it.
    """
    for chunk in response.stream(READ_BYTES):
        if chunk.startswith(ERROR_EVENT_START):
            text = chunk.removeprefix(ERROR_EVENT_START).decode(errors="replace")
            raise urllib3.exceptions.ProtocolError(text.strip())
        yield chunk


def _headers(request: OutgoingRequest, again: bool) -> dict[str, str]:
    headers = {
        AUTHORIZATION: f"Bearer {request.credential}",
        DEADLINE: f"{request.deadline_s:g}",
        "content-type": request.content_type,
    }
    if request.tier is not None:
        headers[TIER] = request.tier
    if not request.idempotent:
        headers[IDEMPOTENT] = "false"
    if request.key is not None:
        headers[KEY] = request.key
        if again:
            headers[SENDING] = Sending.RESEND.value
        elif request.first_send:
            headers[SENDING] = Sending.FIRST.value
    return headers


def _refusal(response: urllib3.BaseHTTPResponse, body: bytes) -> Refused | None:
    """Return the refusal in a problem page, unless the page is the upstream's."""
    try:
        page = json.loads(body)
        if not page["type"].startswith(TYPE_PREFIX):
            return None
        retry_after = response.headers.get("Retry-After")
        return Refused(
            status=response.status,
            reason=page["reason"],
            ran=Ran(page["ran"]),
            detail=page["detail"],
            retry_after_s=None if retry_after is None else float(retry_after),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
