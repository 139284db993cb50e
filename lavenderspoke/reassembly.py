"""An answer put together from numbered pieces, whatever order they come in."""

import attrs

from lavenderspoke.messages import Piece


@attrs.define(kw_only=True)
class ReassemblyBuffer:
    """An assembly passes pieces on in order, each once.

    >>> whole = ReassemblyBuffer()
    >>> second = Piece(request_id="r", number=1, body=b"b")
    >>> whole.add(second), whole.has_gap
    ([], True)
    >>> [piece.body for piece in whole.add(Piece(request_id="r", number=0))]
    [b'', b'b']
    """

    next_number: int = 0
    _held: dict[int, Piece] = attrs.field(factory=dict)

    @property
    def has_gap(self) -> bool:
        """Whether a later piece is here and an earlier one is missing."""
        return bool(self._held)

    def add(self, piece: Piece) -> list[Piece]:
        """Take a piece; return those that are now next, in order."""
        # A doubled or replayed piece must not reach the caller twice.
        if piece.number >= self.next_number:
            self._held[piece.number] = piece
        ready = []
        while self.next_number in self._held:
            ready.append(self._held.pop(self.next_number))
            self.next_number += 1
        return ready


def is_complete(last: Piece) -> bool:
    """Return whether a last piece's count agrees with its place.

    A clean end with a wrong count would pass a cut answer off as a whole one.
    """
    return last.count == last.number + 1
