"""The things that entries, agents and documents all speak of."""

import enum
import hashlib

import attrs


class Ran(enum.Enum):
    """Whether a request ran, as told to its caller."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Standing(enum.Enum):
    """Where a request stands in an agent's ledger."""

    CLAIMED = "claimed"  # the key is reserved for this attempt; it may yet run
    DISPATCHED = "dispatched"  # handed to the upstream; the run may have begun
    FINISHED = "finished"  # the whole answer is held
    FAILED = "failed"  # dispatched, and its answer can't be completed
    NEVER = "never"  # not dispatched, and from now on it never will be
    UNKNOWN = "unknown"  # nothing is known here; it may have run elsewhere


@attrs.frozen(kw_only=True)
class InstanceId:
    """One life of one instance: its name and the incarnation within it.

    The name is the same across restarts; the incarnation never is.
    """

    name: str
    incarnation: str


@attrs.frozen(kw_only=True)
class RequestId:
    """One attempt of a caller, named by the entry that received it."""

    value: str


@attrs.frozen(kw_only=True)
class Call:
    """A caller's request as it travels from an entry to an upstream.

    The path includes the query string. Headers are those to pass on, already
    without hop-by-hop and lavenderspoke headers. Sizes are in tokens for model
    services and in bytes / 4 for plain ones; `prefix_hashes` names the leading
    blocks of the prompt, longest last, and is empty for plain services.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    customer: str
    tier: int
    stream: bool = False
    key: str | None = None
    idempotent: bool = True
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix_hashes: tuple[str, ...] = ()
    fingerprint: str = ""


@attrs.frozen(kw_only=True)
class Head:
    """The upstream's status line and headers, sent ahead of the body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


def rendezvous_hash(name: str, other_name: str) -> bytes:
    """Return the hash by which one daemon ranks another; same on all machines.

    With subsets chosen by it, a daemon that is added or removed changes few of them.
    """
    return hashlib.sha256(f"{name}\0{other_name}".encode()).digest()
