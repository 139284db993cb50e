"""Credits that let customers use their limits in bursts.

A leaky bucket bounds what a customer may use in a short time, because all entries can
be killed at once and forget what was used in the window before. A credit raises the
bucket's capacity after it was recorded in the platform's store. An entry that starts
reads the records and counts each as used at its start, so a limit holds in every
window, whichever entries are killed and when.

For each customer one live entry is responsible, chosen by a hash of names: it records
the credit, tells the other entries that it is in force, and deletes the record once all
have stopped using it. If two believe to be responsible, they write the same record.
"""

import math
from collections.abc import Iterable, Mapping

import attrs
import logbook

from lavenderspoke.model import rendezvous_hash

# Share of the bucket's capacity above which more credit is requested. The record takes
# some milliseconds and the news up to 0.3 s; at twice its rate a customer fills the
# other half of the bucket in about that time.
REQUEST_LEVEL_SHARE = 0.5
# Share of the bucket's capacity without credit below which it needs none.
CALM_LEVEL_SHARE = 0.5
# The first credit, in capacities of the bucket, and the factor by which a credit grows
# each time it is about to be used up. With the largest one at once, the start after a
# failure of all entries would be as strict for small bursts as for large ones.
FIRST_CREDIT_CAPACITIES = 4.0
GROWTH_FACTOR = 2.0
# How long entries believe in a credit after the responsible entry was last heard:
# several of its messages would have to be lost.
TOLD_TIMEOUT_S = 1.0
# Time from the end of a credit's use until its record is deleted: longer than any entry
# believes in it, plus the time that messages take.
DELETE_DELAY_S = 3.0
# How long an ended credit is remembered by the entries that aren't responsible for
# deleting its record, in case the responsible one dies.
ENDED_KEPT_S = 30.0
# An entry whose updates are further apart was suspended and no longer knows what others
# have done with its records.
UPDATE_GAP_MAX_S = 1.0
# Largest credit that is believed in, in tokens.
CREDIT_MAX = 1e12
BURST_CREDITS_METRIC = "direct_burst_credits"

log = logbook.Logger(__name__)


@attrs.frozen(kw_only=True)
class BucketState:
    """A customer's leaky bucket: its level, capacity without credit, largest credit."""

    customer: str
    level: float
    base_capacity: float
    credit_max: float


@attrs.define(kw_only=True)
class _Told:
    """A credit that a peer says is in force; `heard_s` is when it last said so."""

    tokens: float
    heard_s: float


