"""From a caller's HTTP request to an arrival that the gateway admits.

The checks go from cheap to dear, and the body is read only after all that can
be refused without it.
"""

import hashlib
import hmac
import uuid
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from lavenderspoke import callerheaders, modelrequest
from lavenderspoke.callerheaders import CallerHeaders
from lavenderspoke.documents.service import Customer, Kind, Service, Tier
from lavenderspoke.gateway import Arrival, Gateway
from lavenderspoke.http.callerrequest import CallerRequest
from lavenderspoke.model import Call, Ran
from lavenderspoke.prefix import prefix_hashes
from lavenderspoke.problems import Problem, Reason

BYTES_PER_TOKEN = 4
NO_DOCUMENT_RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class Admission:
    """A request that is admitted as far as its head can tell."""

    request: CallerRequest
    said: CallerHeaders
    service: Service
    customer: Customer
    tier: Tier
    path: str


def new_request_id() -> str:
    """Return a fresh request id."""
    return uuid.uuid4().hex


def refusal(reason: Reason, detail: str, retry_after_s: float | None = None) -> Problem:
    """Return the problem of a request that was refused before it could run."""
    return Problem(
        reason=reason, ran=Ran.NO, detail=detail, retry_after_s=retry_after_s
    )


def admit(request: CallerRequest, gateway: Gateway) -> Result[Admission, Problem]:
    """Check what can be checked without the body."""
    name, path = split_target(request.target)
    service = gateway.service(name)
    if service is None:
        return Err(_no_service(name, gateway))
    parsed = callerheaders.parse(request.headers)
    if parsed.is_err():
        error = parsed.unwrap_err()
        return Err(refusal(Reason.BAD_REQUEST, f"{error.header}: {error.detail}"))
    said = parsed.unwrap()
    customer = find_customer(service, said.credential)
    if customer is None:
        return Err(refusal(Reason.UNAUTHORIZED, "no customer has this credential"))
    tier = choose_tier(service, customer, said.tier)
    if tier is None:
        detail = f"{customer.name} may use: {', '.join(customer.tiers) or 'none'}"
        return Err(refusal(Reason.TIER_FORBIDDEN, detail))
    return Ok(
        Admission(
            request=request,
            said=said,
            service=service,
            customer=customer,
            tier=tier,
            path=path,
        )
    )


def split_target(target: str) -> tuple[str, str]:
    """Return the service's name and the path, with its query, for the upstream.

    >>> split_target("/narrative/v1/completions?n=1")
    ('narrative', '/v1/completions?n=1')
    >>> split_target("/tracking?since=5")
    ('tracking', '/?since=5')
    """
    path, question, query = target.partition("?")
    name, _, rest = path.removeprefix("/").partition("/")
    return name, "/" + rest + question + query


def find_customer(service: Service, credential: str | None) -> Customer | None:
    """Return the customer of that credential.

    Every customer is compared, each in constant time, so that the time taken
    tells nothing about the credentials.
    """
    given = hashlib.sha256((credential or "").encode()).hexdigest().encode()
    found = None
    for customer in service.customers:
        wanted = customer.credential_sha256.lower().encode()
        if hmac.compare_digest(given, wanted) and credential:
            found = customer
    return found


def choose_tier(service: Service, customer: Customer, name: str | None) -> Tier | None:
    """Return the named tier if the customer may use it, or its lowest one."""
    allowed = [tier for tier in service.tiers if tier.name in customer.tiers]
    if name is None:
        return min(allowed, key=lambda tier: tier.rank, default=None)
    return next((tier for tier in allowed if tier.name == name), None)


def scoped_key(customer: str, key: str) -> str:
    """Return a key that no other customer can name.

    Two customers that number their requests alike would otherwise get each
    other's answers.
    """
    return hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a hash of what a request asks, whoever sends it and however often."""
    head = f"{service}\0{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


@attrs.frozen(kw_only=True)
class ArrivalBuilder:
    """A builder of arrivals; the functions are passed in for tests."""

    request_id: Callable[[], str] = new_request_id
    prefix_hashes: Callable[[str, int], tuple[str, ...]] = prefix_hashes

    def build(self, admission: Admission, body: bytes) -> Result[Arrival, Problem]:
        """Return the arrival of an admitted request with its whole body."""
        call = self._plain_call(admission, body)
        is_model = admission.service.upstreams.kind is Kind.MODEL
        if is_model and modelrequest.is_completion(call.method, call.path):
            parsed = modelrequest.parse(body)
            if parsed.is_err():
                return Err(refusal(Reason.BAD_REQUEST, parsed.unwrap_err().detail))
            call = self._model_call(call, admission.service, parsed.unwrap())
        return Ok(
            Arrival(
                call=call,
                sending=admission.said.sending,
                deadline_in_s=_deadline_in_s(admission),
            )
        )

    def _plain_call(self, admission: Admission, body: bytes) -> Call:
        said, name = admission.said, admission.service.name
        method, path = admission.request.method, admission.path
        key = said.key and scoped_key(admission.customer.name, said.key)
        return Call(
            request_id=self.request_id(),
            service=name,
            method=method,
            path=path,
            headers=callerheaders.passed_on(admission.request.headers),
            body=body,
            customer=admission.customer.name,
            tier=admission.tier.rank,
            key=key,
            idempotent=said.idempotent,
            prompt_tokens=len(body) // BYTES_PER_TOKEN,
            fingerprint=fingerprint(name, method, path, body),
        )

    def _model_call(
        self, call: Call, service: Service, asked: modelrequest.ModelRequest
    ) -> Call:
        block_tokens = service.prefixes.block_tokens
        return attrs.evolve(
            call,
            stream=asked.stream,
            prompt_tokens=asked.prompt_tokens,
            max_output_tokens=asked.max_output_tokens,
            prefix_hashes=tuple(self.prefix_hashes(asked.prompt, block_tokens)),
        )


def _deadline_in_s(admission: Admission) -> float:
    asked_s = admission.said.deadline_s or admission.tier.deadline_s
    return min(asked_s, admission.service.deadline_max_s)


def _no_service(name: str, gateway: Gateway) -> Problem:
    if gateway.ready():
        return refusal(Reason.UNKNOWN_SERVICE, f"no service is named {name!r}")
    detail = "this instance has no service document in force"
    return refusal(Reason.NO_DOCUMENT, detail, NO_DOCUMENT_RETRY_S)
