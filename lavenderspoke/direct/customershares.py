"""Weighted fair sharing of a service's engine time among the customers who ask for it.

Each entry decides for itself, from what all entries used in the last seconds. Load that
this answers: one customer of a rank asks for several times its usual amount, within its
limit, and its requests would hold most slots of that rank at every entry.
"""

import math
from collections.abc import Collection, Mapping

import attrs
from result import Err, Ok, Result

# Time constant, in seconds, with which use loses weight. Customers exceed their usual
# demand for 5 to 11 s: a longer one would still hold an earlier burst against them, and
# with one below the few seconds that a long answer holds its slot, shares would swing
# with single answers.
USE_TIME_CONSTANT_S = 4.0
# How far a customer's use by weight may exceed that of the others together before its
# requests go behind theirs. Customers who use about the same keep the usual order.
OVER_SHARE_TOLERANCE = 1.1
# The most that one request counts for, in seconds. A caller may expect any length of
# its answer, and what lies further back than this has no weight left.
REQUEST_ENGINE_S_MAX = 30.0
# Silence of a peer, in seconds, after which the growth of its totals isn't counted:
# most of that use is older than `USE_TIME_CONSTANT_S`.
PEER_GAP_MAX_S = 8.0
# Time constants after which the weights are computed from a new origin. Weights grow by
# e with each, far below the largest float.
REBASE_TIME_CONSTANTS = 50.0
# Decayed use below which a customer is forgotten, in seconds.
USE_MIN_S = 1e-4
# The most customers whose totals one message may hold.
PEER_CUSTOMERS_MAX = 4096
# Total since its start that no entry can reach, in seconds.
TOTAL_MAX_S = 1e10

NOBODY: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class ShareOfUse:
    """A customer's recent use and its share of what those who ask used, in seconds."""

    used_s: float
    share_s: float
    is_over: bool


@attrs.define(kw_only=True)
class _PeerTotals:
    """The last totals of one incarnation of an entry, and when they came."""

    incarnation: str
    heard_s: float
    totals: dict[str, float] = attrs.field(factory=dict)


