"""Answers of a stand-in upstream that turn requests away, and what they say.

Only an answer that is marked as not executed, or a misdirected one, says that its
request has not run. An upstream in trouble may refuse without saying so, before or
after it has run the request, name another request or none, and send an answer again
where the next one is expected.
"""

import threading
import time

import attrs

from standins import copies
from standins.copies import Copies
from standins.server import Request
from standins.signals import SignalFaults

ID = "X-Attempt-Id"
NOT_EXECUTED = "X-Not-Executed"
SIGNATURE = "X-Response-Signature"
MISDIRECTED_STATUS = 421
# What an answer may say of its request.
SAYS_NOT_EXECUTED = "not executed"
SAYS_ID = "id"
SAYS_OTHER_ID = "other id"
SAYS_SIGNATURE = "signature"
OTHER_ID = "of-another-request"


@attrs.frozen(kw_only=True)
class RefusalFaults(SignalFaults):
    """How a stand-in refuses requests.

    It answers one of `refuses_each` with the status `refuses`, 0 for none, and the
    headers that `refusal_says` lists, separated by commas. If it `refuses_after_run`,
    it has run the request by then. Each refusal is sent again `copied_after_s` later on
    its connection, if that is positive; so is each whole answer if it `copies_answers`.
    One of `loses_each` answers is lost after its run, before its first byte: the
    connection is closed or reset, as `loses` says: "close" or "reset".
    """

    refuses: int = 0
    refuses_each: int = 1
    refusal_says: str = "not executed, id"
    refuses_after_run: bool = False
    copied_after_s: float = 0.0
    copies_answers: bool = False
    loses: str = ""
    loses_each: int = 1


@attrs.frozen(kw_only=True)
class Refusal:
    """An answer that turned a request away, at a steady time.

    It `has_run` the request, or not; it `is_marked` as not executed or misdirected, and
    `is_named` if it has the request's id. It `is_alone` unless copies of answers were
    sent, of which one may have been taken for it.
    """

    attempt_id: str
    at_s: float
    status: int
    has_run: bool
    is_marked: bool
    is_named: bool
    is_signed: bool
    is_alone: bool


class Refusals:
    """Refuses requests, and keeps what was refused and what it said."""

    def __init__(self, copied: Copies):
        self._copied = copied
        self._lock = threading.Lock()
        self._counts = {"refuses": 0, "loses": 0}
        self._refusals: list[Refusal] = []

    def is_due(self, faults: RefusalFaults) -> bool:
        """Return whether the request that has come now is refused."""
        return bool(faults.refuses) and self._counted("refuses", faults.refuses_each)

    def is_lost(self, faults: RefusalFaults) -> bool:
        """Return whether the answer that would be sent now is lost."""
        return bool(faults.loses) and self._counted("loses", faults.loses_each)

    def _counted(self, name: str, each: int) -> bool:
        with self._lock:
            self._counts[name] += 1
            return self._counts[name] % each == 0

    def answer(self, request: Request, attempt_id: str, faults: RefusalFaults) -> None:
        """Refuse a request, and send the refusal again if that is wanted."""
        says = {each.strip() for each in faults.refusal_says.split(",")}
        refusal = Refusal(
            attempt_id=attempt_id,
            at_s=time.monotonic(),
            status=faults.refuses,
            has_run=faults.refuses_after_run,
            is_marked=SAYS_NOT_EXECUTED in says or faults.refuses == MISDIRECTED_STATUS,
            is_named=SAYS_ID in says,
            is_signed=SAYS_SIGNATURE in says,
            is_alone=faults.copied_after_s <= 0.0,
        )
        with self._lock:
            self._refusals.append(refusal)
        http = request.http
        http.status = f"{faults.refuses} Refused".encode()
        headers = _headers(attempt_id, says)
        http.outheaders = [(b"Content-Length", b"0")]
        http.outheaders += [(name.encode(), value.encode()) for name, value in headers]
        with self._copied.writing(request):
            http.ensure_headers_sent()
        if faults.copied_after_s > 0.0:
            copy = copies.whole(faults.refuses, headers, reason="Refused")
            self._copied.send_later(request, copy, faults.copied_after_s)

    def report(self) -> list[dict]:
        """Return all refusals as plain data."""
        with self._lock:
            return [attrs.asdict(each) for each in self._refusals]

    def unproven(self) -> list[dict]:
        """Return those of requests that didn't run which don't say so."""
        return [
            each for each in self.report() if not each["is_marked"] | each["has_run"]
        ]


def _headers(attempt_id: str, says: set[str]) -> list[tuple[str, str]]:
    headers = []
    if SAYS_NOT_EXECUTED in says:
        headers.append((NOT_EXECUTED, "1"))
    if SAYS_ID in says:
        headers.append((ID, attempt_id))
    if SAYS_OTHER_ID in says:
        headers.append((ID, OTHER_ID))
    if SAYS_SIGNATURE in says:
        headers.append((SIGNATURE, f"signed.{attempt_id}"))
    return headers
