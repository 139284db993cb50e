"""The rows in which entries tell each other whose requests wait."""

from collections.abc import Mapping

from lavenderspoke.direct.tickets import Rank

AskingRows = tuple[tuple[int, int, str, int], ...]
"""Customer rank, route rank, customer and number of requests."""

# More rows than this hold in one message, or requests in one row, are malformed: an
# entry has far fewer threads for its callers.
ROWS_MAX = 4096
REQUESTS_MAX = 100_000


def asking_rows(counts: Mapping[Rank, Mapping[str, int]]) -> AskingRows:
    """Return the rows of one service.

    >>> asking_rows({(0, 2): {"a": 3}})
    ((0, 2, 'a', 3),)
    """
    return tuple(
        (*rank, customer, count)
        for rank, customers in counts.items()
        for customer, count in customers.items()
    )


def are_valid(asking: Mapping[str, AskingRows]) -> bool:
    """Return whether a peer's rows of all services are plausible."""
    rows = [row for each in asking.values() for row in each]
    return len(rows) <= ROWS_MAX and all(
        0 < count <= REQUESTS_MAX for *_, count in rows
    )
