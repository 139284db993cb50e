"""Headers that mark a response by being there, whatever their value."""

# Values of an upstream that always sends the header, and means the opposite.
NEGATIONS = frozenset(("", "0", "false", "no"))


def is_marked(value: str) -> bool:
    """Return whether a header's lines, joined by commas, all set a mark.

    >>> [is_marked(each) for each in ("1", "True", "", "0", "1, 0")]
    [True, True, False, False, False]
    """
    return not any(each.strip().lower() in NEGATIONS for each in value.split(","))
