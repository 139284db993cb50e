"""The upstream instances of a service, as the platform lists them."""

import attrs


@attrs.frozen(kw_only=True)
class Upstream:
    """One incarnation of an upstream.

    `upstream_id` is new at each start, so that nothing which was learned of one start
    is believed of the next. `name` is what the upstream calls itself, which several
    starts may share. `slots` is how many requests it works on at once. A `leaving`
    one takes no new requests.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool = False
    name: str = attrs.field(
        default=attrs.Factory(lambda self: self.upstream_id, takes_self=True)
    )
