"""Answers of a stand-in upstream that turn requests away, and what they say.

Only an answer that is marked as not executed, or a misdirected one, says that its
request has not run. An upstream in trouble may refuse without saying so, before or
after it has run the request, name another request or none, and send an answer again
where the next one is expected.
"""

import threading
import time
from collections.abc import Callable

import attrs

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
    its connection, if that is positive.
    """

    refuses: int = 0
    refuses_each: int = 1
    refusal_says: str = "not executed, id"
    refuses_after_run: bool = False
    copied_after_s: float = 0.0


@attrs.frozen(kw_only=True)
class Unproven:
    """An answer that doesn't say whether its request ran, at a steady time."""

    attempt_id: str
    at_s: float
    status: int


class Refusals:
    """Refuses requests, and keeps what was refused without a proof."""

    def __init__(self):
        self._lock = threading.Lock()
        self._count = 0
        self._unproven: list[Unproven] = []

    def is_due(self, faults: RefusalFaults) -> bool:
        """Return whether the request that has come now is refused."""
        if not faults.refuses:
            return False
        with self._lock:
            self._count += 1
            return self._count % faults.refuses_each == 0

    def answer(self, request: Request, attempt_id: str, faults: RefusalFaults) -> None:
        """Refuse a request, and send the refusal again if that is wanted."""
        says = {each.strip() for each in faults.refusal_says.split(",")}
        is_proved = SAYS_NOT_EXECUTED in says or faults.refuses == MISDIRECTED_STATUS
        if not is_proved and not faults.refuses_after_run:
            unproven = Unproven(
                attempt_id=attempt_id, at_s=time.monotonic(), status=faults.refuses
            )
            with self._lock:
                self._unproven.append(unproven)
        http = request.http
        http.status = f"{faults.refuses} Refused".encode()
        headers = _headers(attempt_id, says)
        http.outheaders = [(name.encode(), value.encode()) for name, value in headers]
        http.ensure_headers_sent()
        if faults.copied_after_s > 0.0:
            copy = _head(faults.refuses, headers)
            _send_later(http.conn.socket.sendall, copy, faults.copied_after_s)

    def report(self) -> list[dict]:
        """Return the unproven answers as plain data."""
        with self._lock:
            return [attrs.asdict(each) for each in self._unproven]


def _headers(attempt_id: str, says: set[str]) -> list[tuple[str, str]]:
    headers = [("Content-Length", "0")]
    if SAYS_NOT_EXECUTED in says:
        headers.append((NOT_EXECUTED, "1"))
    if SAYS_ID in says:
        headers.append((ID, attempt_id))
    if SAYS_OTHER_ID in says:
        headers.append((ID, OTHER_ID))
    if SAYS_SIGNATURE in says:
        headers.append((SIGNATURE, f"signed.{attempt_id}"))
    return headers


def _head(status: int, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} Refused"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode()


def _send_later(send: Callable[[bytes], None], data: bytes, after_s: float) -> None:
    def run() -> None:
        try:
            send(data)
        except OSError:
            # Its caller has closed the connection.
            pass

    timer = threading.Timer(after_s, run)
    timer.daemon = True
    timer.start()
