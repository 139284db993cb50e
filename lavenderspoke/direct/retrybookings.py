"""Slots booked for refused callers, who come back at the time they were told.

In a burst, callers who are all told the same time come back as the next burst and are
refused again, while slots stand free a few seconds later. So the refused requests of a
service form a virtual queue by rank, shared by all entries: each refusal books the next
time at which a slot is expected that no earlier booking takes.
"""

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from random import Random

import attrs

from lavenderspoke.direct.rankrates import RankRates
from lavenderspoke.direct.tickets import Rank

# Length of the steps in which bookings are counted and told to other entries. Messages
# take a tenth of a second or more between groups, so finer steps would be inexact.
STEP_S = 0.25
# How long a booking is kept after it is due: a caller's retry is sent on time but may
# be delayed by a connection or by a slow entry.
KEPT_AFTER_DUE_S = 0.5
# How much earlier than its booking a caller may come and still redeem it: the times of
# other entries' bookings are known to about one step.
EARLY_S = 0.25
# Bookings further ahead than this aren't made, and not accepted from others: a third of
# the longest useful deadline is less.
HORIZON_S = 60.0
# Largest count accepted in one row: with more, a message is malformed.
COUNT_MAX = 100_000
# Rows accepted in one message for one service.
ROWS_MAX = 4096
# A caller for whom no slot is expected in time is told a time in this range, as a share
# of the longest time allowed: late, since the burst may have ended by then.
NO_ROOM_SHARE = (0.85, 1.0)
# Share of the longest time allowed before which a caller who can't be on time any more
# isn't told to come back: it loses nothing by coming later, and the burst may be over.
LATE_RETURN_SHARE = 0.6

BookingRows = tuple[tuple[int, int, int, int], ...]
"""Customer rank, route rank, steps from now, and number of bookings.

The steps are negative if they are due already. The number is negative if more returns
were seen than bookings made.
"""

BOOKED, NO_ROOM = "booked", "no_room"
REDEEMED, EARLY, EXPIRED = "redeemed", "early", "expired"
MALFORMED = "malformed"


class Redemption(enum.Enum):
    """What a returned request found: a booking that is due, a later one, or none."""

    REDEEMED = "slot was booked"
    EARLY = "earlier than booked"
    NONE = "no slot was booked"


@attrs.frozen(kw_only=True)
class Booking:
    """When a refused caller should come back; not `booked` if no slot is expected."""

    due_in_s: float
    booked: bool

    def __str__(self) -> str:
        """Return what logs say of it.

        >>> str(Booking(due_in_s=1.5, booked=True))
        'slot booked in 1.50 s'
        """
        if self.booked:
            return f"slot booked in {self.due_in_s:.2f} s"
        return f"no slot expected in time: told {self.due_in_s:.2f} s"


