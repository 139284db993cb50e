"""Pieces of answers, gathered so that one engine step makes one message."""

import attrs

from lavenderspoke.core import Send
from lavenderspoke.messages import Piece, Pieces
from lavenderspoke.model import InstanceId

# The most that one message carries; a longer backlog goes as several.
MESSAGE_BYTES_MAX = 256 * 1024


@attrs.define(kw_only=True)
class Outbox:
    """The outbox holds pieces for each entry until the flush is due.

    At the size aimed at a daemon passes some 18,000 tokens a second; a message
    for each would take most of a core. `flush_s` is what gathering may add to
    the time between tokens.
    """

    flush_s: float
    _pieces: dict[InstanceId, list[Piece]] = attrs.field(factory=dict)
    due_s: float | None = None

    def add(self, entry: InstanceId, piece: Piece, now_s: float) -> None:
        """Hold a piece; the first one starts the flush timer."""
        self._pieces.setdefault(entry, []).append(piece)
        if self.due_s is None:
            self.due_s = now_s + self.flush_s

    def flush(self) -> list[Send]:
        """Return everything held, as few messages as the limit allows."""
        sends = []
        for entry, pieces in self._pieces.items():
            sends += split(entry, pieces)
        self._pieces.clear()
        self.due_s = None
        return sends


def split(entry: InstanceId, pieces: list[Piece]) -> list[Send]:
    """Return messages for one entry, none much above the limit."""
    sends, batch, batch_bytes = [], [], 0
    for piece in pieces:
        if batch and batch_bytes + len(piece.body) > MESSAGE_BYTES_MAX:
            sends.append(Send(recipient=entry, message=Pieces(pieces=tuple(batch))))
            batch, batch_bytes = [], 0
        batch.append(piece)
        batch_bytes += len(piece.body)
    if batch:
        sends.append(Send(recipient=entry, message=Pieces(pieces=tuple(batch))))
    return sends