class CustomerShares:
    """Recent engine time of one service by customer, over all entries.

    Use is weighted by exp(-age / `USE_TIME_CONSTANT_S`). A customer's share is its
    weight's part of what the customers who ask have used: what the others leave unused
    is divided among those who ask at once, without any bookkeeping.

    Not thread-safe. Times are in seconds on the caller's clock; a step back counts as
    no time at all.

    >>> shares = CustomerShares()
    >>> shares.record_use("large", 3.0, now_s=0.0)
    >>> shares.record_use("small", 1.0, now_s=0.0)
    >>> shares.is_over_share("large", {"large", "small"}, now_s=0.1)
    True
    >>> shares.is_over_share("large", {"large"}, now_s=0.1)
    False
    >>> shares.set_weights({"large": 3.0, "small": 1.0})
    >>> shares.is_over_share("large", {"large", "small"}, now_s=0.1)
    False
    """

    def __init__(self):
        # Use is kept as of `_origin_s`, scaled up by its age then: comparisons need no
        # decay of each customer's value.
        self._scaled_use_s: dict[str, float] = {}
        self._origin_s = 0.0
        self._latest_s = 0.0
        self._weights: dict[str, float] = {}
        self._own_totals_s: dict[str, float] = {}
        self._peers: dict[str, _PeerTotals] = {}
        self._peer_growth_max_s = REQUEST_ENGINE_S_MAX

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply the configured customers' weights.

        Customers that are no longer configured are forgotten: one that is added again
        under the same name begins without any use.
        """
        removed = self._weights.keys() - weights.keys()
        for table in (self._scaled_use_s, self._own_totals_s):
            for customer in removed & table.keys():
                del table[customer]
        self._weights = dict(weights)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots, which bounds what a peer may report at once."""
        self._peer_growth_max_s = max(1, slots) * REQUEST_ENGINE_S_MAX

    def record_use(self, customer: str, engine_s: float, now_s: float) -> None:
        """Count engine time that this entry used, or take some back if negative."""
        if not math.isfinite(engine_s):
            return
        total_s = self._own_totals_s.get(customer, 0.0) + engine_s
        self._own_totals_s[customer] = max(0.0, total_s)
        self._add(customer, engine_s, now_s)

    def own_totals(self) -> dict[str, float]:
        """Return this entry's engine time since its start, rounded for messages."""
        return {name: round(used, 3) for name, used in self._own_totals_s.items()}

    def merge_peer(
        self, sender: str, incarnation: str, totals: Mapping[str, float], now_s: float
    ) -> Result[None, str]:
        """Add what a peer has used since its last message.

        `totals` are since the incarnation's start, so lost and repeated messages change
        nothing; a customer left out has used nothing. What a peer used before it first
        named a customer isn't counted, since its age is unknown. Malformed totals
        change nothing, and the reason is returned.
        """
        peer = self._peers.get(sender)
        if peer is None or peer.incarnation != incarnation:
            peer = _PeerTotals(incarnation=incarnation, heard_s=now_s)
        growth_s = {
            customer: total_s - peer.totals[customer]
            for customer, total_s in totals.items()
            if customer in peer.totals
        }
        is_recent = now_s < peer.heard_s + PEER_GAP_MAX_S
        reason = self._invalid_reason(totals, growth_s if is_recent else {})
        if reason is not None:
            return Err(reason)
        if is_recent:
            for customer, engine_s in growth_s.items():
                # A total that fell further was begun anew.
                if engine_s and engine_s >= -self._peer_growth_max_s:
                    self._add(customer, engine_s, now_s)
        peer.totals.update(totals)
        peer.heard_s = now_s
        self._peers[sender] = peer
        return Ok(None)

    def forget_silent_peers(self, now_s: float) -> None:
        """Drop the totals of peers whose next ones would not be counted."""
        silent = [
            name
            for name, peer in self._peers.items()
            if now_s >= peer.heard_s + PEER_GAP_MAX_S
        ]
        for name in silent:
            del self._peers[name]

    def is_over_share(
        self, customer: str, asking: Collection[str], now_s: float
    ) -> bool:
        """Return whether a customer used more than its share among those who ask."""
        return self.share_of(customer, asking, now_s).is_over

    def over_share(self, asking: Collection[str], now_s: float) -> frozenset[str]:
        """Return those of the customers who ask that used more than their shares.

        Never all of them, since one has used the least by weight.
        """
        if len(asking) < 2:
            return NOBODY
        use = self._scaled_use_s
        weights = self._weights
        rows = [(each, use.get(each, 0.0), weights.get(each, 1.0)) for each in asking]
        use_sum = sum(row[1] for row in rows)
        weight_sum = sum(row[2] for row in rows)
        return frozenset(
            customer
            for customer, used, weight in rows
            if used and _exceeds(used, weight, use_sum, weight_sum)
        )

    def share_of(
        self, customer: str, asking: Collection[str], now_s: float
    ) -> ShareOfUse:
        """Return a customer's recent use, and its share among those who ask."""
        decay = math.exp(-self._age(now_s))
        used_s = {
            each: self._scaled_use_s.get(each, 0.0) * decay
            for each in {*asking, customer}
        }
        # Exact sums, since the set has no fixed order.
        used_sum_s = math.fsum(used_s.values())
        weight_sum = math.fsum(self._weight(each) for each in used_s)
        weight = self._weight(customer)
        return ShareOfUse(
            used_s=used_s[customer],
            share_s=used_sum_s * weight / weight_sum,
            is_over=_exceeds(used_s[customer], weight, used_sum_s, weight_sum),
        )

    def _weight(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _invalid_reason(
        self, totals: Mapping[str, float], growth_s: Mapping[str, float]
    ) -> str | None:
        if len(totals) > PEER_CUSTOMERS_MAX:
            return "too_many"
        # Not a number compares as false.
        if not all(0.0 <= each <= TOTAL_MAX_S for each in totals.values()):
            return "out_of_range"
        if any(each > self._peer_growth_max_s for each in growth_s.values()):
            return "too_fast"
        return None

    def _add(self, customer: str, engine_s: float, now_s: float) -> None:
        if self._age(now_s) > REBASE_TIME_CONSTANTS:
            self._rebase()
        scaled_s = engine_s * math.exp(self._age(now_s))
        use_s = self._scaled_use_s.get(customer, 0.0) + scaled_s
        self._scaled_use_s[customer] = max(0.0, use_s)

    def _age(self, now_s: float) -> float:
        """Return the time since the origin, in time constants."""
        # The origin moves along with a clock that steps back.
        self._origin_s += min(0.0, now_s - self._latest_s)
        self._latest_s = now_s
        return (now_s - self._origin_s) / USE_TIME_CONSTANT_S

    def _rebase(self) -> None:
        """Weigh all use as of now, and forget what has no weight left."""
        decay = math.exp(-(self._latest_s - self._origin_s) / USE_TIME_CONSTANT_S)
        decayed = {name: use * decay for name, use in self._scaled_use_s.items()}
        self._scaled_use_s = {
            name: use_s for name, use_s in decayed.items() if use_s >= USE_MIN_S
        }
        self._origin_s = self._latest_s


def _exceeds(use: float, weight: float, use_sum: float, weight_sum: float) -> bool:
    """Return whether a use by weight exceeds that of the others together.

    Against the sum with the customer's own use, one with nearly all of the weight
    could never exceed its share by the tolerance.
    """
    others_use, others_weight = max(0.0, use_sum - use), weight_sum - weight
    return use * others_weight > others_use * weight * OVER_SHARE_TOLERANCE