class RetryBookings:
    """The bookings of one service at all entries, as one entry knows them.

    The load that it answers: a burst beyond what the upstreams can do, and much less
    after it. Bookings are counted by rank and step, and each entry tells the others its
    own. An entry that gets the return of a request which another has refused counts it
    as one booking less of its own, so that the sum over all entries is right whichever
    entry the caller comes to. Times are in seconds on the entry's clock.

    >>> bookings = RetryBookings(random=Random(1))
    >>> due = [
    ...     bookings.book(
    ...         (0, 0), earliest_s=1.0, latest_s=5.0, per_s=4.0, now_s=0.0
    ...     ).due_in_s
    ...     for _ in range(3)
    ... ]
    >>> [int(each / STEP_S) for each in due]
    [4, 5, 6]
    >>> bookings.outstanding((0, 0), until_s=1.4, now_s=0.0)
    2
    """

    def __init__(self, *, random: Random):
        # What became of bookings, until taken by `take_counts`.
        self.counts: Counter[str] = Counter()
        self._random = random
        self._own: dict[Rank, Counter[int]] = {}
        self._peer_rows: dict[str, tuple[str, dict[Rank, Counter[int]]]] = {}
        self._totals: dict[Rank, Counter[int]] = {}
        self._new_rates: dict[Rank, RankRates] = {}
        self._expired_step = -math.inf

    def __bool__(self) -> bool:
        """Return whether any entry has bookings."""
        return bool(self._totals)

    def take_counts(self) -> Counter[str]:
        """Return what became of bookings since the last call, for metrics."""
        counts, self.counts = self.counts, Counter()
        return counts

    def record_new(self, rank: Rank, now_s: float) -> None:
        """Count a request that its caller sends for the first time."""
        self._new_rates.setdefault(rank, RankRates()).record_arrival(now_s)

    def new_per_s(self, rank: Rank, now_s: float) -> float:
        """Return the new requests per second of a rank at this entry."""
        rates = self._new_rates.get(rank)
        return 0.0 if rates is None else rates.arrivals_per_s(now_s)

    def book(
        self,
        rank: Rank,
        *,
        earliest_s: float,
        latest_s: float,
        per_s: float,
        now_s: float,
    ) -> Booking:
        """Book the first slot that is free between two times from now.

        `per_s` slots per second come free for the rank from `earliest_s` on. Those of
        earlier bookings of this rank and of higher ones are taken.
        """
        self.expire(now_s)
        due_s = self._first_free_s(rank, earliest_s, latest_s, per_s, now_s)
        if due_s is None:
            self.counts[NO_ROOM] += 1
            share = self._random.uniform(*NO_ROOM_SHARE)
            return Booking(due_in_s=max(0.0, latest_s * share), booked=False)
        self.counts[BOOKED] += 1
        self._add(self._own, rank, _step(due_s), 1)
        self._add(self._totals, rank, _step(due_s), 1)
        return Booking(due_in_s=due_s - now_s, booked=True)

    def outstanding(self, rank: Rank, until_s: float, now_s: float) -> int:
        """Return the bookings due within `until_s` of that rank and of higher ones.

        Those whose caller hasn't come yet are included for `KEPT_AFTER_DUE_S`.
        """
        self.expire(now_s)
        last_step = _step(now_s + min(until_s, HORIZON_S))
        due = sum(
            count
            for each, steps in self._totals.items()
            if each <= rank
            for step, count in steps.items()
            if step <= last_step
        )
        return max(0, due)

    def redeem(self, rank: Rank, now_s: float) -> Redemption:
        """Release the booking of a request that has returned.

        A caller who comes early keeps its booking until that expires, and is treated as
        one without.
        """
        self.expire(now_s)
        steps = self._totals.get(rank, {})
        booked_steps = [step for step, count in steps.items() if count > 0]
        if not booked_steps:
            return Redemption.NONE
        first_step = min(booked_steps)
        if first_step > _step(now_s + EARLY_S):
            self.counts[EARLY] += 1
            return Redemption.EARLY
        self.counts[REDEEMED] += 1
        self._add(self._own, rank, first_step, -1)
        self._add(self._totals, rank, first_step, -1)
        return Redemption.REDEEMED

    def rows(self, now_s: float) -> BookingRows:
        """Return this entry's own bookings for the other entries."""
        self.expire(now_s)
        now_step = _step(now_s)
        return tuple(
            (*rank, step - now_step, count)
            for rank, steps in sorted(self._own.items())
            for step, count in sorted(steps.items())
        )

    def merge_peer(
        self,
        sender: str,
        incarnation: str,
        rows: BookingRows,
        now_s: float,
        *,
        age_s: float = 0.0,
    ) -> bool:
        """Replace a peer's bookings by those of its last message, sent `age_s` ago.

        An incarnation that has ended told its callers times, so its bookings stay until
        they are due. Returns False, and changes nothing, if the rows are malformed.
        """
        known = self._peer_rows.get(sender)
        if not rows and known is None:
            return True
        if not _are_valid(rows):
            self.counts[MALFORMED] += 1
            return False
        self.expire(now_s)
        if known is not None and known[0] == incarnation:
            self._add_all(known[1], -1)
        elif known is not None:
            # Under a key that no entry can have, so that nothing replaces them.
            self._peer_rows[f"{sender}\0{known[0]}"] = known
        told: dict[Rank, Counter[int]] = {}
        now_step = _step(now_s - age_s)
        for customer_rank, route_rank, step, count in rows:
            self._add(told, (customer_rank, route_rank), now_step + step, count)
        self._peer_rows.pop(sender, None)
        if told:
            self._peer_rows[sender] = (incarnation, told)
            self._add_all(told, 1)
        return True

    def expire(self, now_s: float) -> None:
        """Release the bookings whose callers haven't come in time."""
        first_step = _step(now_s - KEPT_AFTER_DUE_S)
        if first_step <= self._expired_step:
            return
        self._expired_step = first_step
        for rank, steps in self._own.items():
            totals = self._totals.get(rank, {})
            for step, count in steps.items():
                if step < first_step:
                    # Returns to other entries are in the total only, and may be counted
                    # a step later.
                    left = sum(n for each, n in totals.items() if each <= step + 1)
                    self.counts[EXPIRED] += max(0, min(count, left))
        for table in (
            self._own,
            self._totals,
            *(told for _, told in self._peer_rows.values()),
        ):
            _drop_before(table, first_step)
        for sender in [s for s, (_, told) in self._peer_rows.items() if not told]:
            del self._peer_rows[sender]

    def _first_free_s(
        self, rank: Rank, earliest_s: float, latest_s: float, per_s: float, now_s: float
    ) -> float | None:
        """Return the time of the first slot that isn't taken, or None."""
        latest_s = min(latest_s, HORIZON_S)
        if not (0.0 <= earliest_s <= latest_s and 0.0 < per_s < math.inf):
            return None
        taken: defaultdict[int, int] = defaultdict(int)
        for each, steps in self._totals.items():
            if each <= rank:
                for step, count in steps.items():
                    taken[step] += count
        from_s, to_s = now_s + earliest_s, now_s + latest_s
        first_step = _step(from_s)
        per_step = per_s * STEP_S
        # Bookings due before the first slot comes free wait for it.
        free = -float(sum(n for step, n in taken.items() if step < first_step))
        for step in range(first_step, _step(to_s) + 1):
            # What nobody has booked in a step goes to others, except parts of a slot.
            free = min(free, 1.0) + per_step - taken[step]
            if free >= 1.0:
                start_s = max(from_s, step * STEP_S)
                end_s = min(to_s, (step + 1) * STEP_S)
                return self._random.uniform(start_s, max(start_s, end_s))
        return None

    def _add_all(self, table: Mapping[Rank, Counter[int]], sign: int) -> None:
        for rank, steps in table.items():
            for step, count in steps.items():
                self._add(self._totals, rank, step, sign * count)

    @staticmethod
    def _add(table: dict[Rank, Counter[int]], rank: Rank, step: int, n: int) -> None:
        steps = table.setdefault(rank, Counter())
        steps[step] += n
        if not steps[step]:
            del steps[step]
            if not steps:
                del table[rank]


def _step(at_s: float) -> int:
    return math.floor(at_s / STEP_S)


def _drop_before(table: dict[Rank, Counter[int]], first_step: int) -> None:
    for rank in list(table):
        steps = table[rank]
        for step in [each for each in steps if each < first_step]:
            del steps[step]
        if not steps:
            del table[rank]


def _are_valid(rows: BookingRows) -> bool:
    return len(rows) <= ROWS_MAX and all(_is_valid(row) for row in rows)


def _is_valid(row: tuple) -> bool:
    if len(row) != 4 or not all(type(each) is int for each in row):
        return False
    _, _, step, count = row
    return (
        -KEPT_AFTER_DUE_S <= (step + 1) * STEP_S <= HORIZON_S
        and 0 < abs(count) <= COUNT_MAX
    )
