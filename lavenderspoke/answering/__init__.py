"""Answers on their way from an entry's state machine to its callers."""
