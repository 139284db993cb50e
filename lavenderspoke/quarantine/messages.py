"""What daemons tell each other of crashes and quarantines."""

import attrs


@attrs.frozen(kw_only=True)
class CrashEvidence:
    """Reports that an upstream crashed, and which content was running in it.

    The fingerprints cover the requests' content only, so a re-send under
    another key is recognised. Without any, it only reports the end of the upstream.
    `answered` are those of them that were answered completely since. It was recorded
    `age_s` seconds ago. If it is `presumed`, the upstream had announced that it leaves,
    or can't be reached, so that its end has another likely cause. `parts` are the
    shared prompt parts of the contents that have any, and `cleared` are those of them
    with which requests were answered since.
    """

    service: str
    upstream: str
    crash_id: str
    fingerprints: tuple[str, ...]
    answered: tuple[str, ...] = ()
    age_s: float = 0.0
    presumed: bool = False
    parts: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    cleared: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Quarantined:
    """Announces that a cause is refused for `ttl_s` from receipt; 0 lifts that."""

    service: str
    fingerprint: str
    ttl_s: float
