"""Callers that send an arrival file and time what comes back."""

import json
import threading
import time

import attrs
import urllib3

from bench.arrivals import Planned
from standins.deployment import CREDENTIAL, streamed_tokens

PATH = "/narrative/v1/completions"
READ_BYTES = 65536
# Beyond its deadline a request is answered at once, so this is never reached
# while the system does what it promises.
TIMEOUT_S = 30.0


@attrs.frozen(kw_only=True)
class Outcome:
    """What one caller got; times are seconds since it sent."""

    planned: Planned
    status: int
    reason: str = ""
    whole: bool = False
    first_s: float | None = None
    ended_s: float = 0.0
    gaps_s: tuple[float, ...] = ()

    @property
    def good(self) -> bool:
        """Whether the answer was whole and within the deadline."""
        return self.whole and self.ended_s <= self.planned.deadline_s


class Callers:
    """Sends each planned request at its time, each on a thread of its own."""

    def __init__(self, *, urls: list[str]):
        self._urls = urls
        self._http = urllib3.PoolManager(maxsize=256, retries=False)
        self._outcomes: list[Outcome] = []
        self._lock = threading.Lock()

    def run(self, planned: list[Planned], at_half=None) -> list[Outcome]:
        """Send everything and return every outcome.

        `at_half` is called once, when half of the time has passed.
        """
        began_s = time.monotonic()
        threads = []
        half_s = planned[-1].at_s / 2
        for each in planned:
            if at_half is not None and each.at_s >= half_s:
                at_half()
                at_half = None
            time.sleep(max(0.0, began_s + each.at_s - time.monotonic()))
            thread = threading.Thread(target=self._send, args=(each,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        return self._outcomes

    def _send(self, planned: Planned) -> None:
        began_s = time.monotonic()
        try:
            outcome = self._exchange(planned, began_s)
        except urllib3.exceptions.HTTPError as error:
            outcome = Outcome(
                planned=planned,
                status=0,
                reason=type(error).__name__,
                ended_s=time.monotonic() - began_s,
            )
        with self._lock:
            self._outcomes.append(outcome)

    def _exchange(self, planned: Planned, began_s: float) -> Outcome:
        response = self._http.request(
            "POST",
            self._urls[planned.entry] + PATH,
            body=json.dumps(
                {
                    "model": "m",
                    "prompt": planned.prompt,
                    "max_tokens": planned.tokens,
                    "stream": True,
                }
            ),
            headers={
                "Authorization": f"Bearer {CREDENTIAL}",
                "Content-Type": "application/json",
                "Lavenderspoke-Tier": planned.tier,
                "Lavenderspoke-Deadline-S": f"{planned.deadline_s:g}",
            },
            timeout=TIMEOUT_S,
            preload_content=False,
        )
        body, times_s = b"", []
        for chunk in response.stream(READ_BYTES):
            body += chunk
            times_s.append(time.monotonic() - began_s)
        ended_s = time.monotonic() - began_s
        if "problem" in response.headers.get("Content-Type", ""):
            reason = json.loads(body)["reason"]
            return Outcome(
                planned=planned, status=response.status, reason=reason, ended_s=ended_s
            )
        return Outcome(
            planned=planned,
            status=response.status,
            whole=len(streamed_tokens(body)) == planned.tokens,
            first_s=times_s[0] if times_s else None,
            ended_s=ended_s,
            gaps_s=tuple(b - a for a, b in zip(times_s, times_s[1:])),
        )
