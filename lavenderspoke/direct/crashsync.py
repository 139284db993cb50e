"""Decides which entries are told again of all crashes of upstreams.

Each crash is told to all entries at once, in messages that may be lost. An entry that
starts later, or was suspended, shows by its state that it knows others.
"""

# Time between two times that an entry is told, in seconds: a message takes less, and
# so does the state that shows that it has arrived.
INTERVAL_S = 0.5


class CrashSync:
    """The entries that know other crashes than this one.

    >>> sync = CrashSync()
    >>> sync.note_difference("entry-2", 7.0)
    >>> sync.note_difference("entry-2", 7.1)
    >>> sync.take_due(7.1), sync.take_due(7.1)
    (['entry-2'], [])
    """

    def __init__(self):
        self._told_s: dict[str, float] = {}
        self._due: set[str] = set()

    def note_difference(self, name: str, now_s: float) -> None:
        """Record that an entry's state shows that it knows other crashes."""
        if now_s >= self._told_s.get(name, float("-inf")) + INTERVAL_S:
            self._due.add(name)

    def take_due(self, now_s: float) -> list[str]:
        """Return the entries that are to be told now."""
        due, self._due = sorted(self._due), set()
        for name in due:
            self._told_s[name] = now_s
        return due
