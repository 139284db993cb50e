"""What a stand-in has seen, kept in a file beyond the end of its process."""

import json
import pathlib


class Kept:
    """Lists of plain data by name, those of the processes before included.

    Without a path nothing is kept.
    """

    def __init__(self, path: pathlib.Path | None):
        self._path = path
        self._before: dict[str, list] = {}
        if path is not None and path.exists():
            self._before = json.loads(path.read_text())

    def with_now(self, name: str, now: list) -> list:
        """Return a list of this process after those of the processes before."""
        return [*self._before.get(name, ()), *now]

    def save(self, **now: list) -> None:
        """Keep the lists of a process that ends now."""
        if self._path is not None:
            every = {name: self.with_now(name, each) for name, each in now.items()}
            self._path.write_text(json.dumps(every))
