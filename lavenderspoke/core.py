"""The events and actions that all state machines share.

Nothing here, and nothing in a module that imports only from the core, has a
thread, a socket, a sleep, a wall clock or a global random source. A state
machine has one method, `handle(event, now_s)`, which returns a list of
actions; `now_s` is monotonic seconds on the owner's clock.
"""

import attrs

from lavenderspoke.messages import Message
from lavenderspoke.model import InstanceId


@attrs.frozen(kw_only=True)
class Tick:
    """Time has passed; due timers fire."""


@attrs.frozen(kw_only=True)
class Received:
    """A message has arrived from another daemon."""

    sender: InstanceId
    message: Message


@attrs.frozen(kw_only=True)
class Send:
    """Send a message to another daemon; it may be lost."""

    recipient: InstanceId
    message: Message


@attrs.frozen(kw_only=True)
class Count:
    """Add to a counter, identified by its name and a reason.

    >>> Count(name="refusals", reason="shed").reason
    'shed'
    """

    name: str
    reason: str
    amount: int = 1


@attrs.frozen(kw_only=True)
class Observe:
    """Record a duration in seconds for a tier of a service."""

    name: str
    service: str
    tier: int
    value_s: float
