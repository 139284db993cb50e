"""Lavenderspoke schedules requests for unlike engines.

There is one module for each idea, and rooms for what belongs together. The decision
modules hold state machines that take a typed event and the time and return typed
actions; the daemons `entry` and `agent` feed them from sockets and carry the actions
out.
"""

__version__ = "0.1.0"
