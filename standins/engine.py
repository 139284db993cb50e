"""A stand-in for a model engine: completions over HTTP, batched continuously.

A token is a word. It knows nothing of priorities, and on purpose runs a request
again each time its id comes. A run goes on when its caller disconnects, and
`GET /v1/runs/<id>?after=<event id>` resumes its stream. `GET /control/arrivals` tells
which requests for runs arrived.
"""

import argparse
import secrets
import time

import attrs
import cattrs

from standins import server
from standins.batcher import Batcher, Listener, Run, answer_text
from standins.counts import RunCounts
from standins.orders import Orders
from standins.prefixcache import block_hashes
from standins.server import Cut, Reply, Request, json_reply
from standins.signals import Arrivals, SignalFaults

EVENT_STREAM = "text/event-stream"
CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
RUNS_PATH = "/v1/runs/"
DEFAULT_MAX_TOKENS = 16
TEXT_EVENT = (
    'data: {"object":"text_completion","choices":[{"index":0,"text":"%s",'
    '"finish_reason":%s}]}\n\n'
)
CHAT_EVENT = (
    'data: {"object":"chat.completion.chunk","choices":[{"index":0,'
    '"delta":{"content":"%s"},"finish_reason":%s}]}\n\n'
)


@attrs.frozen(kw_only=True)
class Faults(SignalFaults):
    """What a test may set; -1 stands for "never".

    `cut_after_events` cuts a first stream but not a resumed one; 0 cuts before
    the head. `end_after_events` ends the run itself, without its last event.
    `refuse` cuts before anything is run or counted.
    """

    speed: float = 1.0
    freeze: bool = False
    refuse: bool = False
    crash_marker: str = ""
    cut_after_events: int = -1
    end_after_events: int = -1
    load_lag_s: float = 0.0
    cache_lag_s: float = 0.0
    cache_gap_every: int = 0
    checks_fencing: bool = True