class BurstCredits:
    """The credits as one entry knows them.

    Times are in seconds on the caller's clock.

    >>> credits = BurstCredits(name="entry-1", now_s=0.0)
    >>> credits.read_records({}, now_s=0.0)
    >>> state = BucketState(customer="c", level=8, base_capacity=10, credit_max=50)
    >>> credits.update([state], live_peers=[], all_live=True, now_s=0.1)
    >>> credits.writes_due()
    {'c': 40.0}
    >>> credits.record_written("c", 40.0)
    >>> credits.credit_of("c", 0.2)
    40.0
    """

    def __init__(self, *, name: str, now_s: float, window_s: float = 8.0):
        self.window_s = window_s
        self._name = name
        self._started_s = now_s
        self._updated_s = now_s
        # What the store held when this entry started, or None before it was read, and
        # what peers told right after the start: they may have relayed older records.
        self._records_at_start: dict[str, float] | None = None
        self._told_at_start: dict[str, float] = {}
        self._held: dict[str, float] = {}
        self._told: dict[str, dict[str, _Told]] = {}
        self._wanted: dict[str, float] = {}
        # Credits in force whose record the store has lost.
        self._unstored: dict[str, float] = {}
        self._calm_since_s: dict[str, float] = {}
        self._last_in_force_s: dict[str, float] = {}
        self._deletable: list[str] = []
        self._live_names: list[str] = [name]
        self._responsible: dict[str, str] = {}

    def credit_of(self, customer: str, now_s: float) -> float:
        """Return the credit in force for a customer."""
        tokens = self._held.get(customer, 0.0)
        for told in self._told.get(customer, {}).values():
            if now_s < told.heard_s + TOLD_TIMEOUT_S:
                tokens = max(tokens, told.tokens)
        return tokens

    def used_before_start(self, customer: str, credit_max: float) -> float:
        """Return what may have been used on credit before this entry started."""
        if self._records_at_start is None:
            return credit_max
        tokens = max(
            self._records_at_start.get(customer, 0.0),
            self._told_at_start.get(customer, 0.0),
        )
        return min(credit_max, tokens)

    # Records in the store

    def read_records(self, records: Mapping[str, float], now_s: float) -> None:
        """Apply the records that the store held when this entry started."""
        if self._records_at_start is not None:
            return
        self._records_at_start = dict(records)
        # Kept for a window: another failure of all entries could follow.
        ended_s = now_s + self.window_s - DELETE_DELAY_S
        self._last_in_force_s |= dict.fromkeys(records, ended_s)
        if records:
            log.info("burst credits at start", credits=dict(records))

    def records_lost(self, records: Mapping[str, float], now_s: float) -> None:
        """Record the own credits again, and see to it that older ones are deleted.

        `records` are those in the copy that the store has come back from.
        """
        self._unstored = dict(self._held)
        self._last_in_force_s |= dict.fromkeys(records, now_s)

    def writes_due(self) -> dict[str, float]:
        """Return the credits that this entry should record, by customer."""
        return dict(self._wanted)

    def record_written(self, customer: str, tokens: float) -> None:
        """Put a credit in force that the store has acknowledged."""
        log.info("burst credit in force", customer=customer, tokens=tokens)
        self._held[customer] = max(tokens, self._held.get(customer, 0.0))
        self._wanted.pop(customer, None)
        self._unstored.pop(customer, None)

    def deletions_due(self) -> list[str]:
        """Return the customers whose records this entry should delete."""
        return list(self._deletable)

    def record_deleted(self, customer: str) -> None:
        """Forget a credit whose record is deleted."""
        self._last_in_force_s.pop(customer, None)
        if customer in self._deletable:
            self._deletable.remove(customer)

    # Other entries

    def rows(self) -> tuple[tuple[str, float], ...]:
        """Return the credits in force that this entry tells the others of."""
        return tuple(sorted(self._held.items()))

    def merge_peer(
        self, sender: str, rows: Iterable[tuple[str, float]], heard_s: float
    ) -> int:
        """Apply a peer's message; return how many of its rows are malformed."""
        malformed = 0
        told = {}
        for customer, tokens in rows:
            if math.isfinite(tokens) and 0.0 < tokens <= CREDIT_MAX:
                told[customer] = tokens
            else:
                malformed += 1
        for customer in [each for each in self._told if each not in told]:
            self._told[customer].pop(sender, None)
            if not self._told[customer]:
                del self._told[customer]
        for customer, tokens in told.items():
            self._told.setdefault(customer, {})[sender] = _Told(
                tokens=tokens, heard_s=heard_s
            )
            if heard_s < self._started_s + TOLD_TIMEOUT_S:
                self._told_at_start[customer] = max(
                    tokens, self._told_at_start.get(customer, 0.0)
                )
        return malformed

    # Decisions

    def update(
        self,
        buckets: Iterable[BucketState],
        *,
        live_peers: Iterable[str],
        all_live: bool,
        now_s: float,
    ) -> None:
        """Decide on credits from the buckets' levels.

        `all_live` tells whether every known entry is live: an entry that isn't heard
        may still use a credit, so no record is deleted then.
        """
        if now_s > self._updated_s + UPDATE_GAP_MAX_S:
            self._held.clear()
        self._updated_s = now_s
        self._update_names([self._name, *live_peers])
        self._unstored = {
            customer: tokens
            for customer, tokens in self._unstored.items()
            if customer in self._held
        }
        self._wanted = dict(self._unstored)
        for bucket in buckets:
            self._update_customer(bucket, now_s)
        self._update_deletions(all_live, now_s)

    def _update_names(self, names: list[str]) -> None:
        if names != self._live_names:
            self._live_names = names
            self._responsible.clear()

    def _update_customer(self, bucket: BucketState, now_s: float) -> None:
        customer = bucket.customer
        credit = min(self.credit_of(customer, now_s), bucket.credit_max)
        if credit > 0.0:
            self._last_in_force_s[customer] = now_s
        if bucket.level > bucket.base_capacity * CALM_LEVEL_SHARE:
            self._calm_since_s.pop(customer, None)
        else:
            calm_since_s = self._calm_since_s.setdefault(customer, now_s)
            if now_s >= calm_since_s + self.window_s and customer in self._held:
                log.info("burst credit ended", customer=customer)
                del self._held[customer]
        capacity = bucket.base_capacity + credit
        is_needed = bucket.level > capacity * REQUEST_LEVEL_SHARE
        if not is_needed or credit >= bucket.credit_max:
            return
        if self._is_responsible(customer):
            step = credit * GROWTH_FACTOR or (
                bucket.base_capacity * FIRST_CREDIT_CAPACITIES
            )
            self._wanted[customer] = min(step, bucket.credit_max)
            # A write whose response is lost may have been carried out.
            self._last_in_force_s[customer] = now_s

    def _update_deletions(self, all_live: bool, now_s: float) -> None:
        self._deletable = []
        for customer, in_force_s in list(self._last_in_force_s.items()):
            if now_s >= in_force_s + ENDED_KEPT_S:
                del self._last_in_force_s[customer]
            elif (
                now_s >= in_force_s + DELETE_DELAY_S
                and all_live
                and customer not in self._wanted
                and self._is_responsible(customer)
            ):
                self._deletable.append(customer)

    def _is_responsible(self, customer: str) -> bool:
        """Return whether this entry records and deletes the customer's credit."""
        responsible = self._responsible.get(customer)
        if responsible is None:
            responsible = min(
                self._live_names, key=lambda name: rendezvous_hash(name, customer)
            )
            self._responsible[customer] = responsible
        return responsible == self._name
