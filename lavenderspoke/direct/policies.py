"""Switches for the policies that share out scarce slots.

All are on unless an operator disables some, to compare or to rule one out as the cause
of what is seen. Each acts only under the load that it is for.
"""

import attrs
from result import Err, Ok, Result


@attrs.frozen(kw_only=True)
class Policies:
    """Which of the policies are on.

    - `customer_shares`: customers of one rank share the engine time while it is short.
    - `retry_bookings`: a refused caller is told a time at which a slot is booked.
    - `stall_avoidance`: new requests avoid upstreams that are slow at the moment.
    - `spillover`: other data centres get what their upstreams have slots to spare for.
    - `upstream_subsets`: an entry keeps connections to as few upstreams as suffice.
    - `burst_credits`: a customer may use its limit unevenly once the store knows it.
    """

    customer_shares: bool = True
    retry_bookings: bool = True
    stall_avoidance: bool = True
    spillover: bool = True
    upstream_subsets: bool = True
    burst_credits: bool = True


ALL_POLICIES = Policies()
NO_POLICIES = Policies(**{each.name: False for each in attrs.fields(Policies)})


def parse_disabled(text: str) -> Result[Policies, str]:
    """Return the policies without those named in a comma-separated list.

    >>> parse_disabled("customer-shares").ok_value.customer_shares
    False
    >>> parse_disabled("customer-share").err_value
    "unknown policy 'customer-share'"
    """
    known = {each.name for each in attrs.fields(Policies)}
    disabled = [each.strip().replace("-", "_") for each in text.split(",")]
    names = [each for each in disabled if each]
    unknown = [each for each in names if each not in known]
    if unknown:
        return Err(f"unknown policy {unknown[0].replace('_', '-')!r}")
    return Ok(Policies(**dict.fromkeys(names, False)))