class Engine:
    """Answers the engine's requests."""

    def __init__(self, *, options: argparse.Namespace):
        self._faults = server.Faults(kind=Faults, initial=options.faults)
        self._counts = RunCounts(path=options.counts_file)
        self._arrivals = Arrivals()
        self._orders = Orders()
        self._incarnation = secrets.token_hex(8)
        self._slots = options.slots
        self._cache_blocks = options.cache_blocks
        self._block_tokens = options.block_tokens
        self._batcher = Batcher(
            slots=options.slots,
            step_s=options.step_ms / 1000,
            step_s_per_run=options.step_us_per_run / 1e6,
            prefill_per_step=options.prefill_tokens_per_step,
            cache_blocks=options.cache_blocks,
            block_tokens=options.block_tokens,
        )
        self._apply_faults()

    def handle(self, request: Request) -> Reply | None:
        """Answer one request."""
        path = request.path
        if path.startswith("/control"):
            return self._control(request)
        faults = self._faults.now
        if faults.refuse:
            raise Cut
        if path in (CHAT_PATH, COMPLETIONS_PATH) or path.startswith(RUNS_PATH):
            self._arrivals.record(request.headers.get("x-request-id", ""), faults)
            if faults.retry_after:
                return self._telling(json_reply({"error": "overloaded"}, 503))
            return self._telling(self._answer(request))
        match path:
            case "/health":
                return json_reply({"status": "ok"})
            case "/load":
                return self._load()
            case "/cache/events":
                return self._cache_events(request.number("after", -1))
            case "/orders":
                return self._orders.take(request, self._faults.now.checks_fencing)
            case "/orders/state":
                return self._orders.state()
        return json_reply({"error": "no such path"}, 404)

    def _answer(self, request: Request) -> Reply | None:
        if request.path.startswith(RUNS_PATH):
            return self._run(request)
        return self._submit(request)

    def _telling(self, reply: Reply | None) -> Reply | None:
        """Add what the engine says about itself; None was answered as a stream."""
        if reply is None:
            return None
        return attrs.evolve(reply, headers=self._faults.now.signals())

    def _control(self, request: Request) -> Reply:
        if request.path == "/control/arrivals":
            return json_reply(self._arrivals.report())
        if request.path == "/control/counts":
            totals = attrs.asdict(self._batcher.totals)
            unread = totals["tokens_generated"] - totals["tokens_read"]
            return json_reply(
                self._counts.report() | totals | {"tokens_unread": unread}
            )
        if request.path == "/control/orders":
            return json_reply({"taken": self._orders.taken})
        reply = self._faults.handle(request)
        self._apply_faults()
        return reply

    def _apply_faults(self) -> None:
        faults = self._faults.now
        self._batcher.speed = faults.speed
        self._batcher.frozen = faults.freeze

    def _submit(self, request: Request) -> Reply | None:
        try:
            run = self._new_run(request)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return json_reply({"error": f"bad request: {error}"}, 400)
        self._counts.add(
            request_id=run.request_id, key=request.headers.get("idempotency-key", "")
        )
        if not run.stream:
            self._batcher.submit(run)
            return self._whole(request, run)
        listener = self._listener(request, self._faults.now.cut_after_events)
        if listener.cut_after_events == 0:
            self._batcher.submit(run)
            raise Cut
        self._start_stream(request)
        self._batcher.submit(run, listener)
        self._finish_stream(request, run, listener)

    def _new_run(self, request: Request) -> Run:
        wanted = request.json()
        chat = request.path == CHAT_PATH
        if chat:
            prompt = "\n".join(each["content"] for each in wanted["messages"])
        else:
            prompt = wanted["prompt"]
        words = prompt.split()
        faults = self._faults.now
        return Run(
            request_id=request.headers.get("x-request-id") or secrets.token_hex(8),
            prompt=prompt,
            prompt_tokens=len(words),
            block_hashes=block_hashes(words, self._block_tokens),
            max_tokens=max(1, int(wanted.get("max_tokens", DEFAULT_MAX_TOKENS))),
            stream=bool(wanted.get("stream", False)),
            event_format=CHAT_EVENT if chat else TEXT_EVENT,
            end_after_events=faults.end_after_events,
            crashes=bool(faults.crash_marker) and faults.crash_marker in prompt,
        )

    def _run(self, request: Request) -> Reply | None:
        request_id, _, action = request.path.removeprefix(RUNS_PATH).partition("/")
        run = self._batcher.find(request_id)
        if run is None:
            return json_reply({"error": "no such run"}, 404)
        if action == "cancel":
            self._batcher.cancel(run)
            return json_reply({"cancelled": run.cancelled})
        if not run.stream:
            return self._whole(request, run)
        listener = self._listener(request, -1)
        listener.position = request.number("after", -1) + 1
        self._start_stream(request)
        self._batcher.listen(run, listener)
        self._finish_stream(request, run, listener)

    def _listener(self, request: Request, cut_after_events: int) -> Listener:
        http = request.http
        return Listener(
            fd=http.conn.socket.fileno(),
            chunked=http.response_protocol == "HTTP/1.1",
            cut_after_events=cut_after_events,
        )

    def _start_stream(self, request: Request) -> None:
        head = Reply(content_type=EVENT_STREAM)
        server.start_answer(request, self._telling(head))

    def _finish_stream(self, request: Request, run: Run, listener: Listener) -> None:
        """Wait until the batcher has let go of the socket, and end the answer."""
        listener.done.wait()
        request.http.conn.socket.sendall(listener.unsent)
        if listener.cut:
            raise Cut

    def _whole(self, request: Request, run: Run) -> Reply:
        run.finished.wait()
        if run.cancelled:
            return json_reply({"error": "cancelled"}, 499)
        if run.tokens < run.max_tokens or self._faults.now.cut_after_events >= 0:
            raise Cut
        if not server.caller_gone(request):
            self._batcher.read_whole(run)
        text = answer_text(run.prompt, run.tokens)
        content = {"text": text}
        if run.event_format is CHAT_EVENT:
            content = {"message": {"role": "assistant", "content": text}}
        usage = {"prompt_tokens": run.prompt_tokens, "completion_tokens": run.tokens}
        choice = {"index": 0, "finish_reason": "length"} | content
        return json_reply({"id": run.request_id, "choices": [choice], "usage": usage})

    def _load(self) -> Reply:
        at_s, running, waiting = self._batcher.load(self._faults.now.load_lag_s)
        return json_reply(
            {
                "running": running,
                "waiting": waiting,
                "slots": self._slots,
                "step_s": self._batcher.step_s(),
                "kv_used": len(self._batcher.cache) / max(1, self._cache_blocks),
                "at_s": at_s,
            }
        )

    def _cache_events(self, after: int) -> Reply:
        faults = self._faults.now
        seen_s = time.monotonic() - faults.cache_lag_s
        changes = self._batcher.cache.since(after, seen_s)
        gap = faults.cache_gap_every
        shown = [each for each in changes if not gap or each.sequence % gap]
        return json_reply(
            {
                "incarnation": self._incarnation,
                "events": [cattrs.unstructure(each) for each in shown],
                "next_sequence": (changes[-1].sequence if changes else after) + 1,
            }
        )


def main() -> None:
    """Read the options and serve."""
    parser = server.parser(__doc__)
    parser.add_argument("--step-ms", type=float, default=4.0)
    parser.add_argument("--step-us-per-run", type=float, default=0.0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--prefill-tokens-per-step", type=int, default=64)
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--block-tokens", type=int, default=16)
    parser.add_argument("--counts-file", help="where counts outlive a crash")
    parser.set_defaults(threads=400)
    options = parser.parse_args()
    server.serve(options, Engine(options=options).handle)


if __name__ == "__main__":
    main()
