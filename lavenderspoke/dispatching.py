"""How waiting requests reach agents: they are pulled, or, to compare, pushed.

Pulling is what the system does. The two ways of pushing are the usual
alternatives, kept so that each measurement runs beside them: an entry sends
each request at once to the agent whose last report shows the least load, or to
the better of two picked at random. Reports lag and engines are unlike, which is
what pulling does without.
"""

import enum
from random import Random

import attrs

from lavenderspoke.views import AgentView
from lavenderspoke.waiting import DEFAULT_QUEUE_POLICY, QueuePolicy

# A pushed grant rests on no pull; its nonce says so.
PUSHED_NONCE_PREFIX = "pushed:"
CHOICES = 2


class Dispatching(enum.Enum):
    """How requests reach agents."""

    PULL = "pull"
    LEAST_LOAD = "least_load"
    TWO_CHOICES = "two_choices"


@attrs.frozen(kw_only=True)
class EntryPolicy:
    """The rules of an entry that measurements turn off or exchange.

    `service_wide_shedding` has an entry wait for its peers to drop what is
    lower before it sheds; without it each entry sheds for itself.
    """

    queue: QueuePolicy = DEFAULT_QUEUE_POLICY
    dispatching: Dispatching = Dispatching.PULL
    service_wide_shedding: bool = True


def choose_agent(
    dispatching: Dispatching, agents: list[AgentView], random: Random
) -> AgentView | None:
    """Return the agent that a request is pushed to, by what was last reported."""
    candidates = [view for view in agents if view.accepts_work]
    if dispatching is Dispatching.TWO_CHOICES and len(candidates) > CHOICES:
        candidates = random.sample(candidates, CHOICES)
    return min(candidates, key=lambda view: view.announce.running, default=None)
