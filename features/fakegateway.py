"""A gateway for the HTTP tests: the request's body says how it is answered."""

import hashlib

from lavenderspoke.answering.answers import AnswerQueue
from lavenderspoke.documents.service import (
    Customer,
    Kind,
    Service,
    Tier,
    Upstreams,
    Waiting,
)
from lavenderspoke.gateway import AnswerBody, AnswerBroken, AnswerEnd
from lavenderspoke.model import Head, Ran
from lavenderspoke.problems import Problem, Reason

CREDENTIAL = "open-sesame"
BODY_BYTES_MAX = 20_000
EVENTS = Head(status=200, headers=(("Content-Type", "text/event-stream"),))


def make_service(name: str, kind: Kind) -> Service:
    """Return a service that one customer may use in its two lower tiers."""
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    return Service(
        name=name,
        upstreams=Upstreams(kind=kind, labels=("any",)),
        tiers=(
            Tier(name="reports", rank=1),
            Tier(name="checks", rank=2),
            Tier(name="alerts", rank=3),
        ),
        customers=(
            Customer(
                name="races", credential_sha256=digest, tiers=("reports", "checks")
            ),
        ),
        deadline_max_s=60.0,
        waiting=Waiting(body_bytes_max=BODY_BYTES_MAX),
    )


class FakeGateway:
    """A fake gateway that answers as `scripts` say, or as a word in the body does."""

    def __init__(self):
        self.documents = {
            "narrative": make_service("narrative", Kind.MODEL),
            "tickets": make_service("tickets", Kind.PLAIN),
        }
        self.is_ready = True
        self.arrivals = []
        self.abandoned = []
        self.answers = []
        self.scripts = []

    def service(self, name):
        return self.documents.get(name)

    def ready(self):
        return self.is_ready

    def status(self):
        return {"role": "fake"}

    def submit(self, arrival):
        self.arrivals.append(arrival)
        answer = AnswerQueue(
            request_id=arrival.call.request_id, on_abandon=self.abandoned.append
        )
        self.answers.append(answer)
        for part in self._script(arrival.call):
            answer.put(part)
        return answer

    def _script(self, call):
        if self.scripts:
            return self.scripts.pop(0)
        event = AnswerBody(body=b"data: one\n\n")
        if b"broken" in call.body:
            # The head goes out by itself before the break is put.
            return (EVENTS, event)
        if b"silent" in call.body:
            return ()
        if b"shed" in call.body:
            return (Problem(reason=Reason.SHED, ran=Ran.NO, retry_after_s=1.2),)
        if b"half" in call.body:
            problem = Problem(reason=Reason.ANSWER_INCOMPLETE, ran=Ran.YES)
            head = Head(status=200, headers=(("Content-Length", "100"),))
            return (head, AnswerBody(body=b"half"), AnswerBroken(problem=problem))
        if call.stream:
            return (EVENTS, event, event, AnswerEnd())
        headers = (("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Kept", "yes"))
        headers += (("X-Split", "a\r\nX-Forged: 1"), ("Keep-Alive", "timeout=9"))
        body = AnswerBody(body=call.method.encode() + b" " + call.body)
        return (Head(status=201, headers=headers), body, AnswerEnd())


def break_answer(answer) -> None:
    """End an answer that has begun without its last part."""
    problem = Problem(reason=Reason.ANSWER_INCOMPLETE, ran=Ran.YES)
    answer.put(AnswerBroken(problem=problem))
