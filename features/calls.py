"""Documents and requests for scenarios that drive the policy by hand."""

from lavenderspoke.documents.service import (
    Customer,
    Kind,
    Prefixes,
    Service,
    Tier,
    Upstreams,
)
from lavenderspoke.model import Call
from lavenderspoke.waiting import WaitingRequest

TIERS = {"report": 1, "position": 2, "alert": 3}


def make_service(*, weights: dict[str, float] | None = None, **limits) -> Service:
    """Return a document with three tiers; `limits` go to each customer."""
    weights = weights or {"one": 1.0, "two": 1.0}
    return Service(
        name="narrative",
        upstreams=Upstreams(kind=Kind.MODEL, labels=("engine",)),
        tiers=tuple(Tier(name=name, rank=rank) for name, rank in TIERS.items()),
        customers=tuple(
            Customer(
                name=name,
                credential_sha256="",
                tiers=tuple(TIERS),
                weight=weight,
                **limits,
            )
            for name, weight in weights.items()
        ),
        prefixes=Prefixes(block_tokens=4, prefill_tokens_per_s=1000.0, wait_max_s=0.5),
    )


def make_call(
    name: str, *, tier: str = "position", tokens: int = 100, customer: str = "one"
) -> Call:
    """Return a call of `tokens` tokens in all."""
    return Call(
        request_id=name,
        service="narrative",
        method="POST",
        path="/v1/completions",
        body=b"x" * 10,
        customer=customer,
        tier=TIERS[tier],
        prompt_tokens=tokens,
    )


def make_waiting(
    name: str,
    *,
    at_s: float = 0.0,
    deadline_s: float = 100.0,
    warm: dict[str, int] | None = None,
    **call,
) -> WaitingRequest:
    """Return a request that arrived at `at_s`."""
    return WaitingRequest(
        call=make_call(name, **call),
        arrived_s=at_s,
        deadline_s=deadline_s,
        cached_tokens=warm or {},
    )
