"""Steps that try heads of responses of every kind on the platform's dialect."""

import socket
import threading
import time
from collections import Counter

from behave import then, when
from hypothesis import strategies

from features.helper import fuzz
from lavenderspoke.clock import SystemClock
from lavenderspoke.direct.exchange import CancelHandle, ConnectionPool
from lavenderspoke.direct.runproof import Finding, finding_of
from lavenderspoke.platform.wire import NOT_RUN_STATUSES, PlatformDialect
from standins.processes import HOST

EXAMPLES = 400
TIMEOUT_S = 2.0
ID, MARK = "x-attempt-id", "x-not-executed"
NO_MARKS = ("", "0", "false", "no")
USUAL = ("X-Attempt-Id: mine", "X-Not-Executed: 1", "X-Response-Signature: s")
NAMES = ("X-Attempt-Id", "x-attempt-id", "X-Not-Executed", "Content-Encoding", "X-Note")
VALUES = (
    "mine",
    "MINE",
    " mine ",
    "other",
    "",
    "1",
    "0",
    "1, 0",
    "n\rX-Attempt-Id: mine",
)
BROKEN = (" folded", "junk", ": x", "From x")
STATUSES = (0, 99, 101, 200, 302, 400, 404, 408, 421, 429, 500, 503, 504, 700)

odd_lines = strategies.builds(
    "{}:{}".format, *map(strategies.sampled_from, (NAMES, VALUES))
) | strategies.sampled_from(BROKEN)
lines = strategies.builds(
    list.__add__,
    strategies.lists(strategies.sampled_from(USUAL), unique=True),
    strategies.lists(odd_lines, max_size=1),
)
heads = strategies.tuples(strategies.sampled_from(STATUSES), lines)


def values_of(name: str, head_lines: list[str]) -> list[str]:
    fields = [each.partition(":") for each in head_lines]
    return [value.strip() for key, _, value in fields if key.lower() == name]


def is_proof(status: int, head_lines: list[str]) -> bool:
    """Return whether a head promises that the request "mine" was refused."""
    marks = [
        mark.strip().lower()
        for value in values_of(MARK, head_lines)
        for mark in value.split(",")
    ]
    is_marked = bool(marks) and not any(each in NO_MARKS for each in marks)
    names_mine = set(values_of(ID, head_lines)) == {"mine"}
    return names_mine and (status == 421 or (is_marked and 400 <= status < 600))


class _Tries:
    """Sends a request for each head, and keeps what was found of it."""

    def __init__(self):
        self.found: Counter[Finding | None] = Counter()
        self.wrong: list[tuple[Finding, int, list[str]]] = []
        self._dialect = PlatformDialect()
        headers = (("X-Attempt-Id", "mine"), ("Host", "test"))
        self._head = self._dialect.parse_request("POST", "/", headers).unwrap()
        self._listener = socket.create_server((HOST, 0))
        self._pool = ConnectionPool(
            host=HOST, port=self._listener.getsockname()[1], clock=SystemClock()
        )

    def check(self, head: tuple[int, list[str]]) -> None:
        status, head_lines = head
        text = "\r\n".join([f"HTTP/1.1 {status:03d} Said", *head_lines, "", ""])
        server = threading.Thread(target=self._serve, args=(text.encode(),))
        server.start()
        sent = self._pool.send(
            cancel_handle=CancelHandle(),
            method="POST",
            target="/",
            headers={"Host": "test", "X-Attempt-Id": "mine"},
            body=b"",
            head_timeout_s=TIMEOUT_S,
            ends_s=time.monotonic() + TIMEOUT_S,
        )
        server.join()
        if sent.is_err():
            self.found[None] += 1
            return
        finding = finding_of(sent.ok_value, self._head, self._dialect)
        sent.ok_value.close(keep=False)
        self.found[finding] += 1
        promises = finding in (Finding.NOT_EXECUTED, Finding.MISDIRECTED)
        is_answer = finding is Finding.ANSWER
        if (promises and not is_proof(status, head_lines)) or (
            is_answer and (status in NOT_RUN_STATUSES or not 200 <= status < 600)
        ):
            self.wrong.append((finding, status, head_lines))

    def _serve(self, data: bytes) -> None:
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(data)

    def close(self) -> None:
        self._listener.close()


@when("responses with heads of every kind come to a request")
def step_heads(context):
    context.tries = _Tries()
    context.add_cleanup(context.tries.close)
    fuzz(heads, context.tries.check, EXAMPLES)


@then("only marked refusals that name it count as not run")
def step_only_proofs(context):
    assert not context.tries.wrong, context.tries.wrong[:5]


@then("there were refusals, answers and heads that can't be read among them")
def step_kinds(context):
    kinds = {None, Finding.NOT_EXECUTED, Finding.ANSWER, Finding.UNMARKED_REFUSAL}
    assert kinds <= context.tries.found.keys(), context.tries.found
