"""The upstream instances of a service, as the platform lists them."""

import attrs


@attrs.frozen(kw_only=True)
class Upstream:
    """One incarnation of an upstream.

    `upstream_id` is new at each start, so that nothing which was learned of one start
    is believed of the next. `name` is what the upstream calls itself, which several
    starts may share. `version` is that of its software, empty where it names none;
    until it `is_warm` it is slower than later. `slots` is how many requests it works on
    at once. A `leaving` one takes no new requests.
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
