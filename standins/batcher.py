"""The engine stand-in's continuous batching.

One thread steps: it admits runs in order of arrival, gives the prefill budget
to those that still read their prompt, and one token to each of the others, which
it writes to the callers' sockets without blocking. So hundreds of streams
cost one thread and one write for each token.
"""

import hashlib
import os
import threading
import time
from collections import OrderedDict, deque

import attrs

from standins.prefixcache import PrefixCache

KEPT_RUNS = 2000
CRASH_STATUS = 9
DONE = b"data: [DONE]\n\n"


def answer_token(prompt: str, number: int) -> str:
    """Return the token of that number in the answer to a prompt."""
    return f"{hashlib.sha256(prompt.encode()).hexdigest()[:6]}-{number}"


def answer_text(prompt: str, tokens: int) -> str:
    """Return the whole answer, so that a test can know it beforehand.

    >>> answer_text("a", 2)
    'ca9781-0 ca9781-1 '
    """
    return "".join(f"{answer_token(prompt, number)} " for number in range(tokens))


@attrs.define(kw_only=True, eq=False)
class Listener:
    """A caller's socket, and how many events it has been written.

    With `cut_after_events` the connection is to be cut at that event.
    """

    fd: int
    chunked: bool
    position: int = 0
    cut_after_events: int = -1
    cut: bool = False
    unsent: bytes = b""
    done: threading.Event = attrs.field(factory=threading.Event)


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of one request; `events` are those of its event stream."""

    request_id: str
    prompt: str
    prompt_tokens: int
    block_hashes: list[str]
    max_tokens: int
    stream: bool
    event_format: str
    end_after_events: int = -1
    crashes: bool = False
    prefill_left: int = 0
    tokens: int = 0
    tokens_read: int = 0
    events: list[bytes] = attrs.field(factory=list)
    listeners: list[Listener] = attrs.field(factory=list)
    cancelled: bool = False
    finished: threading.Event = attrs.field(factory=threading.Event)

    def add_event(self, data: bytes) -> None:
        """Add an event with the next id."""
        self.events.append(b"id: %d\n%s" % (len(self.events), data))

    def add_token(self) -> None:
        """Add the next token, with its event when the answer is streamed."""
        last = self.tokens + 1 == self.max_tokens
        if self.stream:
            text = f"{answer_token(self.prompt, self.tokens)} "
            reason = '"length"' if last else "null"
            self.add_event((self.event_format % (text, reason)).encode())
        self.tokens += 1
        if last and self.stream:
            self.add_event(DONE)


@attrs.define(kw_only=True)
class Totals:
    """What the engine computed, and how much of it was read."""

    prefill_computed: int = 0
    prefill_reused: int = 0
    tokens_generated: int = 0
    tokens_read: int = 0
    runs_cancelled: int = 0


class Batcher:
    """Runs what is submitted, `slots` at a time."""

    def __init__(
        self,
        *,
        slots: int,
        step_s: float,
        prefill_per_step: int,
        cache_blocks: int,
        block_tokens: int,
        step_s_per_run: float = 0.0,
    ):
        self.cache = PrefixCache(blocks_max=cache_blocks)
        self.totals = Totals()
        self._step_s = step_s
        self._step_s_per_run = step_s_per_run
        self.speed = 1.0
        self.frozen = False
        self._slots = slots
        self._block_tokens = block_tokens
        self._prefill_per_step = prefill_per_step
        self._waiting: deque[Run] = deque()
        self._running: list[Run] = []
        self._runs: OrderedDict[str, Run] = OrderedDict()
        self._changed = threading.Condition()
        self._loads: deque[tuple[float, int, int]] = deque(maxlen=5000)
        self._loads.append((0.0, 0, 0))
        threading.Thread(target=self._loop, daemon=True).start()

    def submit(self, run: Run, listener: Listener | None = None) -> None:
        """Queue a run; a request id that is already known runs again."""
        with self._changed:
            if listener:
                run.listeners.append(listener)
            self._waiting.append(run)
            self._runs[run.request_id] = run
            self._runs.move_to_end(run.request_id)
            while len(self._runs) > KEPT_RUNS:
                self._runs.popitem(last=False)
            self._note_load()
            self._changed.notify()

    def find(self, request_id: str) -> Run | None:
        """Return the newest run of that id, if it is still known."""
        with self._changed:
            return self._runs.get(request_id)

    def listen(self, run: Run, listener: Listener) -> None:
        """Attach one more caller to a run."""
        with self._changed:
            run.listeners.append(listener)
            self._write(run)

    def cancel(self, run: Run) -> None:
        """Stop a run; its streams end without their last event."""
        with self._changed:
            if run.finished.is_set():
                return
            run.cancelled = True
            self.totals.runs_cancelled += 1
            if run in self._waiting:
                self._waiting.remove(run)
            else:
                self._running.remove(run)
            self._finish(run)
            self._note_load()

    def read_whole(self, run: Run) -> None:
        """Note that a caller has read a whole answer that wasn't streamed."""
        with self._changed:
            self._note_read(run, run.tokens)

    def step_s(self) -> float:
        """Return how long a step takes with the runs there are now."""
        batch_s = self._step_s_per_run * len(self._running)
        return (self._step_s + batch_s) / self.speed

    def load(self, lag_s: float) -> tuple[float, int, int]:
        """Return when, how many ran and how many waited, that long ago."""
        seen_s = time.monotonic() - lag_s
        with self._changed:
            past = [each for each in self._loads if each[0] <= seen_s]
            return past[-1] if past else self._loads[0]

    def _note_read(self, run: Run, tokens: int) -> None:
        newly_read = min(tokens, run.tokens) - run.tokens_read
        if newly_read > 0:
            run.tokens_read += newly_read
            self.totals.tokens_read += newly_read

    def _note_load(self) -> None:
        load = (time.monotonic(), len(self._running), len(self._waiting))
        if load[1:] != self._loads[-1][1:]:
            self._loads.append(load)

    def _loop(self) -> None:
        next_s = time.monotonic()
        while True:
            with self._changed:
                idle = not (self._waiting or self._running)
                if idle:
                    self._changed.wait()
                    next_s = time.monotonic()
                if not self.frozen:
                    self._step()
            next_s = max(next_s + self.step_s(), time.monotonic())
            time.sleep(max(0.0, next_s - time.monotonic()))

    def _step(self) -> None:
        self._admit()
        budget = self._prefill_per_step
        finished = []
        for run in self._running:
            if run.prefill_left:
                budget -= self._prefill(run, budget)
                continue
            run.add_token()
            self.totals.tokens_generated += 1
            if self._complete(run):
                finished.append(run)
            elif run.listeners:
                self._write(run)
        for run in finished:
            self._running.remove(run)
            self._finish(run)
        self._note_load()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            run = self._waiting.popleft()
            if run.crashes:
                os._exit(CRASH_STATUS)
            reused = self.cache.leading(run.block_hashes)
            run.prefill_left = run.prompt_tokens - reused * self._block_tokens
            self.totals.prefill_reused += run.prompt_tokens - run.prefill_left
            self._running.append(run)

    def _prefill(self, run: Run, budget: int) -> int:
        used = min(budget, run.prefill_left)
        run.prefill_left -= used
        self.totals.prefill_computed += used
        if run.prefill_left == 0:
            self.cache.insert(run.block_hashes)
        return used

    def _complete(self, run: Run) -> bool:
        return run.tokens >= run.max_tokens or 0 <= run.end_after_events <= run.tokens

    def _finish(self, run: Run) -> None:
        run.finished.set()
        self._write(run)

    def _write(self, run: Run) -> None:
        for listener in list(run.listeners):
            if self._write_one(run, listener):
                run.listeners.remove(listener)
                listener.done.set()

    def _write_one(self, run: Run, listener: Listener) -> bool:
        """Write what is new; return whether the listener is done with."""
        limit = len(run.events)
        if listener.cut_after_events >= 0:
            limit = min(limit, listener.cut_after_events)
        data = b"".join(run.events[listener.position : limit])
        if data and listener.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        data = listener.unsent + data
        try:
            written = os.write(listener.fd, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            return True
        listener.unsent = data[written:]
        listener.position = max(limit, listener.position)
        self._note_read(run, listener.position)
        listener.cut = limit == listener.cut_after_events
        return listener.cut or run.finished.is_set()
