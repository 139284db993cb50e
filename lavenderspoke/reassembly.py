"""Reassembles an answer from numbered pieces that may arrive out of order."""

import attrs

from lavenderspoke.messages import Piece


@attrs.define(kw_only=True)
class ReassemblyBuffer:
    """Buffers out-of-order pieces and releases each piece once, in order.

    >>> buffer = ReassemblyBuffer()
    >>> second = Piece(request_id="r", number=1, body=b"b")
    >>> buffer.add(second), buffer.has_gap
    ([], True)
    >>> [piece.body for piece in buffer.add(Piece(request_id="r", number=0))]
    [b'', b'b']
    """

    next_number: int = 0
    _buffered: dict[int, Piece] = attrs.field(factory=dict)

    @property
    def has_gap(self) -> bool:
        """Whether a piece is buffered while an earlier one is missing."""
        return bool(self._buffered)

    def add(self, piece: Piece) -> list[Piece]:
        """Add a piece; return the pieces that are now next, in order."""
        # A duplicate or replayed piece must not reach the caller twice.
        if piece.number >= self.next_number:
            self._buffered[piece.number] = piece
        ready = []
        while self.next_number in self._buffered:
            ready.append(self._buffered.pop(self.next_number))
            self.next_number += 1
        return ready


def is_complete(last: Piece) -> bool:
    """Return whether an answer has as many pieces as its last piece says.

    If not, it was truncated, although it has a last piece.
    """
    return last.count == last.number + 1
