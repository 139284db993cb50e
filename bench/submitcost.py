"""What `submit` costs with booked retries against without, at 68 entries.

65 upstreams of 6 slots; without a shortage, and where all slots are held and each of 67
other entries has told bookings. Both are timed in turn in one process, and the least of
the rounds counts, since other work on the machine only adds.

    python -m bench.submitcost
"""

import time
from random import Random

from lavenderspoke.direct.backpressure import Backpressure
from lavenderspoke.direct.instances import Upstream
from lavenderspoke.direct.peercounts import PeerCounts
from lavenderspoke.direct.policies import ALL_POLICIES, NO_POLICIES, Policies
from lavenderspoke.direct.pool import Pool
from lavenderspoke.direct.scheduler import ServiceQueue
from lavenderspoke.direct.tickets import Dispatch, Ticket
from lavenderspoke.direct.upstreamstate import Load
from lavenderspoke.observing.metrics import Metrics

ENTRIES, UPSTREAMS, SLOTS = 68, 65, 6
SUBMITS, ROUNDS = 300, 15
STEP_S = 0.01
# Rows of bookings that each other entry has told: ranks times steps.
BOOKED_STEPS = 16
RANKS = ((0, 0), (0, 1), (0, 2))


def make_queue(policies: Policies, *, is_short: bool) -> ServiceQueue:
    """Return one entry's queue, with what the other entries have told."""
    random = Random(3)
    queue = ServiceQueue(
        pool=Pool(random=random, backpressure=Backpressure(metrics=Metrics())),
        random=random,
        policies=policies,
    )
    upstreams = [
        Upstream(
            upstream_id=f"u{n}",
            service="narrative",
            host="127.0.0.1",
            port=1 + n,
            data_centre="here",
            slots=SLOTS,
        )
        for n in range(UPSTREAMS)
    ]
    queue.pool.reconfigure(upstreams)
    if not is_short:
        return queue
    load = Load(requests=SLOTS)
    queue.pool.update_peer_loads({each.upstream_id: load for each in upstreams})
    queue.peer_counts = PeerCounts(
        waiting={rank: 20 for rank in RANKS}, entries=ENTRIES - 1, age_s=0.1
    )
    if queue.bookings is not None:
        rows = tuple((*rank, 1 + n, 1) for rank in RANKS for n in range(BOOKED_STEPS))
        for number in range(ENTRIES - 1):
            queue.bookings.merge_peer(str(number), "1", rows, 0.0)
    return queue


def submits_s(policies: Policies, *, is_short: bool) -> float:
    """Return the processor time of one `submit` in seconds."""
    queue = make_queue(policies, is_short=is_short)
    elapsed_s = 0.0
    for number in range(SUBMITS):
        now_s = number * STEP_S
        decisions: list = []
        ticket = Ticket(
            request_id=f"r{number}",
            service="narrative",
            rank=RANKS[number % 3],
            prompt_tokens=1000,
            answer_tokens=50,
            first_arrived_s=now_s,
            idle_since_s=now_s,
            deadline_s=now_s + 6.0,
            target_s=0.8,
            patience_s=3.0,
            resubmitted=number % 8 == 7,
            on_decision=decisions.append,
        )
        began_s = time.process_time()
        queue.submit(ticket, now_s)
        elapsed_s += time.process_time() - began_s
        if decisions and isinstance(decisions[0], Dispatch):
            queue.release(ticket, decisions[0].upstream.upstream_id, now_s)
        else:
            queue.withdraw(ticket)
    return elapsed_s / SUBMITS


def main() -> None:
    """Print the processor time of a submit without and with bookings, and its ratio."""
    print("| load | without, us | with, us | ratio |\n| --- | ---: | ---: | ---: |")
    for name, is_short in (("slots suffice", False), ("all slots held", True)):
        least_s = {ALL_POLICIES: float("inf"), NO_POLICIES: float("inf")}
        for _ in range(ROUNDS):
            for policies in least_s:
                cost_s = submits_s(policies, is_short=is_short)
                least_s[policies] = min(least_s[policies], cost_s)
        before_s, after_s = least_s[NO_POLICIES], least_s[ALL_POLICIES]
        print(
            f"| {name} | {before_s * 1e6:.0f} | {after_s * 1e6:.0f} "
            f"| {after_s / before_s:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
