"""What every message between daemons travels in.

An envelope names the exact incarnation that sent it and the one it is meant for;
a receiver drops what was meant for an earlier life of its instance.
"""

import attrs

from lavenderspoke.model import InstanceId


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with the incarnation that sent it and the one it is for.

    `recipient` has an empty incarnation only in announcements, which are how
    two daemons learn each other's.
    """

    sender: InstanceId
    recipient: InstanceId
    message: object
