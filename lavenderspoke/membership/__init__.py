"""Membership: the platform's member list, the roster and the choice of entries."""
