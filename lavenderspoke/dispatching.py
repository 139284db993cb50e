"""How waiting requests reach agents: pulled by them, or pushed by the entry.

Pulling is the default. The two push policies exist to be benchmarked against
it: the entry sends each request at once to the agent whose last announcement
reports the fewest running requests, or to the better of two random agents.
Pushing suffers from late announcements and upstreams of different speeds; pulling
doesn't.
"""

import enum
from random import Random

import attrs

from lavenderspoke.views import AgentView
from lavenderspoke.waiting import DEFAULT_QUEUE_POLICY, QueuePolicy

# Marks the nonce of a pushed grant, which answers no pull.
PUSHED_NONCE_PREFIX = "pushed:"
SAMPLED_AGENTS = 2


class Dispatching(enum.Enum):
    """Pulled by agents, or pushed to the least loaded or the better of two."""

    PULL = "pull"
    LEAST_LOAD = "least_load"
    TWO_CHOICES = "two_choices"


@attrs.frozen(kw_only=True)
class EntryPolicy:
    """The rules of an entry that benchmarks turn off or replace.

    With `service_wide_shedding` an entry sheds a tier only after its peers have
    dropped lower tiers; without it each entry sheds on its own.
    """

    queue: QueuePolicy = DEFAULT_QUEUE_POLICY
    dispatching: Dispatching = Dispatching.PULL
    service_wide_shedding: bool = True


def choose_agent(
    dispatching: Dispatching, agents: list[AgentView], random: Random
) -> AgentView | None:
    """Return the agent to push a request to, by the last announcements, or None."""
    candidates = [view for view in agents if view.accepts_work]
    if dispatching is Dispatching.TWO_CHOICES and len(candidates) > SAMPLED_AGENTS:
        candidates = random.sample(candidates, SAMPLED_AGENTS)
    return min(candidates, key=lambda view: view.announce.running, default=None)
