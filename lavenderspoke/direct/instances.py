"""Upstream instances as listed by the platform."""

import attrs


@attrs.frozen(kw_only=True)
class Upstream:
    """One incarnation of an upstream.

    `upstream_id` changes at each start if the platform states the start time, so that
    what was observed of one incarnation isn't applied to the next. `name` is the
    upstream's own name and may stay the same across restarts. `version` is its software
    version, empty if not given. An upstream is slower until it `is_warm`. It processes
    up to `slots` requests concurrently. A `leaving` upstream takes no new requests.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    version: str = ""
    is_warm: bool = True
    leaving: bool = False
    name: str = attrs.field(
        default=attrs.Factory(lambda self: self.upstream_id, takes_self=True)
    )
